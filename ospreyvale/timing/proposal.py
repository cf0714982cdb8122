"""Proposes a timing document from learned set-up times: a schedule for each class and kind of route."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ospreyvale.timing.learned import ENDS
from ospreyvale.timing.planner import (
    GRID_STEPS,
    MIN_SAMPLES,
    AttemptSchedule,
    best_schedule,
    estimate_probabilities,
    schedule_limits,
    single_attempt_schedule,
)
from ospreyvale.timing.policy import SiteRules

ROUTE_KINDS = ("direct", "transit")


@dataclass(frozen=True, slots=True)
class RouteProposal:
    """One route's best schedule and, to compare, that of the default timing.

    Both are None with too few samples.
    """

    class_name: str
    kind: str
    samples: int
    schedule: AttemptSchedule | None
    single_attempt: AttemptSchedule | None  # schedule of the default timing


def propose(
    learned_times: Mapping[str, Any], site: SiteRules, gives_up_ms: Mapping[str, float], max_retries: float
) -> list[RouteProposal]:
    """Returns the schedules with the highest expected worth; raises ValueError for malformed times.

    `learned_times` is the object of `SetUpTimes.as_dict`.  `gives_up_ms` holds, by class name, when callers
    give up if that is before the deadline of the settings.  `max_retries` limits the expected further
    attempts of a call.
    """
    rows = learned_times.get("times")
    if not isinstance(rows, list):
        raise ValueError("times is not a list")
    proposals = []
    for call_class in site.classes:
        for kind in ROUTE_KINDS:
            merged: dict[str, list[tuple[float, float]]] = {end: [] for end in ENDS}
            for index, row in enumerate(rows):
                try:
                    if (row["class"], row["kind"]) == (call_class.name, kind):
                        for end in ENDS:
                            merged[end] += [(float(ms), float(count)) for ms, count in row[end]]
                except (KeyError, TypeError, ValueError) as error:
                    raise ValueError(f"times[{index}] is wrong: {type(error).__name__} {error}") from None
            limits = schedule_limits(
                site,
                call_class,
                kind,
                gives_up_ms.get(call_class.name, call_class.deadline_ms),
                max_retries,
            )
            probabilities = estimate_probabilities(
                merged["stood"],
                merged["refused"],
                merged["in_doubt"],
                limits.due_ms / GRID_STEPS,
                GRID_STEPS,
            )
            has_samples = probabilities.samples >= MIN_SAMPLES
            proposals.append(
                RouteProposal(
                    call_class.name,
                    kind,
                    probabilities.samples,
                    best_schedule(call_class, probabilities, limits) if has_samples else None,
                    single_attempt_schedule(call_class, probabilities, limits) if has_samples else None,
                )
            )
    return proposals


def format_proposals(
    proposals: list[RouteProposal], gives_up_ms: Mapping[str, float], max_retries: float
) -> str:
    """Returns the proposals as a KDL document.

    A comment at each route gives the expected worth of its schedule and that of the default timing.
    """
    lines = ["timing {"]
    for name in dict.fromkeys(proposal.class_name for proposal in proposals):
        gives_up = f" gives-up-ms={gives_up_ms[name]:g}" if name in gives_up_ms else ""
        lines.append(f'    class "{name}"{gives_up} {{')
        for proposal in proposals:
            if proposal.class_name != name:
                continue
            if proposal.schedule is None or proposal.single_attempt is None:
                lines.append(
                    f"        // {proposal.kind}: {proposal.samples} times are too few; "
                    "the default timing applies"
                )
                continue
            if proposal.schedule.waits_ms == proposal.single_attempt.waits_ms:
                lines.append(
                    f"        // {proposal.kind}: nothing earns more than the default timing "
                    f"({proposal.single_attempt.worth:.3f} a call, {proposal.samples} times)"
                )
                continue
            lines.append(
                f"        // {proposal.kind}: expected worth {proposal.schedule.worth:.3f} a call with "
                f"{proposal.schedule.retries:.3f} retries; the default timing earns "
                f"{proposal.single_attempt.worth:.3f} ({proposal.samples} times)"
            )
            lines.append(f'        route "{proposal.kind}" {{')
            lines += [
                f"            attempt wait-ms={math.floor(wait_ms * 10.0) / 10.0:g}"
                for wait_ms in proposal.schedule.waits_ms
            ]
            lines.append("        }")
        if max_retries > 0.0:
            lines.append(f"        budget retries-per-second=5 share={min(1.0, max_retries):g}")
        lines.append("    }")
    return "\n".join([*lines, "}"]) + "\n"

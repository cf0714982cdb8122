"""Finds the attempt waits with the highest expected worth, from learned set-up times.

The model covers one class and route.  The first attempt is sent at 0.  An attempt that may take `w` stands
within it with the probability that the times show; after it, a release time and a timer tick, the next one is
sent.  So the start of each attempt follows from the waits before it, and dynamic programming over a grid of
times is exact: for each start and number of attempts left it keeps the Pareto front of expected worth against
expected further attempts, and the retry budget selects from the front at 0.  Two simplifications: the
attempts of one call are taken as independent, and an attempt that the exchange refused ends the schedule, as
the decision module then closes that exchange or route for a while.

A time that was cut off by a wait shows only that the set-up took longer.  The probabilities are therefore a
Kaplan-Meier estimate with two outcomes (stood, refused), so that the waits in force do not bias what is
learned.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ospreyvale.timing.policy import SiteCallClass, SiteRules

GRID_STEPS = 45  # from 0 to the due time of the answer; the work grows with the cube
MAX_FRONT_POINTS = 64  # beyond that the points closest in worth are dropped, and the schedule is not exact
MIN_SAMPLES = 30  # with fewer times nothing is planned and the route keeps the default timing


@dataclass(frozen=True, slots=True)
class OutcomeProbabilities:
    """For each step of the grid: the probability that an attempt stands, or is refused, in that step."""

    step_ms: float
    stood: tuple[float, ...]
    refused: tuple[float, ...]
    samples: int


@dataclass(frozen=True, slots=True)
class AttemptSchedule:
    """The waits of one route's attempts, and their expected results."""

    waits_ms: tuple[float, ...]
    worth: float  # of a call, in the unit of its class's worth
    retries: float  # further attempts of a call


@dataclass(frozen=True, slots=True)
class ScheduleLimits:
    """The rules that a schedule has to keep."""

    due_ms: float
    gap_ms: float  # from the end of an attempt to the next one: release time and timer tick
    min_left_ms: float  # an attempt is sent at least this long before the answer is due
    max_attempts: int
    max_retries: float  # expected further attempts of a call


def schedule_limits(
    site: SiteRules, call_class: SiteCallClass, route_kind: str, gives_up_ms: float, max_retries: float
) -> ScheduleLimits:
    """Returns the site's rules for a schedule, as the checker applies them."""
    max_attempts = min(site.max_attempts, site.max_tandems if route_kind == "transit" else site.max_attempts)
    return ScheduleLimits(
        min(gives_up_ms, call_class.deadline_ms),
        site.release_ms + site.timer_tick_ms,
        site.release_ms,
        max_attempts,
        max_retries,
    )


def estimate_probabilities(
    stood: Iterable[Sequence[float]],
    refused: Iterable[Sequence[float]],
    in_doubt: Iterable[Sequence[float]],
    step_ms: float,
    steps: int,
) -> OutcomeProbabilities:
    """Returns the Kaplan-Meier estimate from pairs of milliseconds and a count.

    Times in doubt are censored: the attempt took longer.  Times past the last step count only toward the
    total.
    """

    def counts_by_step(pairs: Iterable[Sequence[float]]) -> list[float]:
        counts = [0.0] * (steps + 1)
        for set_up_ms, count in pairs:
            counts[min(steps, max(0, math.ceil(set_up_ms / step_ms) - 1))] += count
        return counts

    stood_counts = counts_by_step(stood)
    refused_counts = counts_by_step(refused)
    censored_counts = counts_by_step(in_doubt)
    at_risk = total = sum(stood_counts) + sum(refused_counts) + sum(censored_counts)
    pending = 1.0  # probability that the attempt has not ended before the step
    stood_by_step = []
    refused_by_step = []
    for step in range(steps):
        stood_rate = stood_counts[step] / at_risk if at_risk > 0.0 else 0.0
        refused_rate = refused_counts[step] / at_risk if at_risk > 0.0 else 0.0
        stood_by_step.append(pending * stood_rate)
        refused_by_step.append(pending * refused_rate)
        pending *= max(0.0, 1.0 - stood_rate - refused_rate)
        at_risk -= stood_counts[step] + refused_counts[step] + censored_counts[step]
    return OutcomeProbabilities(step_ms, tuple(stood_by_step), tuple(refused_by_step), int(total))


def worth_at(call_class: SiteCallClass, due_ms: float, set_up_ms: float) -> float:
    """Returns the worth of a call that stands after `set_up_ms`."""
    return (
        call_class.worth
        if set_up_ms <= call_class.aim_ms
        else call_class.worth * call_class.late_worth
        if set_up_ms <= due_ms
        else 0.0
    )


class _RouteModel:
    """One route on the grid; starts and waits are counted in steps."""

    def __init__(
        self, call_class: SiteCallClass, probabilities: OutcomeProbabilities, limits: ScheduleLimits
    ) -> None:
        self.probabilities = probabilities
        self.limits = limits
        self.steps = int(limits.due_ms / probabilities.step_ms + 1e-9)
        self.gap = math.ceil(limits.gap_ms / probabilities.step_ms - 1e-9)
        self.min_left = math.ceil(limits.min_left_ms / probabilities.step_ms - 1e-9)
        self.worth_by_step = [  # of a call that stands in the step
            worth_at(call_class, limits.due_ms, (step + 1) * probabilities.step_ms)
            for step in range(self.steps)
        ]

    def evaluate_attempt(self, start: int, wait: int) -> tuple[float, float]:
        """Returns the expected worth of one attempt and the probability that its wait ends in doubt."""
        worth = sum(self.probabilities.stood[step] * self.worth_by_step[start + step] for step in range(wait))
        ended = sum(self.probabilities.stood[:wait]) + sum(self.probabilities.refused[:wait])
        return worth, max(0.0, 1.0 - ended)

    def allowed_waits(self, start: int) -> range:
        """Returns the waits that an attempt may have if it is sent at that start."""
        return (
            range(1, self.steps - start + 1)
            if start + max(self.min_left, 1) <= self.steps or start == 0
            else range(0)
        )


def best_schedule(
    call_class: SiteCallClass, probabilities: OutcomeProbabilities, limits: ScheduleLimits
) -> AttemptSchedule:
    """Returns the schedule with the highest expected worth within the retry budget.

    Of equal ones it prefers the fewest expected retries, then the fewest attempts, then the longest last
    wait, which costs nothing.
    """
    model = _RouteModel(call_class, probabilities, limits)
    fronts: dict[tuple[int, int], list[AttemptSchedule]] = {}

    def front(start: int, attempts_left: int) -> list[AttemptSchedule]:
        """Returns the Pareto front of the schedules whose first attempt is sent at `start`."""
        cached = fronts.get((start, attempts_left))
        if cached is not None:
            return cached
        candidates: list[AttemptSchedule] = []
        worth = 0.0
        in_doubt = 1.0  # probability that the attempt has not ended within the wait
        for wait in model.allowed_waits(start):
            worth += probabilities.stood[wait - 1] * model.worth_by_step[start + wait - 1]
            in_doubt -= probabilities.stood[wait - 1] + probabilities.refused[wait - 1]
            wait_ms = wait * probabilities.step_ms
            candidates.append(AttemptSchedule((wait_ms,), worth, 0.0))
            if attempts_left > 1 and in_doubt > 1e-12:
                candidates += [
                    AttemptSchedule(
                        (wait_ms, *rest.waits_ms),
                        worth + in_doubt * rest.worth,
                        in_doubt * (1.0 + rest.retries),
                    )
                    for rest in front(start + wait + model.gap, attempts_left - 1)
                ]
        fronts[(start, attempts_left)] = pareto_front = _pareto_front(candidates)
        return pareto_front

    allowed = [
        schedule
        for schedule in front(0, limits.max_attempts)
        if schedule.retries <= limits.max_retries + 1e-9
    ]
    return max(
        allowed,
        key=lambda schedule: (
            round(schedule.worth, 9),
            -schedule.retries,
            -len(schedule.waits_ms),
            schedule.waits_ms[-1],
        ),
    )


def best_schedule_by_enumeration(
    call_class: SiteCallClass, probabilities: OutcomeProbabilities, limits: ScheduleLimits
) -> AttemptSchedule:
    """Returns the best schedule by evaluating every list of waits.

    Verifies `best_schedule` on small grids.
    """
    model = _RouteModel(call_class, probabilities, limits)
    best = AttemptSchedule((), -1.0, 0.0)
    for count in range(1, limits.max_attempts + 1):
        for waits in itertools.product(range(1, model.steps + 1), repeat=count):
            schedule = evaluate_schedule(
                call_class, probabilities, limits, tuple(wait * probabilities.step_ms for wait in waits)
            )
            if (
                schedule is not None
                and schedule.retries <= limits.max_retries + 1e-9
                and schedule.worth > best.worth + 1e-12
            ):
                best = schedule
    return best


def evaluate_schedule(
    call_class: SiteCallClass,
    probabilities: OutcomeProbabilities,
    limits: ScheduleLimits,
    waits_ms: Sequence[float],
) -> AttemptSchedule | None:
    """Returns the expected results of a list of waits.

    Returns None if an attempt does not fit before the due time.
    """
    model = _RouteModel(call_class, probabilities, limits)
    start = 0
    reached = 1.0  # probability that the attempt is sent
    worth = 0.0
    retries = 0.0
    for index, wait_ms in enumerate(waits_ms):
        wait = round(wait_ms / probabilities.step_ms)
        if wait not in model.allowed_waits(start):
            return None
        if index:
            retries += reached
        attempt_worth, in_doubt = model.evaluate_attempt(start, wait)
        worth += reached * attempt_worth
        reached *= in_doubt
        start += wait + model.gap
    return AttemptSchedule(tuple(waits_ms), worth, retries)


def single_attempt_schedule(
    call_class: SiteCallClass, probabilities: OutcomeProbabilities, limits: ScheduleLimits
) -> AttemptSchedule:
    """Returns the schedule of the default timing: one attempt that may take until the answer is due."""
    schedule = evaluate_schedule(
        call_class,
        probabilities,
        limits,
        (_RouteModel(call_class, probabilities, limits).steps * probabilities.step_ms,),
    )
    assert schedule is not None
    return schedule


def _pareto_front(schedules: list[AttemptSchedule]) -> list[AttemptSchedule]:
    """Returns the schedules that no other beats in both worth and retries, by rising retries.

    At most `MAX_FRONT_POINTS` are kept.
    """
    front: list[AttemptSchedule] = []
    for schedule in sorted(
        schedules,
        key=lambda schedule: (
            schedule.retries,
            -round(schedule.worth, 9),
            len(schedule.waits_ms),
            -schedule.waits_ms[-1],
        ),
    ):
        if not front or schedule.worth > front[-1].worth + 1e-9:
            front.append(schedule)
    while len(front) > MAX_FRONT_POINTS:
        gains = [front[index + 1].worth - front[index].worth for index in range(len(front) - 1)]
        del front[gains.index(min(gains[:-1]))]
    return front

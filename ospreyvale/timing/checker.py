"""Proves that no timeline under a policy breaks a rule.

A policy that can break one is refused with the timeline.  For each class the checker goes through every order
in which attempts over its routes can follow one another.  It assumes the worst case: each attempt takes its
whole wait, each gap and back-off has its longest value, and the decision module acts one timer tick late.  An
attempt that would end after the final answer is due is never sent (`TimingEngine` holds it back, and the
checker does the same), so these rules remain to be shown:

- one attempt at a time: a second copy is sent only after the wait of the first attempt has ended;
- released first: whatever follows an attempt in doubt is sent at least the release time after it, with the
  shortest gap and the lowest jitter;
- in time: each route by itself can use all its attempts before the answer is due, so that none is without
  effect;
- reachable: no route has more attempts than the rules and the decision module allow for one call.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ospreyvale.timing.policy import AttemptTiming, ClassTiming, Policy, Route, SiteRules

MAX_ORDERS = 5_000  # for one class; a policy with more orders cannot be checked and is refused


@dataclass(frozen=True, slots=True)
class Step:
    """One attempt of a timeline; times count from the arrival of the set-up and are the latest possible."""

    route: str
    number: int  # of the route's attempts, from 1
    starts_ms: float
    ends_ms: float
    gap_ms: float  # shortest gap since the previous attempt
    needed_until_ms: float  # the attempt is not sent if the answer is due before this time


@dataclass(frozen=True, slots=True)
class Timeline:
    """One order of attempts, each of which ends in doubt after its whole wait."""

    steps: tuple[Step, ...]
    answered_ms: float  # when the final answer is sent at the latest
    due_ms: float
    not_sent: str = ""  # the attempt that would follow and does not fit

    def text(self) -> str:
        """Returns the timeline on one line."""
        parts = [
            f"{step.route} {step.number} at {format_ms(step.starts_ms)} to {format_ms(step.ends_ms)}"
            for step in self.steps
        ]
        end = f"answered by {format_ms(self.answered_ms)}, due by {format_ms(self.due_ms)}"
        return "; ".join([*parts, *([f"not sent: {self.not_sent}"] if self.not_sent else []), end])


def format_ms(value: float) -> str:
    """Returns a time as text: with thousands separators, and one decimal unless it is a whole number."""
    return f"{value:,.0f} ms" if value == round(value) else f"{value:,.1f} ms"


def check_policy(policy: Policy, site: SiteRules) -> list[str]:
    """Returns every reason to refuse the policy; an empty list if no timeline can break a rule."""
    reasons: list[str] = []
    for class_timing, call_class in zip(policy.classes, site.classes, strict=True):
        if not class_timing.bounded:
            continue
        due_ms = policy.answer_due_ms(site, class_timing)
        if class_timing.gives_up_ms > call_class.deadline_ms:
            reasons.append(
                f"{class_timing.name}: gives-up-ms is {format_ms(class_timing.gives_up_ms)}; "
                "callers of that class "
                f"wait {format_ms(call_class.deadline_ms)} at most"
            )
        if due_ms <= site.release_ms:
            reasons.append(
                f"{class_timing.name}: the answer would be due by {format_ms(due_ms)}, with "
                f"{format_ms(policy.path_ms)} of path and {format_ms(site.answer_grace_ms)} of grace; "
                f"more than {format_ms(site.release_ms)} are needed"
            )
            continue
        class_reasons = [
            reason
            for route in class_timing.routes
            for reason in _route_problems(class_timing, route, due_ms, site)
        ]
        if (
            class_timing.budget is not None
            and class_timing.budget.per_second + class_timing.budget.share <= 0.0
        ):
            class_reasons.append(
                f"{class_timing.name}: a budget of nothing lets no attempt but the first go out"
            )
        if not class_reasons:
            orders = list(timelines(policy, site, class_timing))
            class_reasons = [
                reason for timeline in orders for reason in _timeline_problems(class_timing, timeline, site)
            ]
            if len(orders) >= MAX_ORDERS:
                class_reasons.append(
                    f"{class_timing.name}: more than {MAX_ORDERS:,} orders of routes; "
                    "they cannot all be checked"
                )
        reasons += class_reasons
    return list(dict.fromkeys(reasons))


def timelines(policy: Policy, site: SiteRules, class_timing: ClassTiming) -> Iterator[Timeline]:
    """Yields the worst timeline of each order of routes, at most `MAX_ORDERS`."""
    due_ms = policy.answer_due_ms(site, class_timing)
    yielded = 0
    pending: list[tuple[tuple[Step, ...], tuple[int, ...]]] = [((), tuple(0 for _ in class_timing.routes))]
    while pending and yielded < MAX_ORDERS:
        steps, used_by_route = pending.pop()
        not_sent = ""
        extended = False
        for index, route in enumerate(class_timing.routes):
            step = _next_step(class_timing, route, used_by_route[index], steps, due_ms, site)
            if step is None:
                continue
            if steps and step.needed_until_ms > due_ms:  # the first attempt is always sent and cut short
                not_sent = (
                    not_sent
                    or f"{step.route} {step.number}, which would need until {format_ms(step.needed_until_ms)}"
                )
                continue
            extended = True
            clipped = replace(step, ends_ms=min(step.ends_ms, due_ms))
            pending.append(
                (
                    (*steps, clipped),
                    tuple(count + (other == index) for other, count in enumerate(used_by_route)),
                )
            )
        if steps and not extended:
            yielded += 1
            yield Timeline(steps, steps[-1].ends_ms, due_ms, not_sent)


def _next_step(
    class_timing: ClassTiming,
    route: Route,
    used_attempts: int,
    steps: tuple[Step, ...],
    due_ms: float,
    site: SiteRules,
) -> Step | None:
    """Returns the next attempt over a route.

    Returns None if the rules, the route or the decision module allow no more.
    """
    if len(steps) >= site.max_attempts or used_attempts >= _max_attempts(route, site):
        return None
    attempt = route.attempts[used_attempts] if route.attempts else AttemptTiming(math.inf, site.release_ms)
    if not steps:
        ends_ms = due_ms if math.isinf(attempt.wait_ms) else attempt.wait_ms
        return Step(route.title, 1, 0.0, ends_ms, math.inf, ends_ms)
    failed_attempts = len(steps)
    last = steps[-1]
    min_gap_ms = attempt.gap_ms
    max_gap_ms = attempt.gap_ms
    if route.back_off is not None:
        min_gap_ms = max(min_gap_ms, route.back_off.min_wait_ms(failed_attempts))
        max_gap_ms = max(max_gap_ms, route.back_off.max_wait_ms(failed_attempts))
    starts_ms = max(
        last.ends_ms + max_gap_ms + site.timer_tick_ms, attempt.copy_after_ms + site.timer_tick_ms
    )
    wait_ms = max(due_ms - starts_ms, 0.0) if math.isinf(attempt.wait_ms) else attempt.wait_ms
    # Later than the release time before the due time, the decision module answers the call instead
    # (Control._decide).
    return Step(
        route.title,
        used_attempts + 1,
        starts_ms,
        starts_ms + wait_ms,
        min_gap_ms,
        starts_ms + max(wait_ms, site.release_ms),
    )


def _max_attempts(route: Route, site: SiteRules) -> int:
    """Returns how many attempts one call can make over a route; each tandem is tried once."""
    limit = len(route.attempts) or site.max_attempts
    if route.kind == "transit":
        limit = min(limit, 1 if route.exchange >= 0 else site.max_tandems)
    return limit


def _route_problems(class_timing: ClassTiming, route: Route, due_ms: float, site: SiteRules) -> Iterator[str]:
    """Yields the rules that the attempts of one route break by themselves, without those of other routes."""
    name = f"{class_timing.name}, {route.title}"
    attempts = route.attempts
    limit = min(site.max_attempts, _max_attempts(route, site))
    if len(attempts) > limit:
        why = (
            f"a call makes {site.max_attempts} attempts at most"
            if limit == site.max_attempts
            else (
                "a tandem is tried once for a call"
                if route.exchange >= 0
                else f"{site.max_tandems} tandems are tried for a call at most"
            )
        )
        yield f"{name}: attempt {limit + 1} can never go out: {why}"
    steps: tuple[Step, ...] = ()
    for index, attempt in enumerate(attempts[:limit]):
        if attempt.copy_after_ms:
            first = attempts[0]
            if math.isinf(first.wait_ms) or attempt.copy_after_ms < first.wait_ms:
                yield (
                    f"{name}: the second copy would go out at {format_ms(attempt.copy_after_ms)} while "
                    f"attempt 1 may be out until {format_ms(min(first.wait_ms, due_ms))}: "
                    "two attempts out at once"
                )
                return
            if attempt.copy_after_ms < first.wait_ms + site.release_ms:
                yield (
                    f"{name}: the second copy would go out at {format_ms(attempt.copy_after_ms)}, "
                    f"{format_ms(attempt.copy_after_ms - first.wait_ms)} after attempt 1 was given up; "
                    f"{format_ms(site.release_ms)} are needed"
                )
                return
        gap_ms = max(attempt.gap_ms, route.back_off.min_wait_ms(1) if route.back_off else 0.0)
        if gap_ms < site.release_ms:
            previous_end_ms = steps[-1].ends_ms if steps else None
            sent = (
                f"attempt {index + 1} would go out at {format_ms(previous_end_ms + gap_ms)}"
                if previous_end_ms is not None
                else "attempt 1 would go out"
            )
            yield (
                f"{name}: {sent}, {format_ms(gap_ms)} after "
                f"{f'attempt {index}' if index else 'one over another route'} "
                f"was given up; {format_ms(site.release_ms)} are needed"
            )
            return
        step = _next_step(class_timing, route, index, steps, due_ms, site)
        if step is None:
            return
        if step.needed_until_ms > due_ms:
            end = (
                f"would end at {format_ms(step.ends_ms)}"
                if step.ends_ms > due_ms
                else (f"would need until {format_ms(step.needed_until_ms)}, the release time included")
            )
            yield (
                f"{name}: attempt {index + 1}, out from {format_ms(step.starts_ms)}, {end}; "
                f"the final answer is due by {format_ms(due_ms)}" + _format_earlier_steps(steps)
            )
            return
        steps = (*steps, step)


def _format_earlier_steps(steps: tuple[Step, ...]) -> str:
    text = "; ".join(
        f"attempt {step.number} {format_ms(step.starts_ms)} to {format_ms(step.ends_ms)}" for step in steps
    )
    return f" ({text})" if text else ""


def _timeline_problems(class_timing: ClassTiming, timeline: Timeline, site: SiteRules) -> Iterator[str]:
    """Yields the rules that a timeline breaks, independently of how it was built."""
    for previous, step in zip(timeline.steps, timeline.steps[1:], strict=False):
        if step.starts_ms < previous.ends_ms:
            yield f"{class_timing.name}: two attempts out at once: {timeline.text()}"
        if step.gap_ms < site.release_ms:
            yield (
                f"{class_timing.name}: {step.route} {step.number} would go out "
                f"{format_ms(step.gap_ms)} after "
                f"{previous.route} {previous.number} was given up; {format_ms(site.release_ms)} are needed: "
                f"{timeline.text()}"
            )
    if len(timeline.steps) > site.max_attempts:
        yield f"{class_timing.name}: {len(timeline.steps)} attempts: {timeline.text()}"
    if timeline.answered_ms > timeline.due_ms:
        yield f"{class_timing.name}: answered too late: {timeline.text()}"

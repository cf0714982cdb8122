"""Applies the timing policy: a plan for each call, the retry budget, and the replacement of the policy.

No I/O: the current time is a parameter of each method, and random numbers come from the function that the
engine is given.  The decision module keeps each call's plan in the call's record.  There are at most
`MAX_DESTINATION_BUCKETS` token buckets by destination; the least recently used one is evicted.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from ospreyvale.timing.policy import (
    AttemptTiming,
    Budget,
    ClassTiming,
    Policy,
    Route,
    SiteRules,
    required_gap_ms,
)

# By class and destination; an evicted bucket is full when it is created again.
MAX_DESTINATION_BUCKETS = 4_096
BURST_S = 1.0  # capacity of a bucket in seconds of its rate, but at least one token


class CallPlan(Protocol):
    """Limits the attempts of one call until it ends, also when the policy is replaced in the meantime."""

    deadline_at: float  # when the final answer is due
    exhausted: bool  # no further attempt is possible: the call is answered at once

    def attempt_wait_ms(self, now: float, direct: bool, exchange: int, zone: int) -> float | None:
        """Returns how long an attempt through that exchange may take; None if none may be sent now."""
        ...

    def on_attempt_sent(self, now: float) -> None:
        """Records that an attempt was sent over the route of the last `attempt_wait_ms` call."""
        ...

    def on_attempt_ended(self, now: float, in_doubt: bool, was_sent: bool) -> float:
        """Records the end of an attempt; returns the earliest time for the next one."""
        ...


class UnlimitedCallPlan:
    """The plan of a call without a policy, which has the default timing.

    An attempt may take until the deadline, and the next one may follow without a gap.
    """

    __slots__ = ("deadline_at",)
    exhausted = False

    def __init__(self, deadline_at: float) -> None:
        self.deadline_at = deadline_at

    def attempt_wait_ms(self, now: float, direct: bool, exchange: int, zone: int) -> float | None:
        """Returns 0, which stands for no limit but the deadline."""
        return 0.0

    def on_attempt_sent(self, now: float) -> None:
        """Does nothing."""
        return

    def on_attempt_ended(self, now: float, in_doubt: bool, was_sent: bool) -> float:
        """Returns minus infinity: the plan delays no further attempt."""
        return -math.inf


class NoTimingPolicy:
    """Stands in for `TimingEngine` when no policy is in force."""

    def plan_call(self, call_class: int, destination: int, now: float, patience_ms: float) -> CallPlan:
        """Returns a plan that is limited by the caller's patience only."""
        return UnlimitedCallPlan(now + patience_ms)


NO_TIMING_POLICY = NoTimingPolicy()


class RetryBucket:
    """The tokens of one retry budget; the rate is given at each refill, as a new policy may change it."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, now: float, tokens: float) -> None:
        self.updated_at = now
        self.tokens = tokens

    def refill(self, now: float, per_second: float, extra: float = 0.0) -> float:
        """Adds the tokens earned since the last call and returns the total.

        A clock that steps back adds none.
        """
        capacity = max(1.0, per_second * BURST_S)
        self.tokens = min(
            capacity, self.tokens + max(0.0, now - self.updated_at) / 1000.0 * per_second + extra
        )
        self.updated_at = now
        return self.tokens


class TimingEngine:
    """The policy in force, with the token buckets of its retry budgets."""

    def __init__(self, policy: Policy, site: SiteRules, random_fraction: Callable[[], float]) -> None:
        self.policy = policy
        self.site = site
        self.random_fraction = random_fraction
        # Of a route without attempts of its own.
        self.default_attempt = AttemptTiming(math.inf, site.release_ms)
        self.class_buckets: dict[int, RetryBucket] = {}
        self.destination_buckets: OrderedDict[tuple[int, int], RetryBucket] = OrderedDict()
        self.retries = self.retries_refused = 0  # further attempts that were sent, or that a budget refused

    def replace_policy(self, policy: Policy) -> None:
        """Applies another policy to calls that are planned from now on; the token buckets are kept."""
        self.policy = policy

    def plan_call(self, call_class: int, destination: int, now: float, patience_ms: float) -> CallPlan:
        """Returns the plan of a call that is accepted now."""
        class_index = min(call_class, len(self.policy.classes) - 1)
        class_timing = self.policy.classes[class_index]
        if not class_timing.bounded:
            return UnlimitedCallPlan(now + patience_ms)
        limit_ms = min(patience_ms, class_timing.gives_up_ms) - self.policy.answer_lead_ms(
            self.site.answer_grace_ms
        )
        return PolicyCallPlan(self, class_timing, class_index, destination, now + limit_ms)

    def credit_first_attempt(self, class_index: int, destination: int, budget: Budget, now: float) -> None:
        """Adds the share of a first attempt to the buckets of the class and of the destination."""
        for bucket, rate in self._buckets(class_index, destination, budget, now):
            bucket.refill(now, rate, budget.share)

    def can_afford_retry(self, class_index: int, destination: int, budget: Budget, now: float) -> bool:
        """Returns whether both buckets hold a token for a further attempt."""
        # Both are refilled before the comparison: a short-circuit would lose the tokens of the second.
        levels = [
            bucket.refill(now, rate) for bucket, rate in self._buckets(class_index, destination, budget, now)
        ]
        return min(levels) >= 1.0

    def charge_retry(self, class_index: int, destination: int, budget: Budget, now: float) -> None:
        """Takes a token from both buckets for a further attempt."""
        for bucket, rate in self._buckets(class_index, destination, budget, now):
            bucket.refill(now, rate)
            bucket.tokens -= 1.0

    def _buckets(
        self, class_index: int, destination: int, budget: Budget, now: float
    ) -> tuple[tuple[RetryBucket, float], tuple[RetryBucket, float]]:
        """Returns the buckets of the class and of the destination, each with its rate per second."""
        class_bucket = self.class_buckets.get(class_index)
        if class_bucket is None:
            class_bucket = self.class_buckets[class_index] = RetryBucket(
                now, max(1.0, budget.per_second * BURST_S)
            )
        key = (class_index, destination)
        destination_bucket = self.destination_buckets.get(key)
        if destination_bucket is None:
            destination_bucket = self.destination_buckets[key] = RetryBucket(
                now, max(1.0, budget.per_destination * BURST_S)
            )
            if len(self.destination_buckets) > MAX_DESTINATION_BUCKETS:
                self.destination_buckets.popitem(last=False)
        else:
            self.destination_buckets.move_to_end(key)
        return (class_bucket, budget.per_second), (destination_bucket, budget.per_destination)


class PolicyCallPlan:
    """The plan of one call under a policy; the call keeps it when another policy is applied."""

    __slots__ = (
        "attempt_count",
        "attempts_by_route",
        "class_index",
        "class_timing",
        "deadline_at",
        "destination",
        "engine",
        "exhausted",
        "first_sent_at",
        "jitter_draw",
        "last_ended_at",
        "last_in_doubt",
        "route_index",
    )

    def __init__(
        self,
        engine: TimingEngine,
        class_timing: ClassTiming,
        class_index: int,
        destination: int,
        deadline_at: float,
    ) -> None:
        self.engine = engine
        self.class_timing = class_timing
        self.class_index = class_index
        self.destination = destination
        self.deadline_at = deadline_at
        self.exhausted = False
        self.attempt_count = 0
        self.attempts_by_route = [0] * len(class_timing.routes)
        self.route_index = 0  # of the last `attempt_wait_ms` call
        self.first_sent_at = self.last_ended_at = -math.inf
        self.last_in_doubt = False  # whether the last attempt ended in doubt
        self.jitter_draw = 0.5  # random number from 0 to 1 for the back-off after the last attempt

    def attempt_wait_ms(self, now: float, direct: bool, exchange: int, zone: int) -> float | None:
        """Returns how long an attempt through that exchange may take; None if none may be sent now.

        The first attempt of a call may take the time that is left, however short.  A further one is sent only
        if its whole wait and the release time fit before the deadline, as the decision module answers
        otherwise.
        """
        self.route_index = index = self.class_timing.route_index(direct, exchange, zone)
        route = self.class_timing.routes[index]
        left_ms = self.deadline_at - now
        attempt = self._next_attempt(index, route)
        if attempt is None or left_ms <= 0.0:
            return None
        if self.attempt_count == 0:
            return min(attempt.wait_ms, left_ms)
        budget = self.class_timing.budget
        if (
            now < self._earliest_start_at(route, attempt)
            or not self._fits_before_deadline(attempt, now)
            or (
                budget is not None
                and not self.engine.can_afford_retry(self.class_index, self.destination, budget, now)
            )
        ):
            return None
        return min(attempt.wait_ms, left_ms)

    def on_attempt_sent(self, now: float) -> None:
        """Records that an attempt was sent over the route of the last `attempt_wait_ms` call."""
        budget = self.class_timing.budget
        if self.attempt_count == 0:
            self.first_sent_at = now
            if budget is not None:
                self.engine.credit_first_attempt(self.class_index, self.destination, budget, now)
        else:
            self.engine.retries += 1
            if budget is not None:
                self.engine.charge_retry(self.class_index, self.destination, budget, now)
        self.attempt_count += 1
        self.attempts_by_route[self.route_index] += 1

    def on_attempt_ended(self, now: float, in_doubt: bool, was_sent: bool) -> float:
        """Records the end of an attempt; returns the earliest time for the next one.

        `was_sent` is False for an attempt that never reached the exchange: the next one needs no gap.
        """
        self.last_ended_at = now if was_sent else -math.inf
        self.last_in_doubt = in_doubt
        self.jitter_draw = self.engine.random_fraction()
        earliest_at = math.inf
        for index, route in enumerate(self.class_timing.routes):
            attempt = self._next_attempt(index, route)
            if attempt is not None:
                start_at = max(now, self._earliest_start_at(route, attempt))
                if self._fits_before_deadline(attempt, start_at):
                    earliest_at = min(earliest_at, start_at)
        budget = self.class_timing.budget
        over_budget = budget is not None and not self.engine.can_afford_retry(
            self.class_index, self.destination, budget, now
        )
        if over_budget and earliest_at < math.inf:
            self.engine.retries_refused += 1
        self.exhausted = over_budget or earliest_at == math.inf
        return earliest_at if earliest_at < math.inf else now

    def _next_attempt(self, index: int, route: Route) -> AttemptTiming | None:
        """Returns the route's next attempt; None if all its attempts are used."""
        if not route.attempts:
            return self.engine.default_attempt
        used = self.attempts_by_route[index]
        return route.attempts[used] if used < len(route.attempts) else None

    def _earliest_start_at(self, route: Route, attempt: AttemptTiming) -> float:
        gap_ms = required_gap_ms(
            attempt, route.back_off, self.attempt_count, self.last_in_doubt, self.jitter_draw
        )
        return max(self.last_ended_at + gap_ms, self.first_sent_at + attempt.copy_after_ms)

    def _fits_before_deadline(self, attempt: AttemptTiming, start_at: float) -> bool:
        wait_ms = 0.0 if math.isinf(attempt.wait_ms) else attempt.wait_ms
        return start_at + max(wait_ms, self.engine.site.release_ms) <= self.deadline_at

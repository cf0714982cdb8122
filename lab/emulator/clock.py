"""Virtual time: a heap of timers.

Timers due at the same time fire in the order in which they were set, so that a seed always gives the same
run.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        self.callback = None


class Clock:
    """A simulated clock in milliseconds."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = 0
        self.fired_count = 0  # callbacks called, without the cancelled ones

    def at(self, when: float, act: Callable[[], None]) -> Timer:
        """Schedules a callback; a time in the past counts as now."""
        timer = Timer(act)
        self._timer_count += 1
        heapq.heappush(self._timers, (when if when > self.now else self.now, self._timer_count, timer))
        return timer

    def run(self, until: float = math.inf) -> None:
        """Fires all timers due up to and including a time, or without a time until no timer is left."""
        timers = self._timers
        while timers and timers[0][0] <= until:
            self.now, _, timer = heapq.heappop(timers)
            if timer.callback is not None:
                callback = timer.callback
                timer.callback = None
                self.fired_count += 1
                callback()
        if not math.isinf(until):
            self.now = until


class ProcessClock:
    """The clock of one controller process: its timers no longer have an effect once `alive` is false."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.alive = True

    @property
    def now(self) -> float:
        """The simulated time in milliseconds."""
        return self.clock.now

    def at(self, when: float, act: Callable[[], None]) -> Timer:
        """Schedules a callback that is skipped after the end of the process."""
        return self.clock.at(when, lambda: act() if self.alive else None)

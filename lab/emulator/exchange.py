"""A model of an exchange: its processor, the cost of each kind of message, and how it fails.

An exchange rejects a set-up that would wait too long and reports the wait; the rejection costs work too.
Work on a set-up that the caller has abandoned is done nevertheless.  After a cold start the exchange fails
when set-ups need more than a multiple of its capacity within a time window.  The default costs and times lie
in ranges like those of the platform.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.emulator.clock import Clock
from lab.emulator.processor import Processor
from lab.emulator.streams import RandomStream


@dataclass(frozen=True, slots=True)
class Costs:
    """The work for each kind of message, in milliseconds of a processor at full speed."""

    inspection: float = 3.0  # for every set-up, also one that is rejected
    set_up: float = 17.0
    answer: float = 8.0
    release: float = 8.0
    rejection: float = 3.0  # in addition to the inspection
    probe: float = 0.3


@dataclass(frozen=True, slots=True)
class ExchangeParameters:
    """Limits and times of an exchange's own behaviour."""

    max_wait_ms: float = 2_500.0  # a set-up that would wait longer is rejected
    cold_speed_share: float = 0.4  # fraction of the full speed after a cold start
    warm_up_ms: float = 12_000.0
    overload_multiple: float = 3.0  # offered work over capacity at which a cold exchange fails
    overload_window_ms: float = 1_000.0
    report_interval_ms: float = 300.0  # interval at which the reported wait is updated
    report_noise: float = 0.05  # relative error of the reported wait
    answers_first: bool = False


class Exchange:
    """One exchange; its address changes when its machine is replaced."""

    def __init__(
        self,
        clock: Clock,
        number: int,
        zone: int,
        costs: Costs,
        parameters: ExchangeParameters,
        noise: RandomStream,
    ) -> None:
        self.clock = clock
        self.number = number
        self.zone = zone
        self.costs = costs
        self.parameters = parameters
        self.noise_stream = noise
        self.processor = Processor(clock, parameters.answers_first)
        self.generation = 0  # number of replacements of the machine, modulo 256
        self.started_ms = 0.0  # time of the last replacement, 0 if there was none
        self.failed = False  # by overload while it was cold, until the replacement
        self.silent_until = -math.inf  # a hung machine that accepts set-ups and answers none
        self.recent_set_ups: deque[float] = deque()  # arrival times of set-ups during the warm-up
        self.last_report = (-math.inf, 0.0)  # time, wait
        self.on_cold_overload: Callable[[], None] = lambda: None
        # A set-up is wasted if its caller abandoned it before the exchange processed it.
        self.rejected_set_ups = self.wasted_set_ups = 0

    @property
    def address(self) -> bytes:
        """The address of the current machine."""
        return bytes([10, self.generation, 0, self.number, 19, 206])

    @property
    def available(self) -> bool:
        """Whether the exchange accepts set-ups and probes."""
        return self.processor.running and not self.failed

    @property
    def cold(self) -> bool:
        """Whether the exchange is in its warm-up after a replacement."""
        return self.started_ms > 0.0 and self.clock.now < self.started_ms + self.parameters.warm_up_ms

    def set_up(self, on_done: Callable[[], None], on_rejected: Callable[[float], None]) -> None:
        """Queues a set-up, or rejects it with the current wait in milliseconds; ignores it if unavailable."""
        self._check_cold_overload()
        if not self.available:
            return
        wait_ms = self.processor.wait_ms()
        if wait_ms > self.parameters.max_wait_ms:
            self.rejected_set_ups += 1
            self.processor.add(self.costs.inspection + self.costs.rejection, lambda: on_rejected(wait_ms))
        else:
            self.processor.add(self.costs.inspection + self.costs.set_up, on_done)

    def answer(self, on_done: Callable[[], None]) -> None:
        """Queues an answer that passes the exchange, before the set-ups with `answers_first`."""
        self.processor.add(self.costs.answer, on_done, priority=True)

    def release(self, on_done: Callable[[], None]) -> None:
        """Queues a release, before the set-ups with `answers_first`."""
        self.processor.add(self.costs.release, on_done, priority=True)

    def probe(self, on_done: Callable[[tuple[float, ...]], None]) -> None:
        """Queues a probe, which is answered with the report; ignores it if unavailable."""
        if self.available:
            self.processor.add(self.costs.probe, lambda: on_done(self.report()))

    def report(self) -> tuple[float, ...]:
        """Returns the wait in milliseconds as last measured, with a random error."""
        now = self.clock.now
        if now >= self.last_report[0] + self.parameters.report_interval_ms:
            error_factor = 1.0 + self.parameters.report_noise * self.noise_stream.uniform(-1.0, 1.0)
            self.last_report = now, self.processor.wait_ms() * error_factor
        return (self.last_report[1],)

    # ---- failures ----

    def crash(self) -> None:
        """Stops the machine; all its jobs are lost."""
        self.processor.stop()

    def replace(self) -> None:
        """Replaces the machine by a cold one with another address."""
        self.processor.stop()
        self.generation = (self.generation + 1) % 256
        self.failed = False
        self.recent_set_ups.clear()
        self.processor.start(self.parameters.cold_speed_share, self.parameters.warm_up_ms)
        self.started_ms = self.clock.now

    def _check_cold_overload(self) -> None:
        """Fails the exchange when recent set-ups need more than the allowed multiple of its cold capacity."""
        if not self.cold or self.failed:
            return
        now = self.clock.now
        work = self.costs.inspection + self.costs.set_up
        self.recent_set_ups.append(now)
        while self.recent_set_ups[0] <= now - self.parameters.overload_window_ms:
            self.recent_set_ups.popleft()
        capacity_ms = self.processor.warm_up.speed(now) * self.parameters.overload_window_ms
        if len(self.recent_set_ups) * work > self.parameters.overload_multiple * capacity_ms:
            self.failed = True
            self.processor.stop()
            self.on_cold_overload()

"""A single-server queue on a virtual clock: the waiting jobs, the job in progress and the processing speed.

Work is given in milliseconds of a processor at full speed.  The speed is the product of the warm-up after a
cold start and the slowdown factor, and is zero during a stall; when it changes, the job in progress continues
at the new speed.  With `answers_first`, answers and releases are served before waiting set-ups, without
preemption; otherwise there is one queue, first come first served.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.emulator.clock import Clock, Timer


@dataclass(slots=True)
class Job:
    """A piece of work, the callback for its completion and the time at which it was queued."""

    work_ms: float
    on_done: Callable[[], None]
    arrived_at: float


@dataclass(slots=True)
class WarmUp:
    """A cold start: the speed rises linearly from `initial_speed` to 1 over `duration_ms`."""

    started_at: float = -math.inf
    initial_speed: float = 1.0
    duration_ms: float = 1.0

    def speed(self, now: float) -> float:
        """Returns the fraction of the full speed at a time."""
        if now >= self.started_at + self.duration_ms:
            return 1.0
        return self.initial_speed + (1.0 - self.initial_speed) * (now - self.started_at) / self.duration_ms


class Processor:
    """The processor of one exchange, with its queue.

    `busy_ms` is the work done, in milliseconds at full speed.  `waited_ms` is the sum of the waiting times of
    the `served_count` jobs that were started.
    """

    WARM_UP_STEP_MS = 50.0  # interval at which the speed is updated during the warm-up

    def __init__(self, clock: Clock, answers_first: bool = False) -> None:
        self.clock = clock
        self.answers_first = answers_first
        self.queue: deque[Job] = deque()
        self.priority_queue: deque[Job] = deque()
        self.queued_ms = 0.0  # work of the waiting jobs
        self.warm_up = WarmUp()
        self.slowdown = 1.0  # factor by which work takes longer than at full speed
        self.stalled_until = -math.inf
        self.running = True
        self.busy_ms = self.waited_ms = 0.0
        self.served_count = 0
        self._job: Job | None = None
        self._remaining_ms = 0.0  # work left of the current job, at `_updated_at`
        self._updated_at = 0.0
        self._speed = 0.0
        self._timer: Timer | None = None

    # ---- work ----

    def add(self, work_ms: float, on_done: Callable[[], None], priority: bool = False) -> None:
        """Adds a job to the queue; it is dropped if the processor is not running."""
        if not self.running:
            return
        job = Job(work_ms, on_done, self.clock.now)
        (self.priority_queue if priority and self.answers_first else self.queue).append(job)
        self.queued_ms += work_ms
        if self._job is None:
            self._start_next_job()

    def wait_ms(self) -> float:
        """Returns how long a new job would wait at the current speed; the rest of a stall is not included."""
        remaining_ms = self._current_remaining_ms() if self._job is not None else 0.0
        return (self.queued_ms + remaining_ms) / max(self._current_speed(), 1e-3)

    @property
    def queue_length(self) -> int:
        """The number of jobs that wait or are in progress."""
        return len(self.queue) + len(self.priority_queue) + (self._job is not None)

    # ---- state changes ----

    def stop(self) -> None:
        """Stops the processor and drops all its jobs."""
        self.running = False
        self.queue.clear()
        self.priority_queue.clear()
        self.queued_ms = 0.0
        self._job = None
        if self._timer is not None:
            self._timer.cancel()

    def start(self, initial_speed: float = 1.0, warm_up_ms: float = 1.0) -> None:
        """Starts the processor; its speed rises from the fraction `initial_speed` to 1 during the warm-up."""
        self.running = True
        self.warm_up = WarmUp(self.clock.now, initial_speed, warm_up_ms)

    def set_speed(self, slowdown: float | None = None, stalled_until: float | None = None) -> None:
        """Changes the slowdown factor, or stalls the processor until a time."""
        self._account_progress()
        if slowdown is not None:
            self.slowdown = slowdown
        if stalled_until is not None:
            self.stalled_until = max(self.stalled_until, stalled_until)
        self._continue_job()

    # ---- internals ----

    def _current_speed(self) -> float:
        return self.warm_up.speed(self.clock.now) / self.slowdown

    def _current_remaining_ms(self) -> float:
        return max(0.0, self._remaining_ms - (self.clock.now - self._updated_at) * self._speed)

    def _account_progress(self) -> None:
        """Adds the work done on the current job so far to `busy_ms`."""
        if self._job is not None:
            remaining_ms = self._current_remaining_ms()
            self.busy_ms += self._remaining_ms - remaining_ms
            self._remaining_ms = remaining_ms
            self._updated_at = self.clock.now
            if self._timer is not None:
                self._timer.cancel()

    def _start_next_job(self) -> None:
        queue = self.priority_queue or self.queue
        if not queue:
            self._job = None
            return
        job = self._job = queue.popleft()
        self.queued_ms = max(0.0, self.queued_ms - job.work_ms)
        self.waited_ms += self.clock.now - job.arrived_at
        self.served_count += 1
        self._remaining_ms = job.work_ms
        self._updated_at = self.clock.now
        self._continue_job()

    def _continue_job(self) -> None:
        """Sets the timer for the completion of the current job, or for an earlier change of the speed."""
        if self._job is None:
            return
        now = self.clock.now
        if now < self.stalled_until:
            self._speed = 0.0
            self._timer = self.clock.at(self.stalled_until, self._on_speed_change)
            return
        self._speed = self._current_speed()
        done_at = now + self._remaining_ms / self._speed
        if self._speed < 1.0 / self.slowdown and done_at > now + self.WARM_UP_STEP_MS:  # still warming up
            self._timer = self.clock.at(now + self.WARM_UP_STEP_MS, self._on_speed_change)
        else:
            self._timer = self.clock.at(done_at, self._on_job_done)

    def _on_speed_change(self) -> None:
        self._timer = None
        self._account_progress()
        self._continue_job()

    def _on_job_done(self) -> None:
        job = self._job
        assert job is not None
        self.busy_ms += self._remaining_ms
        self._timer = None
        self._start_next_job()
        job.on_done()

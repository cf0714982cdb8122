"""A single-threaded event loop: epoll, a timer heap, and generators as coroutines.

A coroutine yields the `Signal` that it waits for and is resumed when that signal fires.  Everything that runs
in one turn of the loop sees the same time, `now`, in Unix milliseconds.  Tests pass in their own clock and
poller.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
PEER_ENDED = select.EPOLLRDHUP  # the peer has ended its sending side; data before that may be unread
# Messages of one connection that its owner handles before it yields: others wait some milliseconds at most.
MAX_MESSAGES_PER_TURN = 32
MAX_POLL_MS = 1_000.0  # longest wait for events, also while no timer is due


class Signal:
    """An event that coroutines wait for, not an operating system signal; `Loop.fire` resumes all of them."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: list[Coroutine] = []


Coroutine = Generator[Signal, None, Any]


class Poller(Protocol):
    """The part of `select.epoll` that the loop uses."""

    def register(self, fd: int, eventmask: int) -> None:
        """Adds a descriptor."""
        ...

    def modify(self, fd: int, eventmask: int) -> None:
        """Replaces the event mask of a descriptor."""
        ...

    def unregister(self, fd: int) -> None:
        """Removes a descriptor."""
        ...

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Waits at most `timeout` seconds; returns the ready descriptors with their event masks."""
        ...


class Timer:
    """A callback that runs at `due_at`, in Unix milliseconds, unless it is cancelled before."""

    __slots__ = ("callback", "due_at")

    def __init__(self, due_at: float, callback: Callable[[], None]) -> None:
        self.due_at = due_at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the callback; the entry in the timer heap is skipped when it comes due."""
        self.callback = None


def unix_ms() -> float:
    """Returns the system's Unix time in milliseconds."""
    return time.time() * 1000.0


class Loop:
    """Runs the coroutines, timers and descriptor watchers of one thread."""

    def __init__(self, read_clock: Callable[[], float] = unix_ms, poller: Poller | None = None) -> None:
        self.read_clock = read_clock
        self.now = read_clock()
        self.poller: Poller = poller if poller is not None else select.epoll()
        # Receives exceptions of coroutines and callbacks; if None, `turn` and `start` raise them.
        self.on_exception: Callable[[BaseException], None] | None = None
        self.running = True
        self.longest_turn_ms = 0.0  # duration of the longest turn so far: the maximum lateness of the loop
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_sequence = itertools.count()  # orders timers that are due at the same time
        self._ready: deque[Coroutine] = deque()
        self._yielded: list[Signal] = []  # fired in the next turn, once its descriptors are handled
        # Event mask, callback, and whether it has high priority, by descriptor.
        self._watchers: dict[int, tuple[int, Callable[[int], None], bool]] = {}

    # ---- coroutines and timers ----

    def spawn(self, coroutine: Coroutine) -> None:
        """Schedules a coroutine to start within the current turn."""
        self._ready.append(coroutine)

    def start(self, coroutine: Coroutine) -> None:
        """Runs a coroutine immediately up to its first wait.

        A caller that accepts several connections in one turn sees what the coroutine has registered before it
        accepts the next one.
        """
        self._run_guarded(lambda: self._step(coroutine))

    def fire(self, signal: Signal) -> None:
        """Schedules every coroutine that waits for the signal."""
        if signal.waiters:
            waiters = signal.waiters
            signal.waiters = []
            self._ready.extend(waiters)

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Calls `callback` at `due_at`, in Unix milliseconds, or soon if that time has passed."""
        timer = Timer(due_at, callback)
        heapq.heappush(self._timers, (due_at, next(self._timer_sequence), timer))
        return timer

    def sleep(self, delay_ms: float, wake: Signal | None = None) -> Coroutine:
        """Waits for the delay, or until `wake` fires."""
        signal = wake if wake is not None else Signal()
        timer = self.call_at(self.now + delay_ms, lambda: self.fire(signal))
        yield signal
        timer.cancel()

    def yield_turn(self) -> Coroutine:
        """Gives way to all other work that is ready, and goes on in the next turn."""
        signal = Signal()
        self._yielded.append(signal)
        yield signal

    # ---- descriptors ----

    def watch(self, fd: int, mask: int, callback: Callable[[int], None], high_priority: bool = False) -> None:
        """Calls `callback` with the event mask whenever the descriptor is ready.

        High-priority descriptors are handled first in each turn.  A second call for a descriptor replaces its
        mask, callback and priority.
        """
        registered = fd in self._watchers
        self._watchers[fd] = (mask, callback, high_priority)
        (self.poller.modify if registered else self.poller.register)(fd, mask)

    def unwatch(self, fd: int) -> None:
        """Stops watching the descriptor; does nothing if it is not watched."""
        if self._watchers.pop(fd, None) is not None:
            self.poller.unregister(fd)

    # ---- running ----

    def turn(self) -> None:
        """Waits for the next event or timer, then handles ready descriptors before due timers.

        With the timers first, a loop that runs late would time out an answer that is already in the socket's
        receive buffer.
        """
        events = self.poller.poll(self._poll_timeout_ms() / 1000.0)
        yielded = self._yielded
        self._yielded = []
        started_at = self.read_clock()
        # `now` never goes backwards, even if the system's clock is set back.
        self.now = max(self.now, started_at)
        for fd, mask in sorted(events, key=self._priority_rank):
            watcher = self._watchers.get(fd)
            if watcher is not None:
                self._run_guarded(lambda callback=watcher[1], mask=mask: callback(mask))  # type: ignore[misc]
                self._resume_ready()  # finishes a high-priority event before the next descriptor is read
        for signal in yielded:
            self.fire(signal)
        self._resume_ready()
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self._run_guarded(timer.callback)
            self._resume_ready()
        self.longest_turn_ms = max(self.longest_turn_ms, self.read_clock() - started_at)

    def run(self) -> None:
        """Runs turns until `running` is false."""
        while self.running:
            self.turn()

    def _priority_rank(self, event: tuple[int, int]) -> bool:
        """Sort key: False, which sorts first, for high-priority descriptors."""
        watcher = self._watchers.get(event[0])
        return watcher is None or not watcher[2]

    def _poll_timeout_ms(self) -> float:
        if self._ready or self._yielded:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        due_at = self._timers[0][0] if self._timers else self.now + MAX_POLL_MS
        # Adds 0.5 ms because epoll counts whole milliseconds: a shorter time-out would poll in a busy loop
        # until the timer is due.
        return (
            min(max(due_at - self.read_clock(), 0.0) + 0.5, MAX_POLL_MS)
            if due_at > self.read_clock()
            else 0.0
        )

    def _resume_ready(self) -> None:
        while self._ready:
            coroutine = self._ready.popleft()
            self._run_guarded(lambda c=coroutine: self._step(c))  # type: ignore[misc]

    @staticmethod
    def _step(coroutine: Coroutine) -> None:
        with contextlib.suppress(StopIteration):
            next(coroutine).waiters.append(coroutine)

    def _run_guarded(self, callback: Callable[[], None]) -> None:
        """Passes an exception to `on_exception`, so that it ends the failed task and not the program."""
        try:
            callback()
        except Exception as error:
            if self.on_exception is None:
                raise
            self.on_exception(error)

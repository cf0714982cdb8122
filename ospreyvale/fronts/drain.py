"""Draining of clients at the request of operators: a state that all client interfaces check."""

from __future__ import annotations

import math
from collections.abc import Callable

from ospreyvale.routing.context import Log
from ospreyvale.transport.loop import Loop

# New connections arrive until 0.3 s after the request; a client that is closed sooner would connect again.
CLOSE_AFTER_MS = 400.0
# Set-ups are served until so long after the request and refused from then on: 4 s after the request no
# connection may be idle or have had a request in the last 2 s.
REFUSE_AFTER_MS = 1_800.0
SWEEP_INTERVAL_MS = 50.0


class Drain:
    """Whether a drain is in progress, and how far; `sweep_callbacks` are called repeatedly meanwhile."""

    def __init__(self, loop: Loop, log: Log) -> None:
        self.loop = loop
        self.log = log
        self.began_at = math.inf  # Unix milliseconds; infinity: no drain is in progress
        self.close_after_ms = CLOSE_AFTER_MS
        self.refuse_after_ms = REFUSE_AFTER_MS
        self.sweep_callbacks: list[Callable[[], None]] = []  # one for each client interface
        # Called with `active` when a drain begins and when it ends.
        self.change_callbacks: list[Callable[[bool], None]] = []

    @property
    def active(self) -> bool:
        """Whether a drain is in progress."""
        return self.began_at < math.inf

    @property
    def closing(self) -> bool:
        """Whether connections without a call are closed."""
        return self.loop.now >= self.began_at + self.close_after_ms

    @property
    def refusing(self) -> bool:
        """Whether new set-ups are refused."""
        return self.loop.now >= self.began_at + self.refuse_after_ms

    def begin(self, close_after_ms: float = CLOSE_AFTER_MS, refuse_after_ms: float = REFUSE_AFTER_MS) -> None:
        """Begins a drain, unless one is in progress.

        Connections without a call are closed after `close_after_ms`, set-ups refused after `refuse_after_ms`.
        """
        if not self.active:
            self.began_at = self.loop.now
            self.close_after_ms = close_after_ms
            self.refuse_after_ms = refuse_after_ms
            self.log("drain_began")
            self._notify()
            self.loop.call_at(
                self.began_at + close_after_ms,
                lambda began_at=self.began_at: self._sweep(began_at),  # type: ignore[misc]
            )

    def refuse_now(self) -> None:
        """Refuses new set-ups from now on, in the drain that is in progress."""
        self.refuse_after_ms = min(self.refuse_after_ms, self.loop.now - self.began_at)

    def end(self) -> None:
        """Ends the drain."""
        if self.active:
            self.began_at = math.inf
            self.log("drain_ended")
            self._notify()

    def _notify(self) -> None:
        for on_change in self.change_callbacks:
            on_change(self.active)

    def _sweep(self, began_at: float) -> None:
        if self.began_at == began_at:  # otherwise that drain has ended
            for sweep in self.sweep_callbacks:
                sweep()
            self.loop.call_at(self.loop.now + SWEEP_INTERVAL_MS, lambda: self._sweep(began_at))

"""Unix signals of the session controller process: held during its start, then received by its event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from ospreyvale.transport.loop import READ, Loop

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def hold_signals() -> None:
    """Holds the handled signals until there is a `SignalReceiver`: most of them end a process by default."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


class SignalReceiver:
    """Passes Unix signals to `on_signal` within a turn of the loop.

    Uses a socket pair (see signal.set_wakeup_fd).  Keeps a reference to both ends: when the writing end was
    garbage-collected, the reading end was always ready and the loop used a whole CPU core.  Signals that
    `hold_signals` has held are received too.
    """

    def __init__(self, loop: Loop, on_signal: Callable[[int], None]) -> None:
        self.on_signal = on_signal
        self.reading_end, self.writing_end = socket.socketpair()
        for end in (self.reading_end, self.writing_end):
            end.setblocking(False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.writing_end.fileno(), warn_on_full_buffer=False)
        loop.watch(self.reading_end.fileno(), READ, self._on_readable)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def close(self) -> None:
        """Stops receiving signals."""
        signal.set_wakeup_fd(-1)
        self.reading_end.close()
        self.writing_end.close()

    def _on_readable(self, _: int) -> None:
        for number in self.reading_end.recv(64):
            self.on_signal(number)

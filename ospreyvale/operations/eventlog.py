"""The event log: one line of JSON per event on standard output."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

import orjson

MAX_QUEUED_BYTES = 1_048_576  # while the reader of the log is slow; events beyond this are dropped


class EventLog:
    """Writes events without waiting for their reader.

    Each line has the time in ms (`ts`), `node` and `event`.
    """

    def __init__(self, read_clock: Callable[[], float], name: str, fd: int | None = None) -> None:
        self.read_clock = read_clock
        self.name = name
        self.dropped = 0  # lines
        self.fd = sys.stdout.fileno() if fd is None else fd
        self._queue = bytearray()
        os.set_blocking(self.fd, False)

    def __call__(self, event: str, **fields: Any) -> None:
        """Queues the line of an event; values that JSON does not know are written as text."""
        self.write(
            orjson.dumps(
                {"ts": round(self.read_clock()), "node": self.name, "event": event, **fields},
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )
        )

    def write(self, line: bytes) -> None:
        """Queues one line, or counts it as dropped if more than MAX_QUEUED_BYTES are queued."""
        if len(self._queue) > MAX_QUEUED_BYTES:
            self.dropped += 1
        else:
            self._queue += line

    def flush(self) -> None:
        """Writes as many queued bytes as the reader accepts without blocking."""
        try:
            while self._queue:
                del self._queue[: os.write(self.fd, self._queue)]
        except BlockingIOError:
            pass
        except OSError:  # the reader has closed the log; calls are still served
            self._queue.clear()

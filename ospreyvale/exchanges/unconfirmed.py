"""Attempts at one exchange that ended for this controller while the exchange may still hold their calls.

Messages name a call and not an attempt.  While an earlier attempt of a call is unconfirmed, a release from
the exchange may concern that attempt instead of the later one.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_UNCONFIRMED = 4_096  # calls, at one exchange
# Exchanges release a call at its end, which may be long after its answer was lost.
UNCONFIRMED_MS = 60_000.0


class UnconfirmedAttempts:
    """The calls with an unconfirmed attempt at one exchange, each with the connection of that attempt."""

    def __init__(self) -> None:
        self._attempts: OrderedDict[int, tuple[int, float]] = OrderedDict()  # oldest first

    def __contains__(self, call: int) -> bool:
        return call in self._attempts

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, call: int, connection_number: int, now: float) -> None:
        """Adds an attempt that ended without a message from the exchange; drops those that are too old."""
        self._attempts.pop(call, None)
        self._attempts[call] = connection_number, now
        while len(self._attempts) > MAX_UNCONFIRMED or self._oldest_at() < now - UNCONFIRMED_MS:
            self._attempts.popitem(last=False)

    def was_on(self, call: int, connection_number: int) -> bool:
        """Whether the last unconfirmed attempt of the call was sent on that connection."""
        attempt = self._attempts.get(call)
        return attempt is not None and attempt[0] == connection_number

    def _oldest_at(self) -> float:
        return next(iter(self._attempts.values()))[1]

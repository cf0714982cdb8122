"""Releases that were written to connections and that the far side has not acknowledged.

What is on its way when a connection is lost is lost with it.  A release that was written is therefore
remembered until the far side has acknowledged it, and sent again if its connection is lost before.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

ConnectionType = TypeVar("ConnectionType", bound=Hashable)
MAX_UNACKNOWLEDGED = 8_192  # releases; beyond them the oldest are forgotten


@dataclass(frozen=True, slots=True)
class SentRelease(Generic[ConnectionType]):
    """One release that was written to a connection."""

    call: int
    cause: int  # Q.850
    connection: ConnectionType
    sent_at: float  # Unix milliseconds


class UnacknowledgedReleases(Generic[ConnectionType]):
    """The unacknowledged releases on some connections, at most one for each call."""

    def __init__(self) -> None:
        self._by_call: OrderedDict[int, SentRelease[ConnectionType]] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        return len(self._by_call)

    def __contains__(self, call: int) -> bool:
        return call in self._by_call

    def calls(self) -> list[int]:
        """Returns the calls with an unacknowledged release, the oldest first."""
        return list(self._by_call)

    def add(self, call: int, cause: int, connection: ConnectionType, now: float) -> None:
        """Adds a release that was just written; it takes the place of an earlier one of its call."""
        self._by_call.pop(call, None)
        self._by_call[call] = SentRelease(call, cause, connection, now)
        if len(self._by_call) > MAX_UNACKNOWLEDGED:
            self._by_call.popitem(last=False)

    def remove(self, call: int) -> None:
        """Removes a release that was acknowledged, or that must not be repeated."""
        self._by_call.pop(call, None)

    def confirm(self, connection: ConnectionType, sent_before: float) -> None:
        """Removes the releases that were written to a connection before a time."""
        for release in list(self._by_call.values()):
            if release.sent_at >= sent_before:
                break
            if release.connection == connection:
                del self._by_call[release.call]

    def expire(self, sent_before: float) -> None:
        """Removes the releases that were written before a time."""
        while self._by_call and next(iter(self._by_call.values())).sent_at < sent_before:
            self._by_call.popitem(last=False)

    def clear(self) -> None:
        """Removes all releases."""
        self._by_call.clear()

    def take(self, connection: ConnectionType) -> list[SentRelease[ConnectionType]]:
        """Removes the releases on a connection and returns them, the oldest first."""
        taken = [release for release in self._by_call.values() if release.connection == connection]
        for release in taken:
            del self._by_call[release.call]
        return taken

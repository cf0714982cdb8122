"""Releases of calls toward callers: BYEs that wait for a connection, or that may be lost with one."""

from __future__ import annotations

from collections import Counter, OrderedDict

from ospreyvale.exchanges.unacknowledged import UnacknowledgedReleases
from ospreyvale.fronts.caller_connection import CallerConnection
from ospreyvale.protocol import sip
from ospreyvale.transport.loop import Loop

MAX_PENDING_RELEASES = 8_192  # releases that wait for a connection from a caller
# A release that a connection lost so long after it was sent is of no use to the caller any more.
REPEAT_RELEASE_MS = 8_000.0
# One that was sent so shortly before the caller ended its connection may have crossed that end.
CROSSING_RELEASE_MS = 1_000.0


class CallerReleases:
    """The releases that callers have not heard yet.

    A call that stands belongs to no connection: its BYE may be sent on any, and is sent again on another one
    if it may have been lost with the first.
    """

    def __init__(self, loop: Loop, node_name: str, counters: Counter[str]) -> None:
        self.loop = loop
        self.node_name = node_name
        self.counters = counters
        self.pending: OrderedDict[int, int] = OrderedDict()  # Q.850 cause by call, until a BYE can be sent
        self.unacknowledged = UnacknowledgedReleases[CallerConnection]()  # BYEs sent and not answered

    def add(self, call: int, cause: int) -> None:
        """Queues a release; beyond MAX_PENDING_RELEASES the oldest is dropped."""
        self.pending[call] = cause
        while len(self.pending) > MAX_PENDING_RELEASES:
            self.pending.popitem(last=False)

    def send_on(self, caller: CallerConnection) -> bool:
        """Sends BYE for all queued releases on a connection; returns False if it is closed."""
        while self.pending:
            call, cause = next(iter(self.pending.items()))
            if not caller.link.send(sip.encode_bye(call, cause, self.node_name)):
                return False
            del self.pending[call]
            self.unacknowledged.add(call, cause, caller, self.loop.now)
            self.unacknowledged.expire(self.loop.now - REPEAT_RELEASE_MS)
            self.counters["byes_sent"] += 1
        return True

    def acknowledge(self, call: int) -> None:
        """Records that the caller knows of the end of its call."""
        self.unacknowledged.remove(call)

    def requeue_lost(self, caller: CallerConnection, was_read: bool) -> bool:
        """Queues the releases again that may have been lost with a connection that has ended.

        `was_read` is whether the caller has read all of them.  Returns whether there are any.
        """
        reach_ms = CROSSING_RELEASE_MS if caller.peer_ended else REPEAT_RELEASE_MS
        lost = [
            release
            for release in self.unacknowledged.take(caller)
            if not was_read and release.sent_at > self.loop.now - reach_ms
        ]
        self.counters["byes_repeated"] += len(lost)
        for release in lost:
            self.add(release.call, release.cause)
        return bool(lost)

    def clear(self) -> None:
        """Removes all releases: another process has them."""
        self.pending.clear()
        self.unacknowledged.clear()

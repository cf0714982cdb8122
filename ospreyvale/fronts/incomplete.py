"""Time limit for connections that have not sent a complete message yet, or that stall inside one."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Loop

# Callers on poor links take up to 2 s to send a set-up, and connections that never complete a message have to
# be closed within 3 s.
INCOMPLETE_TIMEOUT_MS = 2_400.0
SWEEP_INTERVAL_MS = 100.0


class HasLink(Protocol):
    """A client interface's own object for a connection, such as `CallerConnection`."""

    @property
    def link(self) -> Link:
        """The connection itself."""
        ...


ConnectionType = TypeVar("ConnectionType", bound=HasLink)


class IncompleteConnections(Generic[ConnectionType]):
    """Closes connections that send nothing, or half a message, which would hold a descriptor for good.

    The owner calls `stop_timeout` for each connection that ends, so there are no more entries than
    connections.  A connection for which `is_exempt` returns True stays open, and is checked again in the next
    sweep.
    """

    def __init__(
        self, loop: Loop, counters: Counter[str], is_exempt: Callable[[ConnectionType], bool]
    ) -> None:
        self.loop = loop
        self.counters = counters
        self.is_exempt = is_exempt
        self.incomplete_since: OrderedDict[ConnectionType, float] = OrderedDict()  # oldest first
        self._sweep()

    def start_timeout(self, connection: ConnectionType) -> None:
        """Starts the time limit for a silent connection or a partial message, unless it runs already."""
        self.incomplete_since.setdefault(connection, self.loop.now)

    def stop_timeout(self, connection: ConnectionType) -> None:
        """Stops the time limit: a complete message was received, or the connection has ended."""
        self.incomplete_since.pop(connection, None)

    def _sweep(self) -> None:
        for connection, since in list(self.incomplete_since.items()):
            if self.loop.now < since + INCOMPLETE_TIMEOUT_MS:
                break
            if not self.is_exempt(connection):
                self.counters["connections_stalled"] += 1
                del self.incomplete_since[connection]
                connection.link.close()
        self.loop.call_at(self.loop.now + SWEEP_INTERVAL_MS, self._sweep)

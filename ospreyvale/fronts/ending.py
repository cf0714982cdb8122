"""Connections from clients whose sending side has ended, and which are read until the peer ends its own."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic

from ospreyvale.fronts.incomplete import ConnectionType
from ospreyvale.transport.loop import Loop

# A client that can be reached ends its side within a round trip.
ENDING_TIMEOUT_MS = 1_000.0


class EndingConnections(Generic[ConnectionType]):
    """Reads on after this side has ended: a request that crosses the end would be dropped otherwise.

    The owner calls `remove` for each connection that ends, so there are no more entries than connections.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._connections: OrderedDict[ConnectionType, None] = OrderedDict()  # the longest ending first

    def __contains__(self, connection: ConnectionType) -> bool:
        return connection in self._connections

    def __len__(self) -> int:
        return len(self._connections)

    def start(self, connection: ConnectionType) -> None:
        """Ends the sending side after the queued bytes; closes the connection if the peer takes too long."""
        self._connections[connection] = None
        connection.link.write_eof()
        self.loop.call_at(self.loop.now + ENDING_TIMEOUT_MS, connection.link.close)

    def remove(self, connection: ConnectionType) -> None:
        """Removes a connection that has ended."""
        self._connections.pop(connection, None)

    def close_oldest(self) -> bool:
        """Closes the connection that ends for longest; returns False if there is none."""
        if not self._connections:
            return False
        self._connections.popitem(last=False)[0].link.close()
        return True

"""A path with a delay between the program and a peer, which loopback sockets do not have by themselves."""

from __future__ import annotations

import socket
from collections.abc import Generator

from ospreyvale.transport.connection import Connection
from ospreyvale.transport.loop import Coroutine, Loop, Signal


class DelayedLink:
    """The peer's end of a connection: what either side sends, and the end of its stream, arrives later.

    What arrives in pieces may be delayed by up to twice the time, as the pieces are read one after the other.
    """

    def __init__(self, loop: Loop, connection: Connection, one_way_ms: float) -> None:
        self.loop = loop
        self.connection = connection
        self.one_way_ms = one_way_ms

    @property
    def sock(self) -> socket.socket:
        """The socket of the connection."""
        return self.connection.sock

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.connection.closed

    @property
    def write_blocked(self) -> bool:
        """Whether bytes are queued because the program does not read them."""
        return self.connection.write_blocked

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error."""
        return self.connection.was_reset

    @property
    def peer_ending(self) -> bool:
        """Whether the program has ended its side."""
        return self.connection.peer_ending

    @property
    def peer_gone(self) -> bool:
        """Whether the program has reset the connection."""
        return self.connection.peer_gone

    def wait_closed(self) -> Coroutine:
        """Waits until the connection is closed."""
        return self.connection.wait_closed()

    def receive(self) -> Generator[Signal, None, bytes]:
        """Waits for bytes; returns b"" at the end of the stream, both after the delay."""
        data = yield from self.connection.receive()
        yield from self.loop.sleep(self.one_way_ms)
        return data

    def send(self, data: bytes) -> bool:
        """Sends the bytes after the delay; returns False if the connection is closed."""

        def deliver() -> None:
            self.connection.send(data)

        self.loop.call_at(self.loop.now + self.one_way_ms, deliver)
        return not self.closed

    def write_eof(self) -> None:
        """Ends the sending side after the delay."""
        self.loop.call_at(self.loop.now + self.one_way_ms, self.connection.write_eof)

    def close(self) -> None:
        """Closes the connection after the delay."""
        self.loop.call_at(self.loop.now + self.one_way_ms, self.connection.close)

    def detach(self) -> tuple[int, bytes] | None:
        """Gives up the socket; see `Connection.detach`."""
        return self.connection.detach()

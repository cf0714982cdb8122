"""Relays datagrams and TCP connections on real sockets through a modelled poor link, on the given event loop.

A connection loses no data: a packet that the model loses arrives later, as after a retransmission by TCP, and
the packets behind it wait.  The retransmission timeout doubles for each loss in a row, up to a second.
"""

from __future__ import annotations

from collections.abc import Callable

from lab.impairment import ImpairedLink, Impairment
from ospreyvale.transport.connection import Link as Connection
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, DatagramSocket, Network

RETRANSMIT_MS = 200.0  # first retransmission time-out of a packet that a connection lost


class DatagramRelay:
    """Relays the datagrams between one device and the edge."""

    def __init__(self, network: Network, edge: Address, model: Impairment, seed: int) -> None:
        self.network = network
        self.loop = network.loop
        self.edge = edge
        self.link = ImpairedLink(model, seed, network.loop.now)
        self.on_receive: Callable[[bytes], None] = lambda data: None
        self.sockets_to_edge: list[DatagramSocket] = []
        self.change_address()

    def change_address(self) -> None:
        """Replaces the socket toward the edge; datagrams that still arrive at the old one are lost."""
        for socket in self.sockets_to_edge:
            socket.close()
        self.sockets_to_edge = [
            self.network.open_datagram_socket(
                ("127.0.0.1", 0), lambda _, data: self._relay("down", lambda: self.on_receive(data))
            )
        ]

    def send(self, data: bytes) -> None:
        """Sends a datagram of the device to the edge."""
        socket = self.sockets_to_edge[0]
        self._relay("up", lambda: socket.send(self.edge, data) if socket.fileno() >= 0 else None)

    def close(self) -> None:
        """Closes the sockets."""
        for socket in self.sockets_to_edge:
            socket.close()

    def _relay(self, direction: str, on_arrival: Callable[[], None]) -> None:
        for at in self.link.arrival_times(direction, self.loop.now):
            self.loop.call_at(at, on_arrival)


class StreamRelay:
    """Listens for the connections of a device and relays each to the edge."""

    def __init__(
        self, network: Network, listen: Address, edge: Address, model: Impairment, seed: int
    ) -> None:
        self.network = network
        self.loop = network.loop
        self.edge = edge
        self.link = ImpairedLink(model, seed, network.loop.now)
        self.last_arrival_at: dict[str, float] = {"up": 0.0, "down": 0.0}
        self.listener = network.listen(listen, self._serve, lambda: False)

    def close(self) -> None:
        """Closes the listener."""
        self.listener.close()

    def _serve(self, device_connection: Connection) -> Coroutine:
        edge_connection = yield from self.network.dial(self.edge, 1_000.0)
        if edge_connection is None:
            device_connection.close()
            return
        self.loop.spawn(self._copy("down", edge_connection, device_connection))
        yield from self._copy("up", device_connection, edge_connection)

    def _copy(self, direction: str, source: Connection, sink: Connection) -> Coroutine:
        while data := (yield from source.receive()):
            self._schedule_send(self._arrival_time(direction), sink, data)
        self.loop.call_at(max(self.loop.now, self.last_arrival_at[direction]), sink.close)

    def _schedule_send(self, at: float, sink: Connection, data: bytes) -> None:
        def send() -> None:
            sink.send(data)

        self.loop.call_at(at, send)

    def _arrival_time(self, direction: str) -> float:
        """Returns the arrival time of the next packet, which is after that of the packet before."""
        now = self.loop.now
        timeout_ms = RETRANSMIT_MS
        delay_ms = 0.0
        while not (arrival_times := self.link.arrival_times(direction, now)):
            delay_ms += timeout_ms
            timeout_ms = min(2.0 * timeout_ms, 1_000.0)
        self.last_arrival_at[direction] = max(
            self.last_arrival_at[direction] + 0.001, arrival_times[0] + delay_ms
        )
        return self.last_arrival_at[direction]

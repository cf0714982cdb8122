"""Connections to exchanges: when one is replaced, how it drains, and the half-closed socket below it."""

import math
import socket
from collections.abc import Callable

import pytest

from ospreyvale.exchanges.connection import (
    DEAD_AFTER_MS,
    DEAD_WITHOUT_SUCCESSOR_MS,
    DRAIN_TIMEOUT_MS,
    MIN_SUSPECT_AGE_MS,
    RESPONSE_TIMEOUT_MS,
    SET_UP_RESPONSE_TIMEOUT_MS,
    ExchangeConnection,
)
from ospreyvale.exchanges.remote_exchange import RemoteExchange
from ospreyvale.exchanges.supervision import MAX_DRAINING_CONNECTIONS, MIN_DRAIN_MS
from ospreyvale.exchanges.unacknowledged import MAX_UNACKNOWLEDGED, UnacknowledgedReleases
from ospreyvale.transport.connection import Connection, Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Network
from tests.player import MemoryLink, Player

EXCHANGE_ADDRESS = ("127.1.0.1", 5070)
EXCHANGE_ID = b"s-00000001"
LARGE_MESSAGE_BYTES = 200_000  # more than fits into the buffers of both sockets


def run_until(loop: Loop, condition: Callable[[], bool], turns: int = 400) -> None:
    """Runs the loop until the condition holds; fails after so many turns."""
    for _ in range(turns):
        if condition():
            return
        loop.call_at(loop.now + 5.0, lambda: None)
        loop.turn()
    pytest.fail("the condition does not hold")


class HalfClosedPair:
    """A connection of the program that has ended its sending side, and the peer's socket."""

    def __init__(self, queued: bytes = b"") -> None:
        self.loop = Loop()
        self.received = b""
        self.ended = False
        self.link = self._connect()
        if queued:
            self.link.send(queued)
        self.link.write_eof()
        self.loop.spawn(self._read())

    def _connect(self) -> Connection:
        listener = socket.create_server(("127.0.0.1", 0))
        self.peer = socket.create_connection(listener.getsockname())
        accepted = listener.accept()[0]
        listener.close()
        return Connection(self.loop, accepted)

    def _read(self) -> Coroutine:
        while data := (yield from self.link.receive()):
            self.received += data
        self.ended = True


def test_a_half_closed_connection_receives_until_the_peer_ends_its_side() -> None:
    """Guards against dropping what the peer sends before it notices the end of this side."""
    pair = HalfClosedPair()
    assert pair.peer.recv(10) == b""
    assert not pair.link.send(b"more")
    pair.peer.sendall(b"sent after the end of the other side")
    pair.peer.close()
    run_until(pair.loop, lambda: pair.ended)
    assert pair.received == b"sent after the end of the other side"
    assert not pair.link.was_reset


def test_queued_bytes_are_written_before_the_end_of_the_sending_side() -> None:
    """Guards against ending the stream in the middle of a message."""
    data = bytes(LARGE_MESSAGE_BYTES)
    pair = HalfClosedPair(data)
    pair.peer.setblocking(False)
    received = bytearray()
    at_end = False

    def read_peer() -> bool:
        nonlocal at_end
        try:
            while chunk := pair.peer.recv(65_536):
                received.extend(chunk)
            at_end = True
        except BlockingIOError:
            pass
        return at_end

    run_until(pair.loop, read_peer)
    assert bytes(received) == data


def test_a_reset_of_a_half_closed_connection_is_no_clean_end() -> None:
    """Guards against taking a reset, with which data may be lost, for the end of the peer's side."""
    pair = HalfClosedPair()
    pair.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    pair.peer.close()
    run_until(pair.loop, lambda: pair.ended)
    assert pair.link.was_reset


def test_a_dial_without_descriptors_takes_that_of_a_connection_that_can_be_spared() -> None:
    """Guards against draining connections that keep others from being opened."""
    loop = Loop()
    network = Network(loop)
    network.max_outgoing_connections = 1
    with socket.create_server(("127.0.0.1", 0)) as server:
        links: list[Link | None] = []

        def dial() -> Coroutine:
            link = yield from network.dial(server.getsockname(), 500.0)
            links.append(link)

        loop.spawn(dial())
        run_until(loop, lambda: len(links) == 1)
        assert links[0] is not None

        def close_first() -> bool:
            first = links[0]
            assert first is not None
            was_open = not first.closed
            first.close()
            return was_open

        network.free_outgoing = close_first
        started_at = loop.now
        loop.spawn(dial())
        run_until(loop, lambda: len(links) == 2)
        assert loop.now < started_at + 100.0 and links[1] is not None


def connection_at(now: float) -> ExchangeConnection:
    """Returns a connection that came up at that time."""
    return ExchangeConnection(MemoryLink(Loop()), 1, now)


def test_when_a_connection_is_unresponsive() -> None:
    """A set-up is reported at once; other responses wait for the processor, and for a young connection."""
    connection = connection_at(0.0)
    assert not connection.is_unresponsive(1e9, has_open_set_ups=False)
    connection.record_request(10.0, is_set_up=True)
    assert not connection.is_unresponsive(10.0 + SET_UP_RESPONSE_TIMEOUT_MS, True)
    assert connection.is_unresponsive(11.0 + SET_UP_RESPONSE_TIMEOUT_MS, True)
    connection.record_receipt(20.0)
    assert not connection.is_unresponsive(MIN_SUSPECT_AGE_MS, True)
    assert connection.is_unresponsive(MIN_SUSPECT_AGE_MS + 1.0, True)
    connection.record_receipt(2_000.0)
    connection.record_request(2_100.0, is_set_up=False)
    assert not connection.is_unresponsive(2_100.0 + RESPONSE_TIMEOUT_MS, False)
    assert connection.is_unresponsive(2_101.0 + RESPONSE_TIMEOUT_MS, False)


def test_when_a_replaced_connection_is_dead() -> None:
    """Silence since it was replaced, for longer if the connection in its place is silent too."""
    connection = connection_at(0.0)
    assert not connection.is_dead(1e9, successor_receives=True)
    connection.replaced_since = 100.0
    assert not connection.is_dead(100.0 + DEAD_AFTER_MS, True)
    assert connection.is_dead(101.0 + DEAD_AFTER_MS, True)
    assert not connection.is_dead(100.0 + DEAD_WITHOUT_SUCCESSOR_MS, False)
    assert connection.is_dead(101.0 + DEAD_WITHOUT_SUCCESSOR_MS, False)
    connection.record_receipt(102.0)
    assert not connection.is_dead(1e9, True)


def test_a_draining_connection_sends_nothing_and_times_out() -> None:
    link = MemoryLink(Loop())
    connection = ExchangeConnection(link, 1, 0.0)
    assert not connection.has_drain_timed_out(1e9)
    connection.start_draining(50.0)
    assert connection.is_draining and not link.send(b"x") and not link.closed
    assert not connection.has_drain_timed_out(50.0 + DRAIN_TIMEOUT_MS)
    assert connection.has_drain_timed_out(51.0 + DRAIN_TIMEOUT_MS)
    assert connection.replaced_since == math.inf


def renewed(player: Player, times: int) -> tuple[list[MemoryLink], RemoteExchange]:
    """Renews the connection to an exchange that never ends its side; returns the links, oldest first."""
    player.network.name_by_address[EXCHANGE_ADDRESS] = "exchange"
    app = player.start()
    player.advance(5.0)
    links = []
    for _ in range(times):
        links.append(player.network.links["exchange"])
        app.exchanges.renew_connections()
        player.advance(40.0)
    return links, app.exchanges.remotes[EXCHANGE_ID]


def test_the_draining_connections_to_one_exchange_are_limited() -> None:
    """Guards against descriptors held by an exchange that never ends its side of a connection."""
    player = Player()
    links, remote = renewed(player, MAX_DRAINING_CONNECTIONS + 2)
    assert [link.closed for link in links] == [True, True, *[False] * MAX_DRAINING_CONNECTIONS]
    assert all(link.write_ended for link in links)
    assert remote.connection is not None and not remote.connection.link.closed
    player.advance(DRAIN_TIMEOUT_MS)
    assert all(link.closed for link in links)
    assert not player.start().exchanges.supervisor.draining


def test_the_longest_draining_connection_gives_way_to_a_new_one() -> None:
    """Guards against closing one that an exchange within reach is about to end."""
    player = Player()
    links, _ = renewed(player, 2)
    exchanges = player.start().exchanges
    assert not exchanges.supervisor.free_descriptor()
    player.advance(MIN_DRAIN_MS - 40.0)
    assert exchanges.supervisor.free_descriptor()
    assert [link.closed for link in links] == [True, False]
    assert not exchanges.supervisor.free_descriptor()


def test_a_removed_exchange_leaves_no_draining_connection() -> None:
    """Guards against passing on releases of an exchange whose id or address belongs to another one."""
    player = Player()
    links, remote = renewed(player, 1)
    exchanges = player.start().exchanges
    exchanges._remove_exchange(remote.address, {})
    player.advance(30.0)
    assert links[0].closed and not exchanges.supervisor.draining


def test_releases_on_a_drained_connection_are_repeated_unless_the_exchange_has_read_them() -> None:
    """Guards against losing a release with a connection that drains, and against one copy too many."""
    player = Player()
    player.network.name_by_address[EXCHANGE_ADDRESS] = "exchange"
    app = player.start()
    player.advance(5.0)
    remote = app.exchanges.remotes[EXCHANGE_ID]
    for call, is_clean in ((0xA1, True), (0xA2, False)):
        link = player.network.links["exchange"]
        app.exchanges.release(call, EXCHANGE_ID)
        app.exchanges.renew_connections()
        player.advance(40.0)
        assert link.write_ended and call in remote.unacknowledged
        link.peer_ended, link.was_reset = is_clean, not is_clean
        if not is_clean:
            link.close()
        player.loop.fire(link.readable)
        player.advance(5.0)
        assert (call in remote.unacknowledged) is not is_clean
    assert app.counters["releases_repeated"] == 1


def test_unacknowledged_releases_are_bounded_and_belong_to_one_connection() -> None:
    releases = UnacknowledgedReleases[str]()
    for call in range(MAX_UNACKNOWLEDGED + 1):
        releases.add(call, 16, "a", float(call))
    assert len(releases) == MAX_UNACKNOWLEDGED and 0 not in releases
    releases.add(1, 16, "b", 1e6)
    releases.confirm("b", sent_before=1e6)
    assert 1 in releases and 2 in releases
    releases.expire(sent_before=3.0)
    assert 2 not in releases and 3 in releases
    assert [release.call for release in releases.take("b")] == [1]
    assert len(releases.take("a")) == MAX_UNACKNOWLEDGED - 2 and not releases

"""Configuration, signals, invariants, the event loop and sockets.

These are the parts of the program that the recorded exchanges of `tests/exchanges` do not cover.
"""

from __future__ import annotations

import copy
import errno
import gc
import os
import select
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest

from lab.addresses import free_address
from ospreyvale.operations.eventlog import EventLog
from ospreyvale.program.app import CLOSE_DELAY_MS
from ospreyvale.program.signals import SignalReceiver
from ospreyvale.protocol.eventbus import from_json
from ospreyvale.routing import interface
from ospreyvale.routing.call_table import CallTable
from ospreyvale.routing.control import MAX_BUSY_NUMBERS
from ospreyvale.routing.exchange_table import ExchangeEntry
from ospreyvale.routing.invariant import invariant, violations
from ospreyvale.routing.state import Offer
from ospreyvale.settings.config import ConfigError, parse_config, read_config
from ospreyvale.settings.document import DocumentError
from ospreyvale.settings.edge import parse_edge_config, read_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.transport.connection import MAX_QUEUED_BYTES, Connection, Link
from ospreyvale.transport.loop import Loop
from ospreyvale.transport.network import Network
from ospreyvale.transport.reconnecting import ReconnectingClient
from tests.player import CONFIG, START_MS, MemoryLink, NoPoller, Player, frame_sip, target
from tests.test_loopback import format_address

SITE = build_site_rules(parse_config(CONFIG))
ROOT = Path(__file__).resolve().parent.parent


def changed_config(path: str, value: Any) -> dict[str, Any]:
    """Returns CONFIG with another value at a dotted path."""
    config: dict[str, Any] = copy.deepcopy(CONFIG)
    *sections, key = path.split(".")
    section = config
    for name in sections:
        section = section[name]
    section[key] = value
    return config


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        ("bus", "nowhere", "bus is not an address"),
        ("listen", "127.0.0.1:70000", "listen has a port out of range"),
        ("settings", {}, "settings is missing"),
        ("settings.Services", 3, "settings.Services is not a list"),
        ("settings.Contract", {}, "settings.Contract.ColdFrom is not a number"),
        ("known", {"batch": 1}, "known.batch is not a list"),
        ("known", {"batch": [{"offset": 1}]}, r"known.batch\[0\] is wrong: KeyError 'topology'"),
    ],
)
def test_wrong_configuration_names_the_field(path: str, value: Any, text: str) -> None:
    with pytest.raises(ConfigError, match=text):
        parse_config(changed_config(path, value))


@pytest.mark.parametrize(
    ("document", "text"),
    [
        ("m3ua prefix=0", "edge: m3ua: prefix is 0; allowed: a whole number from 1 to 16"),
        (
            'm3ua listen="here"',
            'edge: m3ua: listen is "here"; allowed: an address and a port, as 127.0.0.1:4318',
        ),
        ("m3ua { exchange 1 point-code=1; }", "edge: m3ua > exchange 1: address is missing; allowed: a text"),
        (
            'm3ua { exchange 1 address="127.0.0.1:1" point-code=1; '
            'exchange 1 address="127.0.0.1:1" point-code=2; }',
            "edge: m3ua: has an exchange's number twice",
        ),
        ('otlp endpoint="127.0.0.1:1" path="x"', 'edge: otlp: path is "x"; allowed: one that begins with /'),
        ("counters", "edge: counters: listen is missing; allowed: a text"),
        ("m3ua;m3ua", "edge: m3ua stands 2 times; allowed: once"),
        ("tls", "edge: node tls is not known; allowed: counters, devices, log, m3ua, otlp, timing"),
    ],
)
def test_a_wrong_edge_file_names_the_node(document: str, text: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_edge_config(document, "edge", SITE)
    assert text in caught.value.reasons


def test_optional_listeners_and_exporters_are_off_by_default() -> None:
    edge = read_edge_config(ROOT / "deploy" / "edge.kdl", SITE)
    assert (edge.m3ua.listen, edge.m3ua.exchanges) == (None, ())
    assert (edge.otlp.endpoint, edge.counters_listen, edge.timing_policy) == (None, None, None)


def test_the_program_exits_with_one_line_on_invalid_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(changed_config("bus", "x")))
    completed = subprocess.run(
        [sys.executable, "-O", "-m", "ospreyvale"],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        check=False,
        env=os.environ | {"LB_CONFIG": str(path)},
    )
    assert (completed.returncode, completed.stderr) == (2, b"ospreyvale: bus is not an address and a port\n")
    with pytest.raises(ConfigError, match="LB_CONFIG is not set"):
        read_config({})


def test_each_signal_arrives_once_and_leaves_the_loop_idle() -> None:
    """Guards against garbage collection of the writing end.

    The reading end was then always ready, and the loop ran without pause.
    """
    received: list[int] = []
    poller = select.epoll()
    signals = SignalReceiver(Loop(lambda: 0.0, poller), received.append)
    gc.collect()
    try:
        assert poller.poll(0.0) == []
        os.kill(os.getpid(), signal.SIGUSR1)
        assert [fd for fd, _ in poller.poll(1.0)] == [signals.reading_end.fileno()]
        signals._on_readable(0)
        os.kill(os.getpid(), signal.SIGHUP)  # ends the program if no handler is installed
        signals._on_readable(0)
        assert received == [signal.SIGUSR1, signal.SIGHUP]
        assert poller.poll(0.0) == []
    finally:
        signals.close()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)


def test_reload_signals_during_the_start_do_not_end_the_program(tmp_path: Path) -> None:
    """Guards against SIGHUP before the program handles signals, which ended the process."""
    path = tmp_path / "config.json"
    listen = format_address(free_address())
    path.write_bytes(orjson.dumps(changed_config("listen", listen)))
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = run.replace(".venv/bin/python", sys.executable)
    assert sys.executable in command
    with subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": str(tmp_path)},
    ) as process:
        time.sleep(0.03)  # for the shell, which sets the signal's action first
        for _ in range(60):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.005)
        assert process.stdout is not None
        while b'"ready"' not in (line := process.stdout.readline()):
            assert line, f"the program has ended with status {process.wait()}"
        process.send_signal(signal.SIGHUP)
        while b'"reloaded"' not in (line := process.stdout.readline()):
            assert line, f"the program has ended with status {process.wait()}"
        process.send_signal(signal.SIGTERM)
        process.stdout.read()
    assert process.returncode == 0


def test_after_sigterm_the_program_serves_until_no_call_is_left() -> None:
    player = Player()
    app = player.start()
    app.stop()
    player.advance(700.0)
    assert player.loop.running
    app.core.context.call_table.unanswered = 1
    player.advance(500.0)
    assert player.loop.running
    app.core.context.call_table.unanswered = 0
    # A standing call would be cut by the end of the process, and its caller would not be notified.
    app.core.context.call_table.standing = 1
    player.advance(200.0)
    assert player.loop.running
    app.core.context.call_table.standing = 0
    link = MemoryLink(player.loop)
    player.loop.spawn(app.sip.serve(link))
    link.inbox += b"INVITE sip:"  # part of a set-up
    player.advance(300.0)
    assert player.loop.running
    player.advance(3_000.0)
    assert link.closed and not player.loop.running


def test_after_a_second_sigterm_the_program_waits_for_unanswered_calls_only() -> None:
    player = Player()
    app = player.start()
    app.core.context.call_table.standing = 1
    app.stop()
    player.advance(2_000.0)
    assert player.loop.running
    app.stop()
    player.advance(2.0 * CLOSE_DELAY_MS + 30.0)
    assert not player.loop.running


def test_invariants_raise_in_debug_mode_and_are_counted_otherwise() -> None:
    with pytest.raises(AssertionError, match="some_rule"):
        invariant(False, "some_rule")
    assert violations.pop("some_rule") == 1
    script = (
        "from ospreyvale.routing.invariant import violations, invariant\n"
        "print(invariant(False, 'some_rule'), dict(violations))"
    )
    completed = subprocess.run(
        [sys.executable, "-O", "-c", script], cwd=ROOT, capture_output=True, timeout=60, check=True
    )
    assert completed.stdout == b"False {'some_rule': 1}\n"


def test_the_call_table_enforces_its_rules(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ospreyvale.routing.call_table.invariant", lambda condition, name: condition)
    call_table = CallTable(300.0, 2, 250.0)
    offer = Offer(1, 2, 3, "3", 9000.0, 0, "stock-check", b"")
    state = call_table.add(0.0, offer, None)  # type: ignore[arg-type]
    assert state is not None
    assert call_table.add(0.0, offer, None) is None  # type: ignore[arg-type]
    ready = ExchangeEntry(interface.Exchange(2, b"x", interface.Condition.READY, 0.0), None, 0.0)  # type: ignore[arg-type]
    draining = ExchangeEntry(interface.Exchange(2, b"x", interface.Condition.DRAINING, 0.0), None, 0.0)  # type: ignore[arg-type]
    assert call_table.may_send(250.0, state, draining) and not call_table.may_send(251.0, state, draining)
    call_table.start_attempt(0.0, state, ready)
    assert not call_table.may_send(10.0, state, ready)  # an attempt is open
    call_table.end_attempt(10.0, state, interface.Outcome.TIMEOUT)
    assert not call_table.may_send(309.0, state, ready) and call_table.may_send(310.0, state, ready)
    call_table.start_attempt(310.0, state, ready)
    call_table.end_attempt(320.0, state, interface.Outcome.FULL)
    assert not call_table.may_send(900.0, state, ready)  # no attempt is left


def test_a_late_loop_handles_descriptors_before_timers() -> None:
    now = [0.0]
    order = list[str]()
    left, right = socket.socketpair()
    loop = Loop(lambda: now[0])
    loop.watch(left.fileno(), select.EPOLLIN, lambda _: order.append("read"))
    loop.call_at(10.0, lambda: order.append("timer"))
    right.send(b"x")
    now[0] = 500.0
    loop.turn()
    assert order == ["read", "timer"]
    now[0] = 400.0  # the system's clock is set back, but not the loop's
    loop.turn()
    assert loop.now == 500.0
    left.close()
    right.close()


def test_an_exception_ends_only_its_task() -> None:
    loop = Loop(lambda: 0.0, NoPoller())
    exceptions = list[BaseException]()
    loop.on_exception = exceptions.append
    loop.call_at(0.0, lambda: [][0])
    loop.call_at(0.0, lambda: exceptions.append(ValueError()))
    loop.turn()
    assert [type(error) for error in exceptions] == [IndexError, ValueError]


def connect_pair() -> tuple[Loop, Connection, socket.socket]:
    """Returns a loop, a connection on it, and the socket of its peer."""
    loop = Loop(lambda: 0.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        return loop, Connection(loop, server.accept()[0]), peer


def test_a_connection_is_read_once_per_turn() -> None:
    """Guards against a connection that always has more to read and keeps the loop from all others."""
    loop, link, peer = connect_pair()
    chunks = list[bytes]()

    def serve() -> Any:
        while data := (yield from link.receive()):
            chunks.append(data)

    loop.spawn(serve())
    loop.turn()
    peer.sendall(b"x" * 60_000)
    loop.turn()
    assert len(chunks) == 1
    peer.close()
    link.close()


def test_a_connection_to_a_slow_reader_is_reset_without_an_exception() -> None:
    loop, link, peer = connect_pair()
    assert link.send(b"x" * 10)
    assert peer.recv(10) == b"x" * 10
    while link.send(b"x" * 65_536):
        assert len(link._write_queue) <= MAX_QUEUED_BYTES
    assert link.closed and link.was_reset and not link.send(b"more")
    peer.close()


def test_without_descriptors_a_connection_is_closed_or_accepting_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [0.0]
    descriptor_requests = list[int]()
    served = list[Link]()
    loop = Loop(lambda: now[0])
    address = ("127.0.0.1", 0)
    with socket.create_server(address) as probe:
        address = ("127.0.0.1", probe.getsockname()[1])

    def serve(link: Link) -> Any:
        served.append(link)
        yield from link.receive()

    def free_descriptor() -> bool:
        descriptor_requests.append(1)
        return False

    listener = Network(loop).listen(address, serve, free_descriptor)
    peer = socket.create_connection(address)
    original_accept = socket.socket.accept

    def fail(self: socket.socket) -> Any:
        raise OSError(errno.EMFILE, "too many")

    monkeypatch.setattr(socket.socket, "accept", fail)
    loop.turn()
    assert (descriptor_requests, served) == ([1], [])
    monkeypatch.setattr(socket.socket, "accept", original_accept)
    now[0] = 25.0
    loop.turn()
    loop.turn()
    assert len(served) == 1
    listener.close()
    served[0].close()
    peer.close()


def test_the_log_never_blocks_on_its_reader() -> None:
    reader, writer = os.pipe()
    log = EventLog(lambda: 5.4, "n0", writer)
    log("call", call="x")
    log.flush()
    assert os.read(reader, 100) == b'{"ts":5,"node":"n0","event":"call","call":"x"}\n'
    for _ in range(300):
        log("call", text="x" * 8_192)
        log.flush()
    assert log.dropped > 0
    os.close(reader)
    log.flush()
    os.close(writer)


def test_set_ups_in_flight_are_subtracted_from_a_group_report() -> None:
    """Guards against counting circuits as free that are taken by set-ups on their way to the exchange.

    Half of the set-ups that were sent to such circuits ended as MOOT.
    """
    player = Player()
    exchanges = player.start().exchanges
    remote = exchanges.remotes[b"s-00000001"]
    remote.set_ups_sent_at.extend([START_MS - 40.0, START_MS - 10.0])
    remote.min_round_trip_ms = 30.0
    assert remote.subtract_unreported((), player.loop.now) == ()
    assert remote.subtract_unreported((5.0, 20.0), player.loop.now) == (4.0, 20.0)
    assert remote.subtract_unreported((0.0, 20.0), player.loop.now) == (0.0, 20.0)


def test_removed_exchanges_and_busy_numbers_do_not_accumulate() -> None:
    """Guards against an entry of each replaced exchange that stays in the tables of the program."""
    player = Player()
    app = player.start()
    for number in range(3, 200):
        for state in ("Ready", "Gone"):
            app.exchanges.apply_event(
                from_json(
                    {
                        "offset": number,
                        "topology": {
                            "all": False,
                            "targets": [target(3 + number % 6, state) | {"uid": f"s-{number:08x}"}],
                        },
                    },
                    [],
                )
            )
    assert len(app.exchanges.remotes) == 3
    assert len(app.core.context.exchange_table.entries) == len(app.core.control.roster) == 3
    for number in range(2 * MAX_BUSY_NUMBERS):
        app.core.control._is_number_busy(START_MS, number, busy_answers=1.0)
    assert len(app.core.control.busy_numbers) == MAX_BUSY_NUMBERS


def test_the_admin_address_of_the_environment_overrides_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(CONFIG | {"admin": "127.0.0.1:9470"}))
    assert read_config({"LB_CONFIG": str(path)}).admin == ("127.0.0.1", 9470)
    assert read_config({"LB_CONFIG": str(path), "LB_ADMIN": "127.0.0.1:9471"}).admin == ("127.0.0.1", 9471)
    assert parse_config(CONFIG).admin is None


def test_an_accepted_connection_is_counted_before_the_next() -> None:
    """Guards against checking the limit of connections only after one turn has accepted many."""
    loop = Loop(lambda: 0.0)
    counted = list[int]()

    def serve(number: int) -> Any:
        counted.append(number)
        yield from loop.sleep(1.0)

    loop.start(serve(1))
    assert counted == [1]


def test_without_descriptors_the_least_needed_connection_is_closed() -> None:
    """Guards against many stopped connections displacing a caller that writes slowly."""
    player = Player()
    player.changes = {"limits": {"sockets": 14}}  # a third of it is for callers: four connections
    app = player.start()

    def connect(data: bytes) -> MemoryLink:
        """Opens a caller connection that has received the data."""
        link = MemoryLink(player.loop)
        player.loop.start(app.sip.serve(link))
        link.inbox += data
        player.loop.fire(link.readable)
        player.loop.turn()
        return link

    probe = frame_sip(b"OPTIONS sip:ping@net SIP/2.0\nCSeq: 1 OPTIONS")
    idle, stopped = connect(probe), connect(b"INV")
    player.advance(1_100.0)
    slow, silent = connect(b"INV"), connect(b"")
    links = {"idle": idle, "stopped": stopped, "slow": slow, "silent": silent}
    for closed_next in ("silent", "stopped", "idle", "slow"):
        # One turn may accept several connections; the limit holds for each of them.
        assert not links[closed_next].closed
        player.loop.start(app.sip.serve(MemoryLink(player.loop)))
        assert links[closed_next].closed, closed_next
        assert len(app.sip.idle_connections) + len(app.sip.active_connections) == 4
        newest = next(reversed(app.sip.idle_connections))
        app.sip.silent_connections.pop(newest)
        newest.last_received_at = player.now + 1.0  # as if bytes had arrived meanwhile
        assert not list(newest.reader.feed(b"INV"))


def test_the_limit_of_caller_connections_follows_the_list_of_exchanges() -> None:
    """Guards against a fixed share of descriptors for exchanges.

    64 for all exchanges were exceeded by a few dozen of them, and each further connection cost one caller.
    """
    player = Player()
    player.changes = {"limits": {"sockets": 512}}
    app = player.start()
    # 50 descriptors are reserved for discovery, listeners, operators and the program itself, and two for each
    # exchange.
    assert app.sip.max_connections == 512 - 50 - 2 * 3
    more_exchanges = [
        target(0),
        *({**target(1), "uid": f"s-000{n:05}", "endpoint": f"127.1.1.{n}:5070"} for n in range(1, 101)),
    ]
    app.exchanges.apply_event(
        from_json({"offset": 4, "topology": {"all": False, "targets": more_exchanges}}, ["sofia"])
    )
    assert app.sip.max_connections == 512 - 50 - 2 * 101
    # A second process has exchange connections of its own, but callers keep a third of the descriptors.
    app.sip.share_descriptors(2)
    assert app.sip.max_connections == 512 // 3


def test_without_descriptors_no_remote_end_is_considered_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [0.0]
    links = list[Link]()
    failures = list[int]()
    loop = Loop(lambda: now[0])
    original_socket = socket.socket

    def fail(*arguments: Any) -> Any:
        raise OSError(errno.EMFILE, "too many")

    def serve(link: Link) -> Any:
        links.append(link)
        yield from link.receive()

    with socket.create_server(("127.0.0.1", 0)) as server:
        monkeypatch.setattr(socket, "socket", fail)
        client = ReconnectingClient(
            Network(loop), server.getsockname(), 500.0, serve, lambda: failures.append(1)
        )
        for now[0] in (0.0, 25.0, 2_000.0):
            loop.turn()
        monkeypatch.setattr(socket, "socket", original_socket)
        for now[0] in (2_525.0, 2_526.0, 2_527.0):
            loop.turn()
        assert (len(links), failures) == (1, [])
        client.close()


def test_exchange_connections_leave_descriptors_for_callers() -> None:
    """Guards against as many exchanges as descriptors: callers then waited in the backlog unaccepted."""
    now = [0.0]
    links = list[Link]()
    loop = Loop(lambda: now[0])
    network = Network(loop)
    network.max_outgoing_connections = 2

    def serve(link: Link) -> Any:
        links.append(link)
        yield from link.receive()

    with socket.create_server(("127.0.0.1", 0)) as server:
        clients = [
            ReconnectingClient(network, server.getsockname(), 500.0, serve, lambda: None) for _ in range(3)
        ]
        for _ in range(4):
            loop.turn()
        assert (len(links), network.outgoing_connections) == (2, 2)
        clients[0].close()
        for now[0] in (1.0, 501.0, 502.0, 503.0):
            loop.turn()
        assert (len(links), network.outgoing_connections) == (3, 2)
        for client in clients[1:]:
            client.close()
        loop.turn()
        assert network.outgoing_connections == 0


def test_an_exception_in_serve_closes_its_connection() -> None:
    """Guards against a connection that stays open with no task to read it, so that what arrives is lost."""
    loop = Loop(lambda: 0.0)
    exceptions = list[BaseException]()
    outgoing = list[Link]()
    loop.on_exception = exceptions.append
    network = Network(loop)

    def serve(link: Link) -> Any:
        yield from link.receive()
        raise KeyError("incoming")

    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = ("127.0.0.1", probe.getsockname()[1])
    listener = network.listen(address, serve, lambda: False)

    def serve_outgoing(link: Link) -> Any:
        outgoing.append(link)
        link.send(b"x")
        yield from link.receive()
        raise KeyError("outgoing")

    client = ReconnectingClient(network, address, 100.0, serve_outgoing, lambda: None)
    for _ in range(12):
        loop.turn()
        if len(outgoing) > 1:
            break
    assert outgoing[0].closed and len(outgoing) > 1
    assert {str(error) for error in exceptions} == {"'incoming'", "'outgoing'"}
    client.close()
    listener.close()

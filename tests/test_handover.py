"""Handover between two processes: two programs on one loop, with real sockets and a virtual clock."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from lab.addresses import free_address
from ospreyvale.operations.handover_frames import decode_ended_calls, encode_ended_calls
from ospreyvale.program.app import App
from ospreyvale.protocol import handover, isup, m3ua, sip
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.handover import Reader, encode
from ospreyvale.protocol.isup import Code, Message, Type
from ospreyvale.protocol.m3ua import IsupMessage, IsupType, Kind, RoutingLabel
from ospreyvale.routing import interface
from ospreyvale.routing.call_table import EndedCall
from ospreyvale.routing.control import Control
from ospreyvale.routing.settings import Params, build_settings
from ospreyvale.settings.config import parse_config
from ospreyvale.settings.edge import parse_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Address, Network
from ospreyvale.transport.unix_socket import MAX_PATH_BYTES, Channel, connect_unix, listen_unix
from tests.fake_peers import run_until
from tests.player import CONFIG, SETTINGS, RecordedLog, target
from tests.test_loopback import VirtualTime, format_address


class HandoverScenario:
    """Two exchanges, one caller connection, and the programs between them."""

    def __init__(self, handover_directory: Path, edge: str = "") -> None:
        self.edge = edge
        time = VirtualTime()
        self.network = Network(Loop(time.clock, time))
        self.loop = self.network.loop
        self.handover_directory = handover_directory
        self.links: list[Link] = []  # to the exchanges, in the order in which they were opened
        self.received_by_exchange: list[Message] = []
        self.received_by_caller: list[sip.Message] = []
        self.listen_address, own_address, remote_address, bus_address = (free_address() for _ in range(4))
        for address in (own_address, remote_address):
            self.network.listen(address, self._serve_exchange, lambda: False)
        targets = [
            target(n) | {"endpoint": format_address(address)}
            for n, address in enumerate((own_address, remote_address))
        ]
        self.config: dict[str, Any] = CONFIG | {
            "listen": format_address(self.listen_address),
            "bus": format_address(bus_address),
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": targets}}]},
        }
        self.logs: list[RecordedLog] = []
        self.old = self.start()
        self.wait_until(lambda: self.old.exchanges.all_connected)
        self.caller = self.dial()

    def start(self) -> App:
        """Starts a program with its own log."""
        self.logs.append(RecordedLog())
        config = parse_config(self.config)
        app = App(
            config,
            parse_edge_config(self.edge, "edge", build_site_rules(config)),
            self.network,
            self.logs[-1],
            lambda: parse_config(self.config),
            self.handover_directory,
        )
        self.loop.on_exception = None
        return app

    def replace_process(self) -> App:
        """Starts another program and waits until it has taken over."""
        app = self.start()
        self.wait_until(lambda: app.ready)
        return app

    def wait_until(self, condition: Any) -> None:
        """Runs the loop until the condition holds; fails after 3 s of virtual time."""
        assert run_until(self.loop, condition, 3_000.0)

    def events(self, process: int) -> list[str]:
        """Returns the names of the events that a program has logged; 0 is the old one."""
        return [event for event, _ in self.logs[process]]

    def dial(self) -> Link:
        """Opens a caller connection."""
        found: list[Link] = []

        def run() -> Coroutine:
            link = yield from self.network.dial(self.listen_address, 1000.0)
            assert link is not None
            found.append(link)
            reader = sip.Reader()
            while data := (yield from link.receive()):
                self.received_by_caller.extend(reader.feed(data))

        self.loop.spawn(run())
        self.wait_until(lambda: found)
        return found[0]

    def _serve_exchange(self, link: Link) -> Coroutine:
        self.links.append(link)
        reader = isup.Reader()
        link.send(isup.encode(Message(Type.GROUP, 0, {Code.REPORT: b"x0:30;x1:30"})))
        while data := (yield from link.receive()):
            for message in reader.feed(data):
                if message.type == Type.TEST:
                    link.send(isup.encode(Message(Type.TESTED, message.call, {Code.CAUSE: b"\x01"})))
                else:
                    self.received_by_exchange.append(message)
                    if message.type == Type.IAM:
                        self.set_up_link = link

    def send_request(self, method: str, call: int, destination: int = 1) -> None:
        """Sends a request of the caller about a call."""
        self.caller.send(request(method, call, destination))

    def answer(self, call: int) -> None:
        """Answers a set-up on the connection that carried the latest one."""
        self.set_up_link.send(isup.encode(Message(Type.ANM, call, {Code.DESCRIPTION: b"\xffd"})))

    def establish_call(self, call: int) -> None:
        """Places a call and answers it, so that it stands."""
        self.send_request("INVITE", call)
        self.wait_until(lambda: (Type.IAM, call) in self.exchange_messages())
        self.answer(call)
        self.wait_until(lambda: (200, call) in self.caller_messages())

    def exchange_messages(self) -> list[tuple[int, int]]:
        """Returns the type and the call of each message that the exchanges have received."""
        return [(message.type, message.call) for message in self.received_by_exchange]

    def caller_messages(self) -> list[tuple[int | str, int]]:
        """Returns the status or method and the call of each message that the callers have received."""
        return [(message.status or message.method, message.call) for message in self.received_by_caller]


def request(method: str, call: int, destination: int = 1) -> bytes:
    """Encodes a SIP request without a body."""
    return (
        f"{method} sip:{call:016x}@net SIP/2.0\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n"
        f"Priority-Class: stock-check\r\nP-Trunk-Info: dest:{destination}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@pytest.fixture
def scenario(tmp_path: Path) -> Iterator[HandoverScenario]:
    """Yields a scenario; its first program is shut down after the test."""
    created = HandoverScenario(tmp_path)
    yield created
    for app in [created.old]:
        app._shut_down()


def test_open_set_ups_are_answered_and_standing_calls_released_through_the_new_process(
    scenario: HandoverScenario,
) -> None:
    scenario.establish_call(0xA1)
    scenario.establish_call(0xA2)
    for call in (0xB1, 0xB2, 0xB3):
        scenario.send_request("INVITE", call)
    scenario.wait_until(lambda: (Type.IAM, 0xB3) in scenario.exchange_messages())
    split_request = request("INVITE", 0xC1)
    late_link = scenario.dial()
    late_link.send(split_request[:40])
    scenario.wait_until(
        lambda: any(caller.reader.has_partial_message for caller in scenario.old.sip.idle_connections)
    )
    new = scenario.replace_process()
    assert not scenario.old.sip.active_connections and not scenario.old.sip.idle_connections
    # The new process reads the rest of a request that the old one read in part.
    late_link.send(split_request[40:])
    scenario.wait_until(lambda: (Type.IAM, 0xC1) in scenario.exchange_messages())
    # Set-ups that are open at the old process: a repeated call id is refused, an answer reaches the caller,
    # and giving up releases the call.
    scenario.send_request("INVITE", 0xB1)
    scenario.wait_until(lambda: (482, 0xB1) in scenario.caller_messages())
    scenario.set_up_link = scenario.links[1]
    scenario.answer(0xB1)
    scenario.wait_until(lambda: (200, 0xB1) in scenario.caller_messages())
    scenario.send_request("CANCEL", 0xB2)
    scenario.wait_until(lambda: (Type.REL, 0xB2) in scenario.exchange_messages())
    # The caller ends the call that stands now.  An exchange ends an earlier one on its connection to the old
    # process.
    scenario.send_request("BYE", 0xB1)
    scenario.wait_until(lambda: (Type.REL, 0xB1) in scenario.exchange_messages())
    scenario.links[1].send(isup.encode(Message(Type.REL, 0xA1, {Code.CAUSE: b"\x10"})))
    scenario.wait_until(lambda: ("BYE", 0xA1) in scenario.caller_messages())
    scenario.set_up_link.send(
        isup.encode(Message(Type.REL, 0xB3, {Code.CAUSE: b"\x11", Code.NOTE: b"number_busy"}))
    )
    scenario.wait_until(lambda: (503, 0xB3) in scenario.caller_messages())
    # No set-up is open at the old process any more: it ends, and the standing calls go on.
    former_links = len(scenario.links)
    scenario.wait_until(lambda: "replaced" in scenario.events(1))
    # Exchanges repeat on the next connection what was not read on a connection to the old process.
    scenario.wait_until(lambda: len(scenario.links) == former_links + 2 and new.exchanges.all_connected)
    scenario.links[-1].send(isup.encode(Message(Type.REL, 0xA2, {Code.CAUSE: b"\x10"})))
    scenario.wait_until(lambda: ("BYE", 0xA2) in scenario.caller_messages())
    # The same release again, as on a connection that was opened after it: the caller is not notified twice.
    scenario.links[-1].send(isup.encode(Message(Type.REL, 0xA1, {Code.CAUSE: b"\x10"})))
    scenario.wait_until(lambda: new.counters["late_ends"] == 1)
    assert [event for event in scenario.caller_messages() if event[0] == "BYE"] == [
        ("BYE", 0xA1),
        ("BYE", 0xA2),
    ]
    assert not new.sip.releases.pending and new.core.control.standing == 0
    new._shut_down()


def test_unacknowledged_releases_of_the_old_process_are_sent_again_by_the_new_one(
    scenario: HandoverScenario,
) -> None:
    """Guards against calls left standing because a release was lost with a connection of the old process."""
    scenario.establish_call(0xA1)
    scenario.send_request("BYE", 0xA1)
    scenario.wait_until(lambda: (Type.REL, 0xA1) in scenario.exchange_messages())
    scenario.send_request("INVITE", 0xB1)
    scenario.wait_until(lambda: (Type.IAM, 0xB1) in scenario.exchange_messages())
    new = scenario.replace_process()
    scenario.wait_until(lambda: scenario.exchange_messages().count((Type.REL, 0xA1)) == 2)
    # A call of the old process ends there just before the process does.
    scenario.send_request("CANCEL", 0xB1)
    scenario.wait_until(lambda: "replaced" in scenario.events(1))
    scenario.wait_until(lambda: scenario.exchange_messages().count((Type.REL, 0xB1)) == 2)
    new._shut_down()


def test_an_id_that_comes_again_at_the_new_process_does_not_run_twice(scenario: HandoverScenario) -> None:
    """Guards against a call that runs again at the other process, or before its first attempt is released."""
    scenario.establish_call(0xA1)
    scenario.send_request("BYE", 0xA1)
    for call in (0xB1, 0xB2):
        scenario.send_request("INVITE", call)
        scenario.wait_until(lambda call=call: (Type.IAM, call) in scenario.exchange_messages())
    scenario.send_request("CANCEL", 0xB2)
    scenario.wait_until(lambda: (Type.REL, 0xB2) in scenario.exchange_messages())
    released_at = scenario.loop.now
    new = scenario.replace_process()
    scenario.send_request("CANCEL", 0xB1)
    for call in (0xA1, 0xB1, 0xB2):
        scenario.send_request("INVITE", call)
    scenario.wait_until(lambda: (482, 0xA1) in scenario.caller_messages())
    scenario.wait_until(lambda: scenario.exchange_messages().count((Type.IAM, 0xB2)) == 2)
    release_ms = new.core.context.call_table.release_ms
    assert scenario.loop.now >= released_at + release_ms
    scenario.wait_until(lambda: scenario.exchange_messages().count((Type.IAM, 0xB1)) == 2)
    messages = scenario.exchange_messages()
    for call in (0xB1, 0xB2):
        second_iam = len(messages) - 1 - messages[::-1].index((Type.IAM, call))
        assert (Type.REL, call) in messages[:second_iam]
    assert messages.count((Type.IAM, 0xA1)) == 1
    new._shut_down()


def test_without_an_old_process_or_with_a_stale_socket_the_program_starts_on_its_own(tmp_path: Path) -> None:
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(tmp_path / "n0.handover"))
    stale.close()
    scenario = HandoverScenario(tmp_path)  # its program finds no process to take over from
    assert scenario.old.ready and "replaced" not in scenario.events(0)
    scenario.establish_call(0xA1)
    assert connect_unix(scenario.loop, tmp_path / "n0.handover") is not None
    scenario.old._shut_down()


def test_without_a_writable_directory_calls_are_served_without_handover(tmp_path: Path) -> None:
    scenario = HandoverScenario(tmp_path / "missing")
    assert scenario.old.ready and "handover_off" in scenario.events(0)
    scenario.establish_call(0xA1)
    scenario.old._shut_down()


def test_open_set_ups_of_an_old_process_that_ends_unexpectedly_fail(scenario: HandoverScenario) -> None:
    scenario.send_request("INVITE", 0xB1)
    scenario.wait_until(lambda: (Type.IAM, 0xB1) in scenario.exchange_messages())
    new = scenario.replace_process()
    assert scenario.old.handover_source.target_channel is not None
    scenario.old.handover_source.target_channel.close()  # as after SIGKILL
    scenario.wait_until(lambda: (504, 0xB1) in scenario.caller_messages())
    events = [event for event in scenario.events(1) if event != "exchange_connected"]
    assert events[-1] == "replaced" and new.core.other_process is None
    scenario.send_request("INVITE", 0xB1)  # the call id is free again
    scenario.wait_until(lambda: scenario.exchange_messages().count((Type.IAM, 0xB1)) == 2)
    new._shut_down()


def test_a_new_process_serves_if_the_old_one_does_not_respond(
    tmp_path: Path, scenario: HandoverScenario
) -> None:
    scenario.old.stop_handover_listener()

    def ignore_frames(channel: Channel) -> Coroutine:
        while (yield from channel.receive())[0]:
            pass

    listen_unix(scenario.loop, tmp_path / "n0.handover", ignore_frames)
    new = scenario.replace_process()
    assert "took_over" not in scenario.events(1)
    assert not scenario.old.handover_source.handed_over
    new._shut_down()


def test_the_old_process_serves_again_if_the_new_one_ends_before_or_after_its_takeover(
    scenario: HandoverScenario,
) -> None:
    scenario.establish_call(0xA1)
    early_channel = connect_unix(scenario.loop, scenario.handover_directory / "n0.handover")
    assert early_channel is not None
    early_channel.send(encode("hello"))
    scenario.wait_until(lambda: scenario.old.handover_source.target_channel is not None)
    early_channel.close()  # it has sent hello only
    scenario.wait_until(lambda: scenario.old.handover_source.target_channel is None)
    assert "handed_over" not in scenario.events(0) and scenario.old.sip.active_connections
    scenario.send_request("INVITE", 0xB0)
    scenario.wait_until(lambda: (Type.IAM, 0xB0) in scenario.exchange_messages())
    new = scenario.replace_process()
    assert scenario.old.handover_source.handed_over
    scenario.send_request("INVITE", 0xB1)  # accepted by the new process, and lost with it
    new.core.other_process.channel.close()  # type: ignore[union-attr]
    for listener in new.listeners.values():
        listener.close()
    scenario.wait_until(lambda: "took_back" in scenario.events(0))
    scenario.wait_until(lambda: (Type.REL, 0xB0) in scenario.exchange_messages())
    scenario.caller = scenario.dial()
    scenario.establish_call(0xA2)
    # A call that was handed over is unknown here now, but its caller is still notified of its end.
    scenario.links[1].send(isup.encode(Message(Type.REL, 0xA1, {Code.CAUSE: b"\x10"})))
    scenario.wait_until(lambda: ("BYE", 0xA1) in scenario.caller_messages())


def test_the_new_process_follows_discovery_before_it_takes_over(scenario: HandoverScenario) -> None:
    scenario.old.discovery.offset = 5
    new = scenario.start()
    run_until(scenario.loop, lambda: False, 300.0)
    assert not new.ready
    new.discovery.offset = 5
    scenario.wait_until(lambda: new.ready)
    assert "handed_over" in scenario.events(0)
    new._shut_down()


def test_learned_state_is_handed_over_with_the_cold_start_share() -> None:
    old, new = (Control(make_settings()) for _ in range(2))
    for control in (old, new):
        control.handle(
            0.0,
            interface.Roster(
                True,
                tuple(
                    interface.Exchange(n, bytes([n]), interface.Condition.READY, 1.0 if n == 1 else 0.0)
                    for n in range(2)
                ),
            ),
        )
    old.learned_rate = 7.0
    old.peak_carried_rate = 5.0
    old.own_lagging = True
    old.remotes[1].hold.active = [True] * 4
    old.remotes[1].recent_set_ups.append(1.0)
    new.import_learned(old.export_learned())
    assert (new.learned_rate, new.peak_carried_rate, list(new.remotes[1].recent_set_ups)) == (7.0, 5.0, [1.0])
    assert new.own_lagging and new.remotes[1].hold.active == [True] * 4
    assert not old._use_cold_share(2.0, old.remotes[1])
    # A restarted exchange processor inherits nothing from its former process.
    restarted = Control(make_settings())
    restarted.handle(
        0.0,
        interface.Roster(
            True,
            (
                interface.Exchange(0, b"\x00", interface.Condition.READY, 0.0),
                interface.Exchange(1, b"\x01", interface.Condition.READY, 9.0),
            ),
        ),
    )
    restarted.import_learned(old.export_learned())
    assert not restarted.remotes[1].recent_set_ups


def make_settings() -> interface.Settings:
    """Returns the settings of the decision module that `CONFIG` gives."""
    return build_settings(Params(SETTINGS, "settings"), 1)


def test_descriptors_and_bytes_arrive_in_order_and_malformed_frames_are_refused(tmp_path: Path) -> None:
    time = VirtualTime()
    loop = Loop(time.clock, time)
    directory = tmp_path / ("x" * MAX_PATH_BYTES)  # longer than a Unix socket's address
    directory.mkdir()
    received: list[tuple[bytes, int]] = []

    def serve(channel: Channel) -> Coroutine:
        while True:
            chunk, fds = yield from channel.receive()
            if not chunk:
                break
            received.extend((chunk, fd) for fd in fds or [-1])

    stop = listen_unix(loop, directory / "s", serve)
    channel = connect_unix(loop, directory / "s")
    assert channel is not None
    left, right = socket.socketpair()
    channel.send(encode("connection", half=handover.bytes_to_text(b"\xff\n")), left.detach())
    run_until(loop, lambda: bool(received), 100.0)
    [frame] = Reader().feed(received[0][0])
    assert handover.text_to_bytes(frame["half"]) == b"\xff\n"
    with socket.socket(fileno=received[0][1]) as moved:
        moved.send(b"x")
        assert right.recv(1) == b"x"
    right.close()
    channel.close()
    stop()
    for malformed in (b"{\n", b"[]\n", b"{}\n"):
        with pytest.raises(ProtocolError):
            list(Reader().feed(malformed))


class FakeM3uaExchange:
    """An M3UA exchange that records ISUP messages and sends those that the test gives it."""

    def __init__(self, network: Network, address: Address) -> None:
        self.links: list[Link] = []
        self.received_messages: list[IsupMessage] = []
        network.listen(address, self._serve, lambda: False)

    def _serve(self, link: Link) -> Coroutine:
        self.links.append(link)
        reader = m3ua.Reader()
        while data := (yield from link.receive()):
            for message in reader.feed(data):
                if message.kind == Kind.DATA:
                    self.received_messages.append(m3ua.decode_data(message)[1])
                else:
                    link.send(m3ua.encode(ACKS[Kind(message.kind)], *message.parameters))

    def send(self, index: int, message: IsupMessage) -> None:
        """Sends a message on the association with that index; the first that was opened has 0."""
        self.links[index].send(m3ua.encode_data(RoutingLabel(20, 1), message))

    def received_cics(self, message_type: IsupType) -> list[int]:
        """Returns the circuits (CIC) of the received messages of one type, in their order."""
        return [message.cic for message in self.received_messages if message.type == message_type]


ACKS = {Kind.ASPUP: Kind.ASPUP_ACK, Kind.ASPAC: Kind.ASPAC_ACK, Kind.BEAT: Kind.BEAT_ACK}


def test_m3ua_circuits_stay_with_the_old_process_until_it_ends(tmp_path: Path) -> None:
    """Guards against both processes seizing the same circuit, and against losing a release.

    A release that arrived on the newer association did not reach the call at the old process.
    """
    address = free_address()
    scenario = HandoverScenario(
        tmp_path, f'm3ua {{ exchange 20 address="{format_address(address)}" point-code=20 circuits=4; }}'
    )
    m3ua_exchange = FakeM3uaExchange(scenario.network, address)
    scenario.wait_until(lambda: len(m3ua_exchange.links) == 1)
    for call, cic in ((0xA1, 1), (0xA2, 2), (0xA3, 3)):
        run_until(scenario.loop, lambda: False, 300.0)
        scenario.send_request("INVITE", call, 20)
        scenario.wait_until(lambda cic=cic: cic in m3ua_exchange.received_cics(IsupType.IAM))
        if cic < 3:
            m3ua_exchange.send(0, IsupMessage(cic, IsupType.ANM, description=b"d"))
            scenario.wait_until(lambda call=call: (200, call) in scenario.caller_messages())
    new = scenario.replace_process()
    scenario.wait_until(lambda: len(m3ua_exchange.links) == 2)
    # The answer to a set-up that is open at the old process.
    m3ua_exchange.send(0, IsupMessage(3, IsupType.ANM, description=b"d"))
    scenario.wait_until(lambda: (200, 0xA3) in scenario.caller_messages())
    m3ua_exchange.send(1, IsupMessage(1, IsupType.REL, cause=16))
    scenario.wait_until(lambda: ("BYE", 0xA1) in scenario.caller_messages())
    scenario.send_request("BYE", 0xA3, 20)
    scenario.wait_until(lambda: 3 in m3ua_exchange.received_cics(IsupType.REL))
    scenario.send_request("INVITE", 0xA4, 20)
    scenario.wait_until(lambda: len(m3ua_exchange.received_cics(IsupType.IAM)) == 4)
    # Circuit 1 is free again, 2 has a standing call, and 3 still belongs to the old process.
    assert m3ua_exchange.received_cics(IsupType.IAM)[-1] == 1
    scenario.old.handover_source.target_channel.close()  # type: ignore[union-attr]
    # The calls of the old process ended with it.
    scenario.wait_until(lambda: ("BYE", 0xA2) in scenario.caller_messages())
    scenario.wait_until(lambda: 2 in m3ua_exchange.received_cics(IsupType.REL))
    new._shut_down()


def test_ended_calls_of_a_former_release_are_remembered_by_their_ids() -> None:
    """Guards against an upgrade that fails because the old process sends ids alone."""
    assert decode_ended_calls({"over": [1, 2]}) == [EndedCall(1, 0.0, False), EndedCall(2, 0.0, False)]
    ended = EndedCall(3, 5.0, True)
    assert decode_ended_calls({"over": [3], "ended": encode_ended_calls([ended])}) == [ended]

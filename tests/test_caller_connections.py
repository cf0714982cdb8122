"""Connections from callers: requests at full speed, and callers that leave with requests unread."""

from __future__ import annotations

import socket
import struct
from pathlib import Path

import pytest

from ospreyvale.fronts.caller_connection import HandedOverConnection
from ospreyvale.program.app import App
from ospreyvale.protocol.handover import bytes_to_text
from ospreyvale.transport.loop import MAX_MESSAGES_PER_TURN
from tests.fake_peers import run_until
from tests.player import MemoryLink, Player, frame_isup, frame_m3ua, frame_sip
from tests.test_handover import HandoverScenario

IAM, ANM, REL = 1, 9, 12
ASPUP, ASPUP_ACK = 0x0301, 0x0304  # class and type
FLOOD = 1_000
UNREAD_REQUESTS = 30  # fewer than the circuits of the exchange


def started() -> tuple[Player, App, MemoryLink]:
    """Returns a running program, with the connection to exchange 1."""
    player = Player()
    player.network.name_by_address["127.1.0.1", 5070] = "one"
    app = player.start()
    player.advance(5.0)
    one = player.network.links["one"]
    one.inbox += frame_isup(43, 0, p198=b"x0:400;x1:400")
    player.loop.fire(one.readable)
    player.advance(5.0)
    return player, app, one


def request(method: str, call: int) -> bytes:
    """Returns a SIP request about a call."""
    head = f"{method} sip:00000000000000aa@net SIP/2.0\nCall-ID: {call:016x}\nCSeq: 1 {method}\n"
    return frame_sip(head.encode() + b"Priority-Class: stock-check\nP-Trunk-Info: dest:1", b"d")


def receive(player: Player, link: MemoryLink, data: bytes) -> None:
    """Lets a peer send bytes to the program."""
    link.inbox += data
    player.loop.fire(link.readable)
    player.advance(2.0)


def test_a_caller_at_full_speed_leaves_turns_to_others() -> None:
    """Guards against answers that are late because one connection sent small requests without a pause."""
    player, _, _ = started()
    player.step("connect flood 127.0.0.1:5070")
    flood = player.network.links["flood"]
    flood.inbox += b"".join(request("OPTIONS", call) for call in range(FLOOD))
    player.loop.fire(flood.readable)
    player.loop.turn()
    assert bytes(flood.sent).count(b"SIP/2.0 200 OK") == MAX_MESSAGES_PER_TURN
    for _ in range(FLOOD // MAX_MESSAGES_PER_TURN):
        player.loop.turn()
    assert bytes(flood.sent).count(b"SIP/2.0 200 OK") == FLOOD


def test_an_m3ua_peer_at_full_speed_leaves_turns_to_others() -> None:
    """Guards against the same on the M3UA front."""
    player = Player('m3ua listen="127.0.0.1:2905" point-code=1')
    player.start()
    player.step("connect flood 127.0.0.1:2905")
    flood = player.network.links["flood"]
    flood.inbox += frame_m3ua(ASPUP) * FLOOD
    player.loop.fire(flood.readable)
    player.loop.turn()
    assert bytes(flood.sent).count(frame_m3ua(ASPUP_ACK)) == MAX_MESSAGES_PER_TURN
    for _ in range(FLOOD // MAX_MESSAGES_PER_TURN):
        player.loop.turn()
    assert bytes(flood.sent).count(frame_m3ua(ASPUP_ACK)) == FLOOD


def test_requests_that_wait_for_their_turn_are_served_after_a_handover() -> None:
    """Guards against requests that are lost because the former process had read and not handled them."""
    player, app, _ = started()
    data = b"".join(request("INVITE", call) for call in (0xB1, 0xB2)) + request("INVITE", 0xB3)[:30]
    link = MemoryLink(player.loop)
    handed_over = HandedOverConnection("", bytes_to_text(data), True, 0.0, [], [])
    player.loop.spawn(app.sip.serve_handed_over(link, handed_over))
    player.advance(5.0)
    assert app.metrics()["unanswered"] == 2
    link.inbox += request("INVITE", 0xB3)[30:]
    player.loop.fire(link.readable)
    player.advance(5.0)
    assert app.metrics()["unanswered"] == 3


def test_an_id_that_has_run_is_not_set_up_again() -> None:
    """Guards against a call that runs twice as its id comes again after its caller had left."""
    player, app, one = started()
    player.step("connect first 127.0.0.1:5070")
    player.step("connect second 127.0.0.1:5070")
    first, second = player.network.links["first"], player.network.links["second"]
    receive(player, first, request("INVITE", 0xB1))
    receive(player, one, frame_isup(ANM, 0xB1, p210=b"yes"))
    player.step("reset first")
    receive(player, second, request("INVITE", 0xB1))
    assert bytes(second.sent).startswith(b"SIP/2.0 482 ")
    receive(player, one, frame_isup(REL, 0xB1, p208=b"\x10"))
    receive(player, second, request("INVITE", 0xB1))
    assert bytes(second.sent).count(b"SIP/2.0 482 ") == 2
    assert app.counters["set_ups_sent"] == 1 and app.metrics()["unanswered"] == 0


@pytest.mark.parametrize("ending", ["reset", "closed", "half-closed"])
def test_requests_of_a_caller_that_has_left_are_not_sent_on(tmp_path: Path, ending: str) -> None:
    """Guards against calls that are set up for nobody: unread when their caller left."""
    scenario = HandoverScenario(tmp_path)
    sock = socket.create_connection(scenario.listen_address)
    sock.sendall(b"".join(request("INVITE", 0xB000 + number) for number in range(UNREAD_REQUESTS)))
    if ending == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if ending == "half-closed":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()
    run_until(scenario.loop, lambda: False, 200.0)
    sent_on = [call for message_type, call in scenario.exchange_messages() if message_type == IAM]
    assert len(sent_on) == (UNREAD_REQUESTS if ending == "half-closed" else 0)
    sock.close()
    scenario.old._shut_down()


def test_a_hang_up_behind_requests_of_a_caller_that_has_left_counts(tmp_path: Path) -> None:
    """Guards against a call left standing as its BYE was unread when the connection was reset."""
    scenario = HandoverScenario(tmp_path)
    scenario.establish_call(0xA1)
    sock = socket.create_connection(scenario.listen_address)
    data = b"".join(request("INVITE", 0xB000 + number) for number in range(UNREAD_REQUESTS))
    sock.sendall(data * 4 + request("BYE", 0xA1))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    scenario.wait_until(lambda: (REL, 0xA1) in scenario.exchange_messages())
    assert [call for message_type, call in scenario.exchange_messages() if message_type == IAM] == [0xA1]
    scenario.old._shut_down()

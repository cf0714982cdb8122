"""Idle connections to exchanges on which calls stand, and which the far side may have forgotten."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from ospreyvale.exchanges.connection import IDLE_BEFORE_CHECK_MS
from tests.player import SETTINGS, Player, frame_isup, frame_isup_data, frame_m3ua, frame_sip

ONE = ("127.1.0.1", 5070)
M3UA_EXCHANGE = ("127.3.0.1", 2905)
MAX_TELL_MS = 8_000.0  # from the end of a call that the exchange could not send anywhere
CAUSE_NORMAL = b"\x10"
IAM, ANM, REL, GROUP, TEST, TESTED = 1, 9, 12, 43, 52, 53
CALL = 0xB1
M3UA_ANSWER = b"\x01\x00\x09\x01\x03\x02ok\x00"  # ANM on circuit 1
ASPUP_ACK, ASPAC_ACK = 0x0304, 0x0403  # class and type


def settings(probing: bool) -> dict[str, Any]:
    """Returns the settings of a site that allows probes or does not."""
    values: dict[str, Any] = copy.deepcopy(SETTINGS)
    values["Limits"]["Probing"] = probing
    return values


def establish_call(player: Player, destination: int) -> None:
    """Lets a caller offer the call and takes the INVITE to its exchange."""
    player.step("connect caller 127.0.0.1:5070")
    invite = (
        b"INVITE sip:00000000000000aa@net SIP/2.0\nCall-ID: 00000000000000b1\nCSeq: 1 INVITE\n"
        b"Priority-Class: stock-check\nP-Trunk-Info: dest:%d;width:1;via:-1" % destination
    )
    player.network.links["caller"].inbox += frame_sip(invite, b"d")
    player.loop.fire(player.network.links["caller"].readable)
    player.advance(5.0)


def started(probing: bool) -> Player:
    """Returns a program with one call that stands at the exchange on the connection `one`."""
    player = Player()
    player.changes = {"settings": settings(probing)}
    player.network.name_by_address[ONE] = "one"
    player.start()
    player.advance(5.0)
    receive(player, "one", frame_isup(GROUP, 0, p198=b"x0:20;x1:20"))
    establish_call(player, 1)
    receive(player, "one", frame_isup(ANM, CALL, p210=b"yes"))
    assert player.start().metrics()["standing"] == 1
    player.network.links["one"].sent.clear()
    return player


def receive(player: Player, name: str, data: bytes) -> None:
    """Lets a peer send bytes to the program."""
    player.network.links[name].inbox += data
    player.loop.fire(player.network.links[name].readable)
    player.advance(2.0)


@pytest.mark.parametrize("probing", [True, False])
def test_a_forgotten_connection_is_noticed_in_time_for_the_end_of_a_call(probing: bool) -> None:
    """Guards against callers that are never told of an end, as an idle one was forgotten (review/9)."""
    player = started(probing)
    link = player.network.links["one"]
    link.ignores_probes = True
    player.network.name_by_address[ONE] = "two"
    player.advance(MAX_TELL_MS - 1_000.0)
    assert "two" in player.network.links
    receive(
        player, "two", frame_isup(GROUP, 0, p198=b"x0:20;x1:20") + frame_isup(REL, CALL, p208=CAUSE_NORMAL)
    )
    assert b"BYE sip:00000000000000b1@net" in bytes(player.network.links["caller"].sent)


def test_where_no_probes_are_allowed_no_test_is_sent_and_connections_are_few() -> None:
    """Guards against tests that the settings forbid, and against a new connection for every check."""
    player = started(probing=False)
    sent_types = []
    first = player.network.links["one"]
    send = first.send

    def record(data: bytes) -> bool:
        sent_types.append(data[2])
        return send(data)

    first.send = record  # type: ignore[method-assign]
    player.network.name_by_address[ONE] = "two"
    player.advance(IDLE_BEFORE_CHECK_MS - 100.0)
    assert "two" not in player.network.links
    player.advance(200.0)
    assert "two" in player.network.links and TEST not in sent_types
    # The exchange ends its side of the first connection; the call stands, and is checked again later.
    first.peer_ended = True
    player.loop.fire(first.readable)
    player.advance(3.0 * IDLE_BEFORE_CHECK_MS)
    assert player.start().counters["lines_renewed"] == 4
    assert player.start().metrics()["standing"] == 1


def test_a_connection_without_standing_calls_is_left_alone() -> None:
    """Guards against connections and tests that serve no call."""
    player = started(probing=False)
    receive(player, "one", frame_isup(REL, CALL, p208=CAUSE_NORMAL))
    player.advance(4.0 * IDLE_BEFORE_CHECK_MS)
    assert player.start().counters["lines_renewed"] == 0


def test_an_exchange_that_cannot_be_dialled_is_asked_for_one_connection_only() -> None:
    """Guards against a renewal for every check while the dial of another connection fails."""
    player = started(probing=False)
    del player.network.name_by_address[ONE]
    player.advance(2.0 * IDLE_BEFORE_CHECK_MS)
    assert player.start().counters["lines_renewed"] == 1
    assert player.start().metrics()["standing"] == 1


def test_a_forgotten_m3ua_association_is_noticed_where_no_probes_are_allowed() -> None:
    """Guards against releases that never arrive, as an idle M3UA association was forgotten."""
    player = Player('m3ua point-code=1 { exchange 20 address="127.3.0.1:2905" point-code=20 circuits=4; }')
    player.changes = {"settings": settings(probing=False)}
    player.network.name_by_address[M3UA_EXCHANGE] = "first"
    player.start()
    player.advance(5.0)
    receive(player, "first", frame_m3ua(ASPUP_ACK))
    receive(player, "first", frame_m3ua(ASPAC_ACK))
    establish_call(player, 20)
    receive(player, "first", frame_isup_data(20, 1, M3UA_ANSWER))
    assert player.start().metrics()["standing"] == 1
    link = player.network.links["first"]
    player.advance(2.0 * IDLE_BEFORE_CHECK_MS)  # heartbeats are answered
    assert player.network.links["first"] is link and not link.write_ended
    link.ignores_probes = True
    player.network.name_by_address[M3UA_EXCHANGE] = "second"
    player.advance(MAX_TELL_MS - 1_000.0)
    assert "second" in player.network.links and player.start().counters["lines_dead"] == 1
    assert player.start().metrics()["standing"] == 1

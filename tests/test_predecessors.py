"""An exchange whose process listens at the address of one that has gone, before discovery tells of it."""

from __future__ import annotations

import pytest

from ospreyvale.exchanges.predecessors import KEEP_MS, Predecessors
from ospreyvale.protocol.eventbus import GONE, READY, Event, FrameKind, Target
from tests.player import Player, frame_isup, frame_sip

ADDRESS = ("127.1.0.1", 5070)
IAM, ANM, REL, GROUP = 1, 9, 12, 43
CALL_ON_FORMER, CALL_ON_NEW = 0xB1, 0xB2
GROUP_REPORT = frame_isup(GROUP, 0, p198=b"x0:40;x1:40")
FORMER = Target(1, ADDRESS, GONE, 0, 1, 0)
NEW = Target(9, ADDRESS, READY, 0, 1, 0)


def establish_call(player: Player, connection: str, call: int) -> None:
    """Lets a caller place a call, which the exchange answers on the connection."""
    invite = (
        b"INVITE sip:00000000000000aa@net SIP/2.0\nCall-ID: %016x\nCSeq: 1 INVITE\n"
        b"Priority-Class: stock-check\nP-Trunk-Info: dest:1" % call
    )
    for name, data in (
        ("caller", frame_sip(invite, b"d")),
        (connection, frame_isup(ANM, call, p210=b"yes")),
    ):
        player.network.links[name].inbox += data
        player.loop.fire(player.network.links[name].readable)
        player.advance(2.0)
    player.network.links[connection].sent.clear()


@pytest.mark.parametrize(
    "events",
    [[(FORMER, NEW)], [(FORMER,), (NEW,)], [(NEW,), (FORMER,)]],
    ids=["in one event", "the end first", "the new one first"],
)
def test_calls_at_a_new_process_that_was_taken_for_the_former_are_released(
    events: list[tuple[Target, ...]],
) -> None:
    """Guards against calls left standing at an exchange that took the address of one that had gone."""
    player = Player()
    player.network.name_by_address[ADDRESS] = "former"
    app = player.start()
    player.advance(5.0)
    player.step("connect caller 127.0.0.1:5070")
    player.network.links["former"].inbox += GROUP_REPORT
    player.loop.fire(player.network.links["former"].readable)
    player.advance(2.0)
    establish_call(player, "former", CALL_ON_FORMER)
    # Its process ends, and another one accepts connections at its address.
    player.network.name_by_address[ADDRESS] = "unknown"
    player.step("reset former")
    player.advance(5.0)
    player.network.links["unknown"].inbox += GROUP_REPORT
    player.loop.fire(player.network.links["unknown"].readable)
    player.advance(2.0)
    establish_call(player, "unknown", CALL_ON_NEW)
    # Discovery tells.
    player.network.name_by_address[ADDRESS] = "new"
    for number, targets in enumerate(events):
        app.exchanges.apply_event(Event(10 + number, FrameKind.DELTA, targets))
        player.advance(10.0)
    released = bytes(player.network.links["new"].sent)
    assert frame_isup(REL, CALL_ON_NEW, p208=b"\x10") in released
    byes = bytes(player.network.links["caller"].sent)
    for call in (CALL_ON_FORMER, CALL_ON_NEW):
        assert byes.count(b"BYE sip:%016x@net" % call) == 1
    assert app.metrics()["standing"] == 0


def test_calls_of_former_exchanges_are_kept_for_a_while_and_given_once() -> None:
    predecessors = Predecessors()
    predecessors.add_calls(ADDRESS, [1, 2], 0.0)
    predecessors.add_calls(ADDRESS, [2, 3], KEEP_MS)
    assert predecessors.take_calls(ADDRESS, 2.0 * KEEP_MS) == [1, 2, 3]
    assert predecessors.take_calls(ADDRESS, 2.0 * KEEP_MS) == []
    predecessors.add_calls(ADDRESS, [4], 0.0)
    assert predecessors.take_calls(ADDRESS, KEEP_MS + 1.0) == []

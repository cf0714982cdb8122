"""The timing policy in a running program: replaced during calls, by the admin interface and by SIGHUP."""

from __future__ import annotations

import json
import signal
from typing import Any

import orjson

from lab.addresses import free_address
from ospreyvale.operations.timing import TimingService
from ospreyvale.program.app import App
from ospreyvale.settings.config import parse_config
from ospreyvale.settings.edge import parse_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.transport.loop import Loop
from ospreyvale.transport.network import Network
from tests.fake_peers import Journal, PlatformExchange, ReactionCycle, SipCaller, find_faults, run_until
from tests.player import CONFIG, MemoryLink, Player, RecordedLog, target
from tests.test_loopback import VirtualTime, format_address

CALLS = 150
REPLACE_INTERVAL_MS = 200.0
# Waits of the two valid documents: the exchanges recognize the policy of a call by them.
FIRST_WAIT_MS = 150
SECOND_WAIT_MS = 310
INVALID_DOCUMENTS = (
    "timing {",
    'timing { class "item-hold" { attempt wait-ms=7000; }; }',
    'timing { class "stock-check" { attempt wait-ms=10 gap-ms=299; }; }',
    'timing { class "gold"; }',
    "\xff\x00",
)


def document(wait_ms: int) -> str:
    """Returns a timing document with that wait for every attempt."""
    return (
        "timing { default { "
        + f"attempt wait-ms={wait_ms}; " * 2
        + 'route "direct" { '
        + f"attempt wait-ms={wait_ms}; " * 3
        + "}; }; }"
    )


class WaitRecorder(PlatformExchange):
    """Records by call how long each set-up says that the controller will wait."""

    waits_by_call: dict[int, list[int]]

    def _handle_message(self, link: Any, message: Any, numbers: dict[int, int], open_calls: set[int]) -> None:
        # An IAM with the called number (parameter 188, here equal to the call id) and the wait in ms (182).
        if message.type == 1:
            self.waits_by_call.setdefault(int(message.text(188), 16), []).append(int(message.text(182)))
        super()._handle_message(link, message, numbers, open_calls)


def test_replacing_the_policy_during_calls_loses_no_answer_and_keeps_one_policy_per_call() -> None:
    time = VirtualTime()
    network = Network(Loop(time.clock, time))
    loop = network.loop
    journal = Journal(network.loop)
    own_address, first_address, second_address, listen_address = (free_address() for _ in range(4))
    waits_by_call: dict[int, list[int]] = {}
    for address, outcomes in (
        (own_address, ("answer",)),
        (first_address, ("silent", "answer", "silent", "reset")),
        (second_address, ("silent", "silent", "answer", "full")),
    ):
        WaitRecorder(network, address, journal, ReactionCycle(*outcomes)).waits_by_call = waits_by_call
    targets = [
        target(n) | {"endpoint": format_address(address)}
        for n, address in enumerate((own_address, first_address, second_address))
    ]
    config = parse_config(
        CONFIG
        | {
            "listen": format_address(listen_address),
            "bus": format_address(free_address()),
            "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": targets}}]},
        }
    )
    app = App(
        config,
        parse_edge_config(document(FIRST_WAIT_MS), "edge", build_site_rules(config)),
        network,
        RecordedLog(),
        lambda: config,
    )
    loop.on_exception = None
    wait_at_offer: dict[int, int] = {}  # by call; 0: the policy was replaced while the call was offered
    current = {"wait": FIRST_WAIT_MS, "replacements": 0}

    def replace_policy() -> None:
        current["replacements"] += 1
        current["wait"] = SECOND_WAIT_MS if current["wait"] == FIRST_WAIT_MS else FIRST_WAIT_MS
        assert app.timing.put_policy(document(current["wait"]).encode()).status == 200
        invalid = INVALID_DOCUMENTS[current["replacements"] % len(INVALID_DOCUMENTS)].encode("latin-1")
        assert app.timing.put_policy(invalid).status == 422
        loop.call_at(loop.now + REPLACE_INTERVAL_MS, replace_policy)

    loop.call_at(loop.now + REPLACE_INTERVAL_MS, replace_policy)
    caller = SipCaller(network, listen_address, journal)
    assert run_until(loop, lambda: caller.link is not None, 1_000.0)
    for n in range(1, CALLS + 1):
        run_until(loop, lambda: False, 35.0)
        wait_at_offer[0x7000 + n] = current["wait"]
        caller.call(0x7000 + n, 1 + n % 2)
        run_until(loop, lambda n=n: 0x7000 + n in app.core.context.call_table.calls, 20.0)  # type: ignore[misc]
        wait_at_offer[0x7000 + n] = current["wait"] if wait_at_offer[0x7000 + n] == current["wait"] else 0
    assert run_until(loop, lambda: not app.core.context.call_table.calls, 30_000.0)
    run_until(loop, lambda: False, 500.0)  # the last messages are read too
    for listener in app.listeners.values():
        listener.close()
    assert find_faults(journal) == [] and len(journal.calls("offered")) == CALLS
    assert current["replacements"] > 20 and app.counters["timing_refused"] == current["replacements"]
    assert app.counters["timing_swaps"] == current["replacements"] + 1
    retried = 0
    for call, waits in waits_by_call.items():
        assert len(set(waits)) == 1, f"{call:x} mixes policies: {waits}"
        assert waits[0] in (
            (wait_at_offer[call],) if wait_at_offer[call] else (FIRST_WAIT_MS, SECOND_WAIT_MS)
        ), (call, waits)
        retried += len(waits) > 1
    assert retried > 20 and {waits[0] for waits in waits_by_call.values()} == {FIRST_WAIT_MS, SECOND_WAIT_MS}


def http_request(player: Player, link_name: str, request: str, body: bytes = b"") -> tuple[int, Any]:
    """Sends one request to the admin interface; returns the status and the JSON of the answer."""
    link = player.network.links[link_name] = MemoryLink(player.loop)
    player.loop.spawn(player.network.serve_by_address[("127.0.0.1", 9470)](link))
    link.inbox += f"{request} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    player.loop.fire(link.readable)
    player.loop.turn()
    headers, _, answer = bytes(link.sent).partition(b"\r\n\r\n")
    return int(headers.split()[1]), json.loads(answer or b"null")


def start_app(edge: str = "") -> tuple[Player, App]:
    """Starts the program with an edge file and the admin interface on port 9470."""
    player = Player()
    player.edge = edge
    player.changes = {"admin": "127.0.0.1:9470"}
    return player, player.start()


def test_the_admin_interface_shows_accepts_and_refuses_a_policy() -> None:
    player, app = start_app()
    assert http_request(player, "a", "GET /v1/timing")[1] == {
        "digest": "",
        "document": "",
        "classes": {},
        "retries": 0,
        "retries_refused": 0,
    }
    status, answer = http_request(player, "b", "PUT /v1/timing", document(FIRST_WAIT_MS).encode())
    assert status == 200
    shown = http_request(player, "c", "GET /v1/timing")[1]
    assert shown["digest"] == answer["digest"] != "" and shown["document"] == document(FIRST_WAIT_MS)
    assert [
        attempt["wait_ms"] for attempt in shown["classes"]["item-hold"]["routes"]["direct"]["attempts"]
    ] == [150.0] * 3
    status, answer = http_request(player, "d", "PUT /v1/timing", b"timing { class 3; }")
    assert status == 422 and answer["reasons"] == [
        "body: timing > class 3: is not a class of the settings; allowed: stock-check, item-hold"
    ]
    assert http_request(player, "e", "PUT /v1/timing", b"\xff")[1]["reasons"] == ["body: not UTF-8 at byte 0"]
    assert http_request(player, "f", "PUT /v1/timing", b"")[1]["reasons"] == ["body: has no timing node"]
    assert http_request(player, "g", "PUT /v1/timing", b"x" * 20_000)[0] == 400
    assert http_request(player, "h", "GET /v1/timing")[1] == shown
    assert (app.counters["timing_swaps"], app.counters["timing_refused"]) == (1, 3)


def test_a_reload_replaces_the_policy_and_an_invalid_one_changes_nothing() -> None:
    player, app = start_app(document(FIRST_WAIT_MS))
    log = player.log
    before = app.timing.policy
    player.edge = "timing { class 3; }"
    app.on_signal(signal.SIGHUP)
    assert app.timing.policy is before and app.counters["timing_refused"] == 1
    assert [fields["reasons"] for event, fields in log if event == "timing_refused"] == [
        ["edge: timing > class 3: is not a class of the settings; allowed: stock-check, item-hold"]
    ]
    player.edge = document(SECOND_WAIT_MS)
    app.on_signal(signal.SIGHUP)
    assert app.timing.policy is not before and app.core.control.timing is app.timing.engine
    player.edge = ""
    app.on_signal(signal.SIGHUP)
    assert app.timing.policy is None and app.core.control.timing is not app.timing.engine
    assert app.counters["reloads"] == 3


def test_set_up_times_are_learned_if_there_is_a_policy() -> None:
    player, app = start_app()
    assert http_request(player, "a", "GET /v1/timing/figures")[1] == {}
    app.timing.put_policy(document(FIRST_WAIT_MS).encode())
    times = app.core.context.set_up_times
    assert times is not None
    times.add(player.now, "item-hold", True, 2, "stood", 120.4)
    figures = http_request(player, "b", "GET /v1/timing/figures")[1]
    assert figures["times"] == [
        {
            "class": "item-hold",
            "kind": "direct",
            "exchange": 2,
            "stood": [[120, 1]],
            "refused": [],
            "in_doubt": [],
        }
    ]


def test_an_installation_without_the_histogram_library_stays_in_service(monkeypatch: Any) -> None:
    import sys

    monkeypatch.setitem(sys.modules, "ospreyvale.timing.learned", None)
    player, app = start_app(document(FIRST_WAIT_MS))
    assert app.core.context.set_up_times is None
    assert [event for event, _ in player.log].count("timing_not_learned") == 1
    assert isinstance(app.timing, TimingService) and orjson.loads(app.timing.get_figures().body) == {}

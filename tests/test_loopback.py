"""Loopback test: mixed traffic between callers and exchanges of both kinds, checked by what these recorded.

The sockets are real and the clock is virtual: it advances while no socket has data.  A run thus takes no
longer than its work, and no result depends on the speed of the machine.
"""

from __future__ import annotations

import select
from typing import Any

import pytest

from lab.addresses import free_address
from ospreyvale.fronts.sip import SipFront
from ospreyvale.program.app import App
from ospreyvale.settings.config import parse_config
from ospreyvale.settings.edge import parse_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.transport.loop import Loop
from ospreyvale.transport.network import Address, Network
from tests.fake_peers import (
    Journal,
    M3uaCaller,
    M3uaExchange,
    PlatformExchange,
    ReactionCycle,
    SipCaller,
    find_faults,
    run_until,
)
from tests.player import CONFIG, RecordedLog, target

STEP_MS = 1.0  # by which the clock advances while no socket has data
CALLS = 60


class VirtualTime:
    """A clock that advances only while the sockets are silent, and the poller that moves it."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.epoll = select.epoll()

    def clock(self) -> float:
        """Returns the virtual time, in milliseconds."""
        return self.now

    def register(self, fd: int, eventmask: int) -> None:
        """Watches a descriptor, as `select.epoll` does."""
        self.epoll.register(fd, eventmask)

    def modify(self, fd: int, eventmask: int) -> None:
        """Changes the events that a descriptor is watched for."""
        self.epoll.modify(fd, eventmask)

    def unregister(self, fd: int) -> None:
        """Watches a descriptor no longer."""
        self.epoll.unregister(fd)

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Returns the ready descriptors; advances the clock if there are none and the caller would wait."""
        events = self.epoll.poll(0.0)
        if not events and timeout > 0.0:
            self.now += STEP_MS
        return events


def format_address(address: Address) -> str:
    """Returns an address as host:port."""
    return f"{address[0]}:{address[1]}"


def run_calls() -> tuple[Journal, App]:
    """Runs CALLS calls from both kinds of callers to both kinds of exchanges, until all have ended."""
    virtual_time = VirtualTime()
    network = Network(Loop(virtual_time.clock, virtual_time))
    loop = network.loop
    journal = Journal(network.loop)
    (
        own_address,
        first_address,
        second_address,
        m3ua_exchange_address,
        sip_listen_address,
        m3ua_listen_address,
    ) = (free_address() for _ in range(6))
    PlatformExchange(network, own_address, journal, ReactionCycle("answer"))
    PlatformExchange(
        network, first_address, journal, ReactionCycle("answer", "full", "silent", "answer", "reset")
    )
    PlatformExchange(network, second_address, journal, ReactionCycle("full", "answer"))
    M3uaExchange(
        network,
        m3ua_exchange_address,
        journal,
        ReactionCycle("answer", "rlc", "full", "answer", "reset", "silent"),
    )
    targets = [
        target(n) | {"endpoint": format_address(address)}
        for n, address in enumerate((own_address, first_address, second_address))
    ]
    config: dict[str, Any] = CONFIG | {
        "listen": format_address(sip_listen_address),
        "bus": format_address(free_address()),
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": targets}}]},
    }
    edge = (
        f'm3ua listen="{format_address(m3ua_listen_address)}" circuits=40 {{\n'
        f'exchange 20 address="{format_address(m3ua_exchange_address)}" point-code=20 circuits=30\n}}'
    )
    parsed_config = parse_config(config)
    app = App(
        parsed_config,
        parse_edge_config(edge, "edge", build_site_rules(parsed_config)),
        network,
        RecordedLog(),
        lambda: parse_config(config),
    )
    loop.on_exception = None
    sip_caller = SipCaller(network, sip_listen_address, journal)
    m3ua_caller = M3uaCaller(network, m3ua_listen_address, journal, 9)
    assert run_until(loop, lambda: sip_caller.link is not None and m3ua_caller.active, 1_000.0)
    for n in range(1, CALLS + 1):
        run_until(loop, lambda: False, 40.0)
        if n % 2:
            sip_caller.call(0x5000 + n, (1, 2, 20)[n % 3])
            if n % 15 == 0:
                sip_caller.give_up(0x5000 + n)
        else:
            m3ua_caller.call(int(("01", "02", "20")[n % 3] + f"00{n:04}", 16), n // 2)
    assert run_until(loop, lambda: not app.core.context.call_table.calls, 30_000.0)
    run_until(loop, lambda: False, 500.0)
    for listener in app.listeners.values():
        listener.close()
    return journal, app


def test_no_call_has_two_answers_or_none() -> None:
    journal, app = run_calls()
    assert find_faults(journal) == []
    assert len(journal.calls("offered")) == CALLS
    assert len(journal.calls("stands")) >= CALLS // 3
    for event in ("refused", "reset", "given_up", "caller_gave_up", "released", "refused_by_exchange"):
        assert journal.calls(event), f"the run had no {event}"
    assert app.counters["m3ua_rlc_unasked"] > 0
    assert app.metrics()["unanswered"] == app.metrics()["standing"] == 0


@pytest.mark.parametrize(("answer_count", "fault_text"), [(0, ": 0 answers"), (2, ": 2 answers")])
def test_the_checker_finds_a_program_that_answers_wrongly(
    answer_count: int, fault_text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    send_final_response = SipFront._send_final_response

    def send_wrong_number_of_answers(
        self: SipFront, call: int, status: int, body: bytes = b"", back_off_ms: float = 0.0
    ) -> bool:
        request = self.connection_by_call[call].open_set_ups[call]
        for _ in range(answer_count):
            self.connection_by_call.setdefault(
                call, self.connection_by_call.get(call) or next(iter(self.active_connections))
            ).open_set_ups[call] = request
            send_final_response(self, call, status, body, back_off_ms)
        return True

    monkeypatch.setattr(SipFront, "_send_final_response", send_wrong_number_of_answers)
    assert any(fault.endswith(fault_text) for fault in find_faults(run_calls()[0]))


def test_the_checker_finds_attempts_at_once_and_too_soon() -> None:
    journal = Journal(Loop(lambda: 0.0, VirtualTime()))
    journal.events = [
        (0.0, 1, "offered"),
        (1.0, 1, "arrived"),
        (2.0, 1, "arrived"),
        (3.0, 1, "reset"),
        (4.0, 1, "reset"),
        (250.0, 1, "arrived"),
        (260.0, 1, "stands"),
    ]
    assert find_faults(journal) == ["1: two attempts out at once", "1: sent again after 246 ms"]


def test_a_free_address_is_given_out_once() -> None:
    """Guards against two listeners of a test on one port, as the system may name a free port twice."""
    addresses = [free_address() for _ in range(500)]
    assert len(set(addresses)) == len(addresses)

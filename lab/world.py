"""Phones on impaired links, the edge for devices, the real core and scripted exchanges, on one virtual clock.

`World.faults` checks the answers that the phones received and the state of the exchanges, independently of
the state of the edge.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from lab.impairment import ImpairedLink, Impairment
from lab.phone import Phone, PhoneCall
from lab.sip_phone import SipPhone
from ospreyvale.devices.counter import AddressValidator, CounterTransport
from ospreyvale.devices.keys import Keys
from ospreyvale.devices.limits import Limits
from ospreyvale.devices.request_manager import RequestManager
from ospreyvale.devices.sessions import Address, Sessions
from ospreyvale.devices.sip import SIP_UDP, SipTransport
from ospreyvale.routing import interface
from ospreyvale.routing.state import SetUpOrder
from tests.rig import CLASS_NAMES, SETTINGS, Rig, VirtualClock

ANSWER_GRACE_MS = 20.0


class Edge:
    """The edge for devices of one controller process: sessions, requests and both transports."""

    def __init__(
        self,
        clock: VirtualClock,
        rig: Rig,
        keys: Keys,
        random_source: random.Random,
        counters: Counter[str],
        send: Callable[[Address, bytes], None],
        max_sessions: int,
        limits: Limits,
    ) -> None:
        self.sessions = Sessions(
            max_sessions, 300_000.0, lambda session: self.request_manager.on_session_ended(session)
        )
        self.request_manager = RequestManager(
            clock,
            rig.core,
            self.sessions,
            random_source.randbytes(8),
            tuple(call_class.worth for call_class in SETTINGS.classes),
            SETTINGS.release_ms,
            limits,
            counters,
            lambda event, **fields: None,
        )
        self.address_validator = AddressValidator(clock.now, limits, random_source.randbytes, counters)
        self.counter = CounterTransport(
            clock,
            self.request_manager,
            self.sessions,
            keys,
            CLASS_NAMES,
            tuple(call_class.deadline_ms for call_class in SETTINGS.classes),
            self.address_validator,
            random_source.randbytes,
            counters,
            send,
        )
        self.sip = SipTransport(
            SIP_UDP,
            clock,
            self.request_manager,
            self.sessions,
            keys,
            CLASS_NAMES,
            tuple(call_class.deadline_ms for call_class in SETTINGS.classes),
            self.address_validator,
            random_source.randbytes,
            counters,
            send,
        )


class World:
    """The simulation of all parts; each phone has its own link and address.

    `model` describes the links, except those that `link_models` replaces by the number of the phone.
    `phones` is the number of phones of each transport, `free` the size of each circuit group and `behave` the
    response of an exchange to a set-up (see `tests.rig.Behavior`).  Without `retransmit`, phones of the
    counter protocol send requests once.
    """

    def __init__(
        self,
        seed: int,
        model: Impairment,
        phones: int = 4,
        retransmit: bool = True,
        free: float = 40.0,
        behave: Callable[[SetUpOrder], tuple[str, float]] = lambda order: ("answer", 30.0),
        max_sessions: int = 10_000,
        limits: Limits | None = None,
        link_models: dict[int, Impairment] | None = None,
    ) -> None:
        self.random_source = random.Random(seed)
        self.limits = limits or Limits()
        self.max_sessions = max_sessions
        self.rig = Rig(behave, free=free)
        self.clock = self.rig.clock
        self.clock.run(self.clock.now + 200.0)
        self.counters: Counter[str] = Counter()
        self.keys = Keys({f"phone-{n}": {1: self.random_source.randbytes(32)} for n in range(phones)})
        self.phone_by_address: dict[Address, int] = {}
        self.sip_phone_by_address: dict[Address, int] = {}
        self.reassigned_addresses: dict[Address, int] = {}  # addresses that now belong to another phone
        # Datagrams that the edge sent: time, destination, size.
        self.sent_datagrams: list[tuple[float, Address, int]] = []
        self.edge_up = True
        self.edge = self._create_edge()
        self.links = [
            ImpairedLink((link_models or {}).get(n, model), 1_000 * seed + n, self.clock.now)
            for n in range(phones)
        ]
        self.sip_links = [
            ImpairedLink((link_models or {}).get(n, model), 2_000 * seed + n, self.clock.now)
            for n in range(phones)
        ]
        self.sip_phones = [
            SipPhone(
                self.clock,
                f"phone-{n}",
                self.keys.by_device[f"phone-{n}"][1],
                78 * seed + n,
                lambda data, n=n: self.send_from_sip_phone(n, data),  # type: ignore[misc]
            )
            for n in range(phones)
        ]
        self.phones = [
            Phone(
                self.clock,
                f"phone-{n}",
                self.keys.by_device[f"phone-{n}"][1],
                77 * seed + n,
                lambda data, n=n: self.send_from_phone(n, data),  # type: ignore[misc]
                retransmit,
            )
            for n in range(phones)
        ]

    def _create_edge(self) -> Edge:
        return Edge(
            self.clock,
            self.rig,
            self.keys,
            self.random_source,
            self.counters,
            self.deliver,
            self.max_sessions,
            self.limits,
        )

    # ---- the network ----

    def address(self, phone: int) -> Address:
        """Returns the current address of a phone, which changes at the times given in its link's model."""
        return f"127.8.{self.links[phone].address_change_count(self.clock.now)}.{phone % 250}", 5_000 + phone

    def send_from_phone(self, phone: int, data: bytes) -> None:
        """Sends a datagram of the counter protocol over the phone's link to the edge."""
        address = self.address(phone)
        self.phone_by_address[address] = phone
        for at in self.links[phone].arrival_times("up", self.clock.now):
            self.clock.call_at(at, lambda: self._receive_at_edge(address, data))

    def send_from_sip_phone(self, phone: int, data: bytes) -> None:
        """Sends a SIP datagram over the phone's link to the edge."""
        address = (
            f"127.8.{self.sip_links[phone].address_change_count(self.clock.now)}.{phone % 250}",
            15_000 + phone,
        )
        self.sip_phone_by_address[address] = phone
        for at in self.sip_links[phone].arrival_times("up", self.clock.now):
            self.clock.call_at(at, lambda: self.edge.sip.receive(address, data) if self.edge_up else None)

    def _receive_at_edge(self, address: Address, data: bytes) -> None:
        if self.edge_up:
            self.edge.counter.receive(address, data)

    def deliver(self, address: Address, data: bytes) -> None:
        """Delivers a datagram of the edge to the phone that has the address now, if there is one."""
        self.sent_datagrams.append((self.clock.now, address, len(data)))
        if address in self.sip_phone_by_address:
            sip_phone = self.sip_phone_by_address[address]
            current_host = (
                f"127.8.{self.sip_links[sip_phone].address_change_count(self.clock.now)}.{sip_phone % 250}"
            )
            for at in (
                self.sip_links[sip_phone].arrival_times("down", self.clock.now)
                if current_host == address[0]
                else []
            ):
                self.clock.call_at(at, lambda: self.sip_phones[sip_phone].receive(data))
            return
        phone = self.reassigned_addresses.get(address, self.phone_by_address.get(address))
        if phone is None:
            return
        for at in self.links[phone].arrival_times("down", self.clock.now):
            self.clock.call_at(
                at,
                lambda: self.phones[phone].receive(data)
                if address in self.reassigned_addresses or self.address(phone) == address
                else None,
            )

    # ---- events ----

    def run(self, duration_ms: float) -> None:
        """Advances the clock by a duration."""
        self.clock.run(self.clock.now + duration_ms)

    def attach(self) -> None:
        """Attaches all phones of the counter protocol and waits 3 s."""
        for phone in self.phones:
            phone.attach()
        self.run(3_000.0)

    def attach_sip(self) -> None:
        """Registers all SIP phones and waits 3 s."""
        for phone in self.sip_phones:
            phone.attach()
        self.run(3_000.0)

    def crash(self, away_ms: float = 0.0) -> None:
        """Crashes the controller and restarts it without state; standing calls stay up at the exchanges.

        The edge loses datagrams for `away_ms`.
        """
        for session in list(self.edge.sessions.by_device.values()):
            for item in session.outbox.values():
                if item.timer is not None:
                    item.timer.cancel()
        for request in self.edge.request_manager.index.active.values():
            if request.timer is not None:
                request.timer.cancel()
        transactions = [invite.transaction for invite in self.edge.sip.invites.values()]
        for transaction in [*transactions, *self.edge.sip.non_invites.values()]:
            transaction.stop_timers()
        for state in list(self.rig.core.context.call_table.calls.values()):
            for timer in (state.timer, state.attempt.timer if state.attempt is not None else None):
                if timer is not None:
                    timer.cancel()
            if state.attempt is not None and not state.standing:  # its connection to the exchange is closed
                self.rig.cancel(state.call, state.attempt.exchange.address)
        old_rig = self.rig
        old_rig.core.context.clock = VirtualClock()  # timers of the crashed core never fire
        self.rig = Rig(old_rig.behave, free=0.0)
        self.rig.take_over(old_rig)
        old_rig.core = self.rig.core  # the exchanges report ends of standing calls to the new core
        self.edge_up = False
        self.clock.call_at(self.clock.now + away_ms, self._restart_edge)

    def _restart_edge(self) -> None:
        self.edge_up = True
        self.edge = self._create_edge()

    def place_calls(
        self, count: int, gap_ms: float, patience_ms: float = 1_800.0, item_hold_share: float = 0.3
    ) -> list[PhoneCall]:
        """Places calls from random phones to random exchanges, `gap_ms` apart on average, then waits 20 s."""
        calls = []
        for _ in range(count):
            phone = self.random_source.choice(self.phones)
            name = CLASS_NAMES[self.random_source.random() < item_hold_share]
            calls.append(phone.call(name, self.random_source.randint(1, 4), patience_ms))
            self.run(self.random_source.expovariate(1 / gap_ms))
        self.run(20_000.0)
        return calls

    def faults(self) -> list[str]:
        """Lists requests with two answers or none, late answers, seized circuits and faults of the rig."""
        problems = []
        for call in [call for phone in self.phones for call in phone.calls.values()] + [
            call for phone in self.sip_phones for call in phone.calls.values()
        ]:
            request_text = call.request.hex()
            if len(call.answers) + call.gave_up != 1:
                problems.append(
                    f"{request_text}: answers {[outcome for _, outcome in call.answers]}, "
                    f"gave up: {call.gave_up}"
                )
            if call.answers and call.answers[0][0] > call.requested_at + call.patience_ms + ANSWER_GRACE_MS:
                problems.append(
                    f"{request_text}: answered after {call.answers[0][0] - call.requested_at:.0f} ms"
                )
        incomplete = {number: free for number, free in self.rig.free.items() if free != self.rig.initial_free}
        if incomplete:
            problems.append(
                f"circuits still seized: free by exchange {incomplete}, standing calls {self.rig.standing}"
            )
        return problems + [fault for observed in self.rig.observed.values() for fault in observed.faults]

    def service_share(self, calls: list[PhoneCall], call_class: str = "") -> float:
        """Returns the earned share of the offered worth, of one class or of all.

        Counts the answers that the phones received.
        """
        offered = earned = 0.0
        for call in calls:
            parameters: interface.CallClass = SETTINGS.classes[CLASS_NAMES.index(call.call_class)]
            if call_class in ("", call.call_class):
                offered += parameters.worth
                if call.answers and call.answers[0][1] == "stands":
                    in_time = call.answers[0][0] - call.requested_at <= parameters.aim_ms
                    earned += parameters.worth * (1.0 if in_time else parameters.late_worth)
        return earned / offered if offered else 0.0


def counter_figures(world: World) -> dict[str, Any]:
    """Returns the edge's counters, sorted by name."""
    return dict(sorted(world.counters.items()))

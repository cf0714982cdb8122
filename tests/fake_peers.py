"""Fake exchanges and callers of both kinds for the loopback tests, on the program's own loop and sockets.

Each records its events in one `Journal`.  `find_faults` checks that record and uses no state of the program.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ospreyvale.protocol import isup, m3ua, sip
from ospreyvale.protocol.m3ua import IsupMessage, IsupType, Kind, RoutingLabel
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Address, Network

RELEASE_MS = 300.0  # shortest time from an attempt that ended in doubt to the next of the same call
HOLDING_TIME_MS = 400.0
DOUBTFUL_EVENTS = ("reset", "given_up")  # the exchange may have set the call up all the same


@dataclass
class Journal:
    """Records events as (time, call, event).

    A call is identified by its called number, which the program passes on unchanged.
    """

    loop: Loop
    events: list[tuple[float, int, str]] = field(default_factory=list)

    def __call__(self, call: int, event: str) -> None:
        """Records an event of a call at the current time."""
        self.events.append((self.loop.now, call, event))

    def calls(self, event: str) -> list[int]:
        """Returns the call of each event of that name, in the order of the events."""
        return [call for _, call, kind in self.events if kind == event]


def find_faults(journal: Journal) -> list[str]:
    """Finds calls with no answer or two, two attempts at once, or an attempt too soon after one in doubt."""
    faults = []
    answers = Counter(call for _, call, event in journal.events if event in ("stands", "refused"))
    open_attempts: dict[int, int] = {}
    in_doubt_at: dict[int, float] = {}
    for at, call, event in journal.events:
        if event == "arrived":
            if open_attempts.get(call, 0):
                faults.append(f"{call:x}: two attempts out at once")
            if at < in_doubt_at.get(call, -RELEASE_MS) + RELEASE_MS:
                faults.append(f"{call:x}: sent again after {at - in_doubt_at[call]:.0f} ms")
            open_attempts[call] = open_attempts.get(call, 0) + 1
        elif event in ("answered", "refused_by_exchange", *DOUBTFUL_EVENTS):
            open_attempts[call] = max(0, open_attempts.get(call, 0) - 1)
            if event in DOUBTFUL_EVENTS:
                in_doubt_at[call] = at
    given_up = set(journal.calls("caller_gave_up"))
    for call in journal.calls("offered"):
        if answers[call] > 1 or (answers[call] == 0 and call not in given_up):
            faults.append(f"{call:x}: {answers[call]} answers")
    return faults


class ReactionCycle:
    """An exchange's reactions to set-ups, in rotation, so that each kind occurs.

    The exchange stays silent for a reaction that it does not know, such as "silent".
    """

    def __init__(self, *reactions: str) -> None:
        self.reactions = reactions
        self.count = 0

    def next_reaction(self) -> str:
        """Returns the reaction to the next set-up."""
        self.count += 1
        return self.reactions[(self.count - 1) % len(self.reactions)]


class FakeExchange:
    """Common part of both kinds of exchange; sends a release on the open connection or on the next one."""

    def __init__(
        self, network: Network, address: Address, journal: Journal, reaction_cycle: ReactionCycle
    ) -> None:
        self.loop = network.loop
        self.journal = journal
        self.reaction_cycle = reaction_cycle
        self.link: Link | None = None
        self.unsent_releases: list[bytes] = []
        network.listen(address, self._serve, lambda: False)

    def release_later(self, data: bytes) -> None:
        """Sends the release of a standing call after the holding time."""

        def send() -> None:
            if self.link is None or not self.link.send(data):
                self.unsent_releases.append(data)

        self.loop.call_at(self.loop.now + HOLDING_TIME_MS, send)

    def on_opened(self, link: Link) -> None:
        """Makes this the open connection and sends what waits for one."""
        self.link = link
        while self.unsent_releases:
            link.send(self.unsent_releases.pop())

    def _serve(self, link: Link) -> Coroutine:
        raise NotImplementedError


class PlatformExchange(FakeExchange):
    """An exchange that speaks the platform's binary messages."""

    def _serve(self, link: Link) -> Coroutine:
        reader = isup.Reader()
        number_by_call = dict[int, int]()
        open_calls = set[int]()
        link.send(isup.encode(isup.Message(isup.Type.GROUP, 0, {isup.Code.REPORT: b"x0:30;x1:30"})))
        self.on_opened(link)
        while data := (yield from link.receive()):
            for message in reader.feed(data):
                self._handle_message(link, message, number_by_call, open_calls)
        for call in open_calls:  # the set-ups open on a connection end with it
            self.journal(number_by_call[call], "reset")

    def _handle_message(
        self, link: Link, message: isup.Message, number_by_call: dict[int, int], open_calls: set[int]
    ) -> None:
        call = message.call
        if message.type == isup.Type.TEST:
            link.send(isup.encode(isup.Message(isup.Type.TESTED, call, {isup.Code.CAUSE: b"\x01"})))
        elif message.type == isup.Type.REL and call in open_calls:
            open_calls.discard(call)
            self.journal(number_by_call[call], "given_up")
        elif message.type == isup.Type.IAM:
            number_by_call[call] = int(message.text(isup.Code.NUMBER), 16)
            self.journal(number_by_call[call], "arrived")
            open_calls.add(call)
            match self.reaction_cycle.next_reaction():
                case "answer":
                    open_calls.discard(call)
                    self.journal(number_by_call[call], "answered")
                    link.send(
                        isup.encode(
                            isup.Message(
                                isup.Type.ANM,
                                call,
                                {isup.Code.DESCRIPTION: message.parameters[isup.Code.DESCRIPTION]},
                            )
                        )
                    )
                    self.release_later(
                        isup.encode(isup.Message(isup.Type.REL, call, {isup.Code.CAUSE: b"\x10"}))
                    )
                case "full":
                    open_calls.discard(call)
                    self.journal(number_by_call[call], "refused_by_exchange")
                    link.send(
                        isup.encode(
                            isup.Message(
                                isup.Type.REL,
                                call,
                                {isup.Code.CAUSE: b"\x22", isup.Code.NOTE: b"via_said_no"},
                            )
                        )
                    )
                case "reset":
                    link.close()


class M3uaExchange(FakeExchange):
    """An exchange that uses M3UA: the signalling gateway for which the program is the ASP."""

    def _serve(self, link: Link) -> Coroutine:
        reader = m3ua.Reader()
        number_by_cic = dict[int, int]()
        acks = {Kind.ASPUP: Kind.ASPUP_ACK, Kind.ASPAC: Kind.ASPAC_ACK, Kind.BEAT: Kind.BEAT_ACK}
        while data := (yield from link.receive()):
            for message in reader.feed(data):
                if message.kind == Kind.DATA:
                    self._handle_message(link, *m3ua.decode_data(message), number_by_cic)
                else:
                    link.send(m3ua.encode(acks[Kind(message.kind)], *message.parameters))
                if message.kind == Kind.ASPAC:
                    self.on_opened(link)
        for number in number_by_cic.values():
            self.journal(number, "reset")

    def _handle_message(
        self, link: Link, label: RoutingLabel, message: IsupMessage, number_by_cic: dict[int, int]
    ) -> None:
        reverse_label = RoutingLabel(label.dpc, label.opc)
        cic = message.cic
        if message.type == IsupType.REL:
            if cic in number_by_cic:
                self.journal(number_by_cic.pop(cic), "given_up")
            link.send(m3ua.encode_data(reverse_label, IsupMessage(cic, IsupType.RLC)))
        elif message.type == IsupType.IAM:
            number = number_by_cic[cic] = int(message.digits, 16)
            self.journal(number, "arrived")
            match self.reaction_cycle.next_reaction():
                case "answer":
                    self.journal(number_by_cic.pop(cic), "answered")
                    link.send(
                        m3ua.encode_data(
                            reverse_label, IsupMessage(cic, IsupType.ANM, description=message.description)
                        )
                    )
                    self.release_later(
                        m3ua.encode_data(reverse_label, IsupMessage(cic, IsupType.REL, cause=16))
                    )
                case "full":
                    self.journal(number_by_cic.pop(cic), "refused_by_exchange")
                    link.send(m3ua.encode_data(reverse_label, IsupMessage(cic, IsupType.REL, cause=34)))
                case "rlc":  # acknowledges a release that it never received
                    self.journal(number_by_cic.pop(cic), "reset")
                    link.send(m3ua.encode_data(reverse_label, IsupMessage(cic, IsupType.RLC)))
                case "reset":
                    link.close()


class SipCaller:
    """Any number of callers on one SIP connection to the program."""

    def __init__(self, network: Network, address: Address, journal: Journal) -> None:
        self.network = network
        self.address = address
        self.journal = journal
        self.link: Link | None = None
        network.loop.spawn(self._serve())

    def _serve(self) -> Coroutine:
        reader = sip.Reader()
        self.link = yield from self.network.dial(self.address, 1000.0)
        assert self.link is not None
        while data := (yield from self.link.receive()):
            for message in reader.feed(data):
                if message.status >= 200 and message.cseq_method == "INVITE":
                    self.journal(message.call, "stands" if message.status == 200 else "refused")
                elif message.method == "BYE":
                    self.journal(message.call, "released")
                    self.link.send(sip.encode_response(message, 200))

    def call(self, number: int, destination: int) -> None:
        """Sends INVITE for the number, to the exchange numbered `destination`."""
        assert self.link is not None
        self.journal(number, "offered")
        body = b"\x00d"
        head = (
            f"INVITE sip:{number:016x}@net SIP/2.0\r\nCall-ID: {number:016x}\r\nCSeq: 1 INVITE\r\n"
            f"Priority-Class: {'item-hold' if number % 7 == 0 else 'stock-check'}\r\nExpires-Ms: 1800\r\n"
            f"P-Trunk-Info: dest:{destination};width:1;via:-1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.link.send(head.encode() + body)

    def give_up(self, number: int) -> None:
        """Sends CANCEL for a call that is not answered yet."""
        assert self.link is not None
        self.journal(number, "caller_gave_up")
        self.link.send(
            f"CANCEL sip:{number:016x}@net SIP/2.0\r\nCall-ID: {number:016x}\r\n"
            "CSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n".encode()
        )


class M3uaCaller:
    """A peer that sends IAM to the program over one M3UA association."""

    def __init__(self, network: Network, address: Address, journal: Journal, point_code: int) -> None:
        self.network = network
        self.address = address
        self.journal = journal
        self.label = RoutingLabel(point_code, 1)
        self.number_by_cic: dict[int, int] = {}
        self.link: Link | None = None
        self.active = False
        network.loop.spawn(self._serve())

    def _serve(self) -> Coroutine:
        reader = m3ua.Reader()
        self.link = yield from self.network.dial(self.address, 1000.0)
        assert self.link is not None
        self.link.send(m3ua.encode(Kind.ASPUP) + m3ua.encode(Kind.ASPAC))
        while data := (yield from self.link.receive()):
            for message in reader.feed(data):
                self.active |= message.kind == Kind.ASPAC_ACK
                if message.kind == Kind.DATA:
                    self._handle_message(m3ua.decode_data(message)[1])

    def _handle_message(self, message: IsupMessage) -> None:
        assert self.link is not None
        number = self.number_by_cic.get(message.cic, 0)
        if message.type == IsupType.ANM:
            self.journal(number, "stands")
        elif message.type == IsupType.REL:
            stood = number in self.journal.calls("stands")
            self.journal(number, "released" if stood else "refused")
            del self.number_by_cic[message.cic]
            self.link.send(m3ua.encode_data(self.label, IsupMessage(message.cic, IsupType.RLC)))

    def call(self, number: int, cic: int) -> None:
        """Sends IAM; the first two digits of the number are those of the exchange."""
        assert self.link is not None and cic not in self.number_by_cic
        self.journal(number, "offered")
        self.number_by_cic[cic] = number
        self.link.send(
            m3ua.encode_data(
                self.label, IsupMessage(cic, IsupType.IAM, f"{number:x}".zfill(8), description=b"m")
            )
        )


def run_until(loop: Loop, done: Callable[[], bool], limit_ms: float) -> bool:
    """Runs the loop until `done` returns True; returns False if `limit_ms` of virtual time pass first."""
    end = loop.now + limit_ms
    while not done() and loop.now < end:
        loop.turn()
    return done()

"""Stand-in callers: SIP connections to the program, with impatient and slow ones among them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lab.faults.record import ObservedCall, Record
from ospreyvale.protocol import sip
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, Network

CONNECT_TIMEOUT_MS = 300.0
CONNECTIONS = 4  # that calls are spread over; a closed one is opened again at its next call
GIVE_UP_PROBABILITY = 0.06
REPEAT_PROBABILITY = 0.3  # of a set-up that was given up
NONSENSE_PROBABILITY = 0.01  # of an additional connection that sends no SIP message
SPLIT_PROBABILITY = 0.1  # of a set-up that is sent in two pieces
MAX_SPLIT_DELAY_MS = 20.0
MIN_PATIENCE_MS = 700.0
FIRST_FINAL_STATUS = 200  # lower ones are provisional
CLASS_NAMES = ("stock-check", "item-hold")
DEADLINES_MS = (1_500.0, 1_200.0)


@dataclass(eq=False)
class CallerLine:
    """One connection of the callers, and its unanswered calls."""

    link: Link
    unanswered: dict[int, ObservedCall] = field(default_factory=dict)
    inside_message: bool = False  # the rest of a set-up follows


class Callers:
    """Sends set-ups at random intervals over a few connections, and records the answers."""

    def __init__(
        self,
        network: Network,
        address: Address,
        record: Record,
        source: random.Random,
        destinations: range,
        calls_per_s: float,
    ) -> None:
        self.network = network
        self.loop = network.loop
        self.address = address
        self.record = record
        self.source = source
        self.destinations = destinations
        self.calls_per_s = calls_per_s
        self.lines: list[CallerLine | None] = [None] * CONNECTIONS
        self.stopped = False
        self.crowd_factor = 1.0  # multiplies the rate of calls

    def start(self) -> None:
        """Begins to send set-ups."""
        self._schedule_next()

    def _schedule_next(self) -> None:
        if not self.stopped:
            delay_ms = self.source.expovariate(self.calls_per_s * self.crowd_factor / 1000.0)
            self.loop.call_at(self.loop.now + delay_ms, self._on_arrival)

    def _on_arrival(self) -> None:
        self.loop.spawn(self._place_call(self.source.randrange(CONNECTIONS)))
        if self.source.random() < NONSENSE_PROBABILITY:
            self.loop.spawn(self._send_nonsense())
        self._schedule_next()

    def _send_nonsense(self) -> Coroutine:
        link = yield from self.network.dial(self.address, CONNECT_TIMEOUT_MS)
        if link is not None:
            link.send(self.source.randbytes(40))
            yield from link.receive()
            link.close()

    def _place_call(self, index: int) -> Coroutine:
        """Sends one set-up.

        The call is not counted if no connection can be opened, or while part of a set-up is sent on it.
        """
        line = self.lines[index]
        if line is None or line.link.closed:
            link = yield from self.network.dial(self.address, CONNECT_TIMEOUT_MS)
            if link is None:
                return
            line = self.lines[index] = CallerLine(link)
            self.loop.spawn(self._serve(line))
        if line.inside_message:
            return
        call = self.source.getrandbits(63) | 1
        call_class = int(self.source.random() < 0.1)
        patience_ms = self.source.uniform(MIN_PATIENCE_MS, DEADLINES_MS[call_class])
        set_up = data = self._encode_set_up(call, call_class, patience_ms)
        if self.source.random() < SPLIT_PROBABILITY:
            cut = self.source.randrange(1, len(data))
            line.inside_message = True
            line.link.send(data[:cut])
            yield from self.loop.sleep(self.source.uniform(0.0, MAX_SPLIT_DELAY_MS))
            line.inside_message = False
            data = data[cut:]
        observed = ObservedCall(call, self.loop.now, patience_ms)
        if not line.link.send(data):
            return
        self.record.calls[call] = line.unanswered[call] = observed
        wait_ms = patience_ms + 2_000.0  # for answers that come too late
        if self.source.random() < GIVE_UP_PROBABILITY:
            wait_ms = self.source.uniform(1.0, patience_ms)
        self.loop.call_at(self.loop.now + wait_ms, lambda: self._give_up(line, observed, set_up))

    def _encode_set_up(self, call: int, call_class: int, patience_ms: float) -> bytes:
        destination = self.source.choice(self.destinations)
        return sip.encode(
            f"INVITE sip:{self.source.getrandbits(60):016x}@net SIP/2.0",
            [
                ("Via", "SIP/2.0/TCP peer"),
                ("Call-ID", f"{call:016x}"),
                ("CSeq", "1 INVITE"),
                ("Priority-Class", CLASS_NAMES[call_class]),
                ("Expires-Ms", str(int(patience_ms))),
                ("P-Trunk-Info", f"dest:{destination};width:1;via:-1"),
            ],
            b"description",
        )

    def _give_up(self, line: CallerLine, observed: ObservedCall, set_up: bytes) -> None:
        """Gives up a call that is not answered; now and then the same set-up is sent again at once."""
        if line.inside_message:
            self.loop.call_at(
                self.loop.now + MAX_SPLIT_DELAY_MS, lambda: self._give_up(line, observed, set_up)
            )
            return
        if line.unanswered.pop(observed.call, None) is None:
            return
        observed.given_up_at = self.loop.now
        line.link.send(
            sip.encode(
                f"CANCEL sip:{observed.call:016x}@net SIP/2.0",
                [("Call-ID", f"{observed.call:016x}"), ("CSeq", "1 CANCEL")],
            )
        )
        if self.source.random() < REPEAT_PROBABILITY:
            line.link.send(set_up)

    def _serve(self, line: CallerLine) -> Coroutine:
        reader = sip.Reader()
        while data := (yield from line.link.receive()):
            for message in reader.feed(data):
                self._handle_message(line, message)
        line.link.close()
        for observed in line.unanswered.values():
            observed.lost_at = self.loop.now
        line.unanswered.clear()

    def _handle_message(self, line: CallerLine, message: sip.Message) -> None:
        if message.status >= FIRST_FINAL_STATUS and message.cseq_method == "INVITE":
            observed = self.record.calls.get(message.call)
            if observed is not None and not observed.given_up_at:
                observed.answers.append((self.loop.now, message.status))
                line.unanswered.pop(message.call, None)
        elif message.method == "BYE":
            observed = self.record.calls.get(message.call)
            if observed is not None and not observed.released_at:
                observed.released_at = self.loop.now
            if not line.inside_message:
                line.link.send(sip.encode_response(message, 200))

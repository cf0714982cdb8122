"""The device side of the counter protocol (see ospreyvale.protocol.device); clock and link are passed in."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ospreyvale.devices.keys import FROM_DEVICE, FROM_EDGE, compute_proof, derive_session_key, verify_proof
from ospreyvale.devices.rtt import RttEstimator
from ospreyvale.devices.window import ReplayWindow
from ospreyvale.protocol.device import ID_BYTES, PROOF_BYTES, Datagram, Field, Kind, Op, decode, encode
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.routing.state import Clock, Timer

NO_CID = bytes(ID_BYTES)
# Outcome by the value of the field END.
END_OUTCOMES = {1: "stands", 2: "refused", 3: "failed", 4: "given_up", 5: "conflict"}


@dataclass
class PhoneCall:
    """One call request of a phone, with the answers and releases that it received."""

    request: bytes
    call_class: str
    exchange: int
    requested_at: float
    patience_ms: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # times and outcomes
    gave_up: bool = False
    released: list[float] = field(default_factory=list)  # times at which a release arrived
    first_epoch: bytes = b""
    timer: Timer | None = None  # for the next transmission of the request
    give_up_timer: Timer | None = None
    send_count: int = 0


class Phone:
    """A phone that retransmits its requests until they are answered, and accepts only the first answer."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        key: bytes,
        seed: int,
        send: Callable[[bytes], None],
        retransmit: bool = True,
        key_id: int = 1,
    ) -> None:
        self.clock = clock
        self.name = name
        self.key = key
        self.key_id = key_id
        self.send = send
        self.retransmit = retransmit
        self.random_source = random.Random(seed)
        self.epoch = NO_CID
        self.cookie = NO_CID
        self.cid = b""
        self.session_key = b""
        self.replay_window = ReplayWindow()
        self.datagram_count = 0  # sent in the current session
        self.sent_hello_count = 0  # since the start, as the COUNT field
        self.rtt = RttEstimator()
        self.calls: dict[bytes, PhoneCall] = {}
        self.unacked: dict[int, tuple[float, Callable[[], None] | None]] = {}  # by number: sent at, callback
        self.hello_timer: Timer | None = None
        self.hello_attempt_count = 0  # since the last challenge or session
        self.away_notices: list[tuple[int, str]] = []  # delay until reconnecting in ms, other address
        self.ignored_reasons: list[str] = []

    # ---- the user's actions ----

    def attach(self) -> None:
        """Sends HELLO, and again after a time-out until it is answered."""
        if self.hello_timer is not None:
            self.hello_timer.cancel()
        self.sent_hello_count += 1
        body = encode(
            Kind.HELLO,
            NO_CID,
            0,
            {
                Field.DEVICE: self.name,
                Field.KEY: self.key_id,
                Field.EPOCH: self.epoch,
                Field.COOKIE: self.cookie,
                Field.COUNT: self.sent_hello_count,
                Field.PADDING: bytes(8),
            },
        )
        self.send(body + compute_proof(self.key, FROM_DEVICE, body))
        self.hello_attempt_count += 1
        wait_ms = min(2_000.0, self.rtt.timeout_ms() * 1.5 ** min(self.hello_attempt_count - 1, 4))
        self.hello_timer = self.clock.call_at(self.clock.now + wait_ms, self.attach)

    def call(
        self, call_class: str, exchange: int, patience_ms: float, request: bytes | None = None
    ) -> PhoneCall:
        """Requests a call; the caller gives up after `patience_ms`."""
        request_id = request or self.random_source.randbytes(ID_BYTES)
        call = self.calls[request_id] = PhoneCall(
            request_id, call_class, exchange, self.clock.now, patience_ms, first_epoch=self.epoch
        )
        call.give_up_timer = self.clock.call_at(self.clock.now + patience_ms, lambda: self.give_up(call))
        self._send_request(call)
        return call

    def give_up(self, call: PhoneCall) -> None:
        """Cancels a call that is not answered; also called when the patience of the caller ends."""
        if call.answers or call.gave_up:
            return
        call.gave_up = True
        self._send_until_acked({Field.OP: Op.CANCEL, Field.REQUEST: call.request}, 6)

    def hang_up(self, call: PhoneCall) -> None:
        """Releases a standing call."""
        self._send_until_acked(
            {
                Field.OP: Op.RELEASE,
                Field.REQUEST: call.request,
                Field.CAUSE: 16,  # normal call clearing (Q.850)
                Field.FIRST_EPOCH: call.first_epoch if call.first_epoch != self.epoch else None,
            },
            8,
        )

    # ---- sending ----

    def _send_request(self, call: PhoneCall) -> None:
        call.timer = None
        if call.answers or call.gave_up:
            return
        age_ms = self.clock.now - call.requested_at
        remaining_ms = call.patience_ms - age_ms
        if self.cid:
            if call.first_epoch == NO_CID:
                call.first_epoch = self.epoch
            call.send_count += 1
            self._send_confirmable(
                {
                    Field.OP: Op.CALL,
                    Field.REQUEST: call.request,
                    Field.CLASS: call.call_class,
                    Field.EXCHANGE: call.exchange,
                    Field.CALLED: call.request.hex(),
                    Field.PATIENCE: round(call.patience_ms),
                    Field.AGE: min(round(age_ms), round(call.patience_ms)),
                    Field.FIRST_EPOCH: call.first_epoch if call.first_epoch != self.epoch else None,
                },
                lambda: self._slow_down_requests(call),
            )
        if self.retransmit or not self.cid:
            wait_ms = self.rtt.timeout_ms(remaining_ms) * 2.0 ** min(call.send_count, 3) / 2.0
            call.timer = self.clock.call_at(
                self.clock.now + max(wait_ms, 40.0), lambda: self._send_request(call)
            )

    def _slow_down_requests(self, call: PhoneCall) -> None:
        """Retransmits an acknowledged request only after 600 ms, since the edge retransmits its answer."""
        if call.timer is not None:
            call.timer.cancel()
            call.timer = self.clock.call_at(self.clock.now + 600.0, lambda: self._send_request(call))

    def _send_until_acked(self, body: dict[Field, Any], max_attempts: int) -> None:
        acknowledged = [False]

        def send_again(attempts_left: int) -> None:
            if acknowledged[0] or not attempts_left:
                return
            self._send_confirmable(body, lambda: acknowledged.__setitem__(0, True))
            if self.retransmit:
                self.clock.call_at(
                    self.clock.now + self.rtt.timeout_ms() * 1.5, lambda: send_again(attempts_left - 1)
                )

        send_again(max_attempts)

    def _send_confirmable(self, body: dict[Field, Any], on_ack: Callable[[], None] | None = None) -> None:
        number = self._send_datagram(Kind.CON, body)
        self.unacked[number] = (self.clock.now, on_ack)
        if len(self.unacked) > 64:
            del self.unacked[next(iter(self.unacked))]

    def _send_datagram(self, kind: Kind, body: dict[Field, Any]) -> int:
        self.datagram_count += 1
        covered = encode(kind, self.cid, self.datagram_count, body)
        self.send(covered + compute_proof(self.session_key, FROM_DEVICE, covered))
        return self.datagram_count

    # ---- receiving ----

    def receive(self, data: bytes) -> None:
        """Processes a datagram from the edge; adds the reason to `ignored_reasons` if it is not valid."""
        try:
            datagram = decode(data)
        except ProtocolError as error:
            self.ignored_reasons.append(str(error))
            return
        if datagram.kind is Kind.CHALLENGE:
            if datagram.proof == bytes(PROOF_BYTES) and (
                datagram.get(Field.EPOCH),
                datagram.get(Field.COOKIE),
            ) != (
                self.epoch,
                self.cookie,
            ):
                self.epoch = datagram.get(Field.EPOCH)
                self.cookie = datagram.get(Field.COOKIE)
                self.hello_attempt_count = 0
                self.attach()
            return
        if datagram.kind is Kind.WELCOME:
            if (
                verify_proof(self.key, FROM_EDGE, datagram.covered, datagram.proof)
                and datagram.get(Field.EPOCH) == self.epoch
                and datagram.get(Field.CID) != self.cid
            ):
                self._on_welcome(datagram)
            return
        if (
            not self.cid
            or datagram.cid != self.cid
            or not verify_proof(self.session_key, FROM_EDGE, datagram.covered, datagram.proof)
        ):
            self.ignored_reasons.append("not of this session")
        elif not self.replay_window.accept(datagram.number):
            self.ignored_reasons.append("a replayed datagram")
        else:
            self._process(datagram)

    def _on_welcome(self, datagram: Datagram) -> None:
        if self.hello_timer is not None:
            self.hello_timer.cancel()
            self.hello_timer = None
        self.cid = datagram.get(Field.CID)
        self.session_key = derive_session_key(self.key, self.epoch, self.cid)
        self.replay_window = ReplayWindow()
        self.datagram_count = 0
        self.hello_attempt_count = 0
        self.unacked.clear()
        for call in self.calls.values():
            if not call.answers and not call.gave_up:
                if call.timer is not None:
                    call.timer.cancel()
                self._send_request(call)

    def _process(self, datagram: Datagram) -> None:
        if datagram.kind is Kind.PATH:
            self._send_datagram(Kind.PATH_BACK, {Field.PROBE: datagram.get(Field.PROBE)})
        elif datagram.kind is Kind.ACK:
            sent_at, on_ack = self.unacked.pop(datagram.get(Field.NUMBER), (None, None))
            if sent_at is not None:
                self.rtt.add_sample(self.clock.now - sent_at)
            if on_ack is not None:
                on_ack()
        elif datagram.kind is Kind.CON:
            self._send_datagram(Kind.ACK, {Field.NUMBER: datagram.number})
        if datagram.op is Op.ANSWER:
            self._on_answer(datagram)
        elif datagram.op is Op.RELEASE:
            call = self.calls.get(datagram.get(Field.REQUEST))
            if call is not None:
                call.released.append(self.clock.now)
        elif datagram.op is Op.AWAY:
            self.away_notices.append((datagram.get(Field.AWAY), datagram.get(Field.ELSEWHERE) or ""))

    def _on_answer(self, datagram: Datagram) -> None:
        call = self.calls.get(datagram.get(Field.REQUEST))
        outcome = END_OUTCOMES[datagram.get(Field.END)]
        if call is None:
            return
        if call.gave_up or (call.answers and call.answers[0][1] != "stands"):
            if outcome == "stands":  # the phone has finished the call, so the standing call is released
                self.hang_up(call)
            return
        if not call.answers:
            call.answers.append((self.clock.now, outcome))
            for timer in (call.timer, call.give_up_timer):
                if timer is not None:
                    timer.cancel()
        elif call.answers[0][1] != outcome:
            call.answers.append((self.clock.now, outcome))  # World.faults reports a second, different answer

"""The edge's side of the counter protocol: authentication, paths and acknowledgements.

The edge is the session controller as its devices see it.  docs/device-protocol.md defines the datagrams.  An
unauthenticated peer gets at most a challenge, within rate limits and no longer than its own datagram;
authenticated requests go to the request manager.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from ospreyvale.devices.index import FinalAnswer
from ospreyvale.devices.keys import (
    FROM_DEVICE,
    FROM_EDGE,
    Keys,
    compute_proof,
    derive_session_key,
    hmac_sha256,
    verify_proof,
)
from ospreyvale.devices.limits import CountMinSketch, Limits, TokenBucket
from ospreyvale.devices.request_manager import CallRequest, OutboxMessage, RequestManager
from ospreyvale.devices.sessions import Address, Path, Session, Sessions
from ospreyvale.devices.window import ReplayWindow
from ospreyvale.protocol.device import (
    ID_BYTES,
    PROOF_BYTES,
    Datagram,
    Field,
    Kind,
    Op,
    decode,
    encode,
    read_cid,
)
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.routing.state import Clock

COUNTER_UDP = "counter"
COOKIE_INTERVAL_MS = 30_000.0  # a cookie is valid for one to two of these intervals
NO_CID = bytes(ID_BYTES)
RandomBytes = Callable[[int], bytes]


class AddressValidator:
    """Issues and checks address cookies, and limits challenges and new sessions.

    One instance serves all transports.
    """

    def __init__(self, now: float, limits: Limits, random_bytes: RandomBytes, counters: Counter[str]) -> None:
        self.limits = limits
        self.counters = counters
        self.secret = random_bytes(32)
        self.sketch = CountMinSketch(random_bytes(8))
        self.challenge_bucket = TokenBucket(now, limits.challenges)
        self.session_bucket = TokenBucket(now, limits.sessions)

    def cookie(self, now: float, address: Address, intervals_ago: int = 0) -> bytes:
        """Returns the cookie for an address, as issued `intervals_ago` intervals ago.

        A peer that returns it receives at that address.
        """
        return hmac_sha256(
            self.secret, f"{address[0]} {address[1]} {int(now / COOKIE_INTERVAL_MS) - intervals_ago}".encode()
        )[:ID_BYTES]

    def is_valid_cookie(self, now: float, address: Address, cookie: bytes) -> bool:
        """Returns whether the cookie was issued to the address in the current or the previous interval."""
        return any(cookie == self.cookie(now, address, intervals_ago) for intervals_ago in (0, 1))

    def may_challenge(self, now: float, address: Address) -> bool:
        """Counts a challenge to the address; returns whether the limits per address and in total allow it."""
        if self.sketch.add(now, address[0].encode()) > self.limits.challenges_address:
            self.counters["device_address_limited"] += 1
            return False
        if not self.challenge_bucket.consume(now, self.limits.challenges):
            self.counters["device_challenges_limited"] += 1
            return False
        self.counters["device_challenges"] += 1
        return True

    def may_open_session(self, now: float) -> bool:
        """Counts a new session; returns whether the limit allows it."""
        if self.session_bucket.consume(now, self.limits.sessions):
            return True
        self.counters["device_sessions_limited"] += 1
        return False


class CounterTransport:
    """Transport of the counter protocol: receives datagrams and sends the request manager's messages.

    `max_patience_ms` holds the longest permitted patience of each call class.
    """

    def __init__(
        self,
        clock: Clock,
        request_manager: RequestManager,
        sessions: Sessions,
        keys: Keys,
        class_names: tuple[str, ...],
        max_patience_ms: tuple[float, ...],
        address_validator: AddressValidator,
        random_bytes: RandomBytes,
        counters: Counter[str],
        send: Callable[[Address, bytes], None],
    ) -> None:
        self.clock = clock
        self.request_manager = request_manager
        self.sessions = sessions
        self.keys = keys
        self.class_index_by_name = {name: class_index for class_index, name in enumerate(class_names)}
        self.max_patience_ms = max_patience_ms
        self.address_validator = address_validator
        self.random_bytes = random_bytes
        self.counters = counters
        self.send = send
        request_manager.transports[COUNTER_UDP] = self

    # ---- incoming datagrams ----

    def receive(self, address: Address, data: bytes) -> None:
        """Handles one datagram.

        One that is malformed, without a valid proof, or repeated is dropped and counted.
        """
        session = self.sessions.by_cid.get(read_cid(data)) if len(data) >= PROOF_BYTES else None
        try:
            datagram = decode(data)
        except ProtocolError:
            self.counters["device_malformed"] += 1
            return
        if datagram.kind is Kind.HELLO:
            self._on_hello(address, datagram, len(data))
        elif session is None:
            if datagram.kind in (Kind.CON, Kind.ACK, Kind.PATH_BACK):
                self.counters["device_sessions_unknown"] += 1
                self._send_challenge(address, len(data))
        elif not verify_proof(session.key, FROM_DEVICE, datagram.covered, datagram.proof):
            self.counters["device_unproved"] += 1
        elif not session.replay_window.accept(datagram.number):
            self.counters["device_repeated"] += 1
        else:
            self._on_datagram(session, address, datagram, len(data))

    def _on_hello(self, address: Address, hello: Datagram, size: int) -> None:
        """Attaches a device with a valid proof under a new connection id.

        Challenges it if its cookie is not valid.
        """
        now = self.clock.now
        device = hello.get(Field.DEVICE)
        if hello.get(Field.EPOCH) != self.request_manager.epoch or not self.address_validator.is_valid_cookie(
            now, address, hello.get(Field.COOKIE)
        ):
            self._send_challenge(address, size)
            return
        key = self.keys.find(device, hello.get(Field.KEY))
        if key is None or not verify_proof(key, FROM_DEVICE, hello.covered, hello.proof):
            self.counters["device_unproved"] += 1
            return
        existing = self.sessions.by_device.get(device)
        if existing is not None and hello.get(Field.COUNT) <= existing.hello_count:
            self.counters["device_repeated"] += 1
            return
        if existing is None and not self.address_validator.may_open_session(now):
            return
        session = self.sessions.get_or_create(device, now)
        if session is None:
            self.counters["device_sessions_full"] += 1
            return
        session.hello_count = hello.get(Field.COUNT)
        session.key_id = hello.get(Field.KEY)
        self.sessions.bind_cid(session, self.random_bytes(ID_BYTES))
        session.key = derive_session_key(key, self.request_manager.epoch, session.cid)
        session.replay_window = ReplayWindow()
        session.last_sent_number = 0
        for message in session.outbox.values():
            message.transmissions.clear()  # their numbers belong to the previous connection id
        path, _ = session.record_receipt(COUNTER_UDP, address, now, size, validated=True)
        path.validated = True
        self.sessions.touch(session, now)
        self.counters["device_attached"] += 1
        body = encode(
            Kind.WELCOME,
            session.cid,
            0,
            {
                Field.EPOCH: self.request_manager.epoch,
                Field.CID: session.cid,
                Field.IDLE: round(self.sessions.idle_ms),
            },
        )
        self.send(address, body + compute_proof(key, FROM_EDGE, body))
        self.request_manager.on_path_validated(session)

    def _send_challenge(self, address: Address, size: int) -> None:
        now = self.clock.now
        body = encode(
            Kind.CHALLENGE,
            NO_CID,
            0,
            {
                Field.EPOCH: self.request_manager.epoch,
                Field.COOKIE: self.address_validator.cookie(now, address),
            },
        )
        if len(body) + PROOF_BYTES > size:
            self.counters["device_challenges_too_long"] += 1
        elif self.address_validator.may_challenge(now, address):
            self.send(address, body + bytes(PROOF_BYTES))

    def _on_datagram(self, session: Session, address: Address, datagram: Datagram, size: int) -> None:
        """Handles a datagram whose proof and number are valid, and validates its path if that is new."""
        now = self.clock.now
        path, is_new = session.record_receipt(COUNTER_UDP, address, now, size, validated=False)
        self.counters["device_paths_new"] += is_new
        self.sessions.touch(session, now)
        within_byte_limit = self.request_manager.charge_bytes(session, size)
        if datagram.kind is Kind.PATH_BACK:
            if path.probe and datagram.get(Field.PROBE) == path.probe:
                path.validated = True
                path.probe = b""
                self.counters["device_paths_proved"] += 1
                self.request_manager.on_path_validated(session)
        elif datagram.kind is Kind.ACK:
            self.request_manager.on_ack_number(session, datagram.get(Field.NUMBER), path)
        elif datagram.kind is Kind.CON:
            self._on_operation(session, path, datagram, within_byte_limit)
        if not path.validated and not path.probe:
            path.probe = self.random_bytes(ID_BYTES)
        if not path.validated:
            self._send_datagram(session, path, Kind.PATH, {Field.PROBE: path.probe})
        session.drop_stale_paths(now)

    def _on_operation(
        self, session: Session, path: Path, datagram: Datagram, within_byte_limit: bool
    ) -> None:
        """Performs one operation and acknowledges it, whatever its result, with the answer if there is one.

        PING needs nothing but the acknowledgement.  Operations that only the edge sends are dropped and
        counted.
        """
        request_id = datagram.get(Field.REQUEST)
        answer = None
        match datagram.op:
            case Op.CALL:
                call_request = self._parse_call(datagram)
                answer = (
                    FinalAnswer(b"", 3)
                    if call_request is None
                    else self.request_manager.submit(session, path, call_request, within_byte_limit)
                )
                if call_request is None:
                    self.counters["device_calls_malformed"] += 1
            case Op.CANCEL:
                answer = self.request_manager.cancel(session, request_id)
            case Op.RELEASE:
                self.request_manager.hang_up(session, request_id, datagram.get(Field.FIRST_EPOCH) or b"")
            case Op.ANSWER | Op.AWAY:
                self.counters["device_malformed"] += 1
                return
        body: dict[Field, Any] = {Field.NUMBER: datagram.number}
        if answer is not None:
            body |= _answer_fields(request_id, answer)
        self._send_datagram(session, path, Kind.ACK, body)

    def _parse_call(self, datagram: Datagram) -> CallRequest | None:
        """Parses the request in a CALL; None if a field is out of bounds."""
        class_name = datagram.get(Field.CLASS)
        patience_ms = datagram.get(Field.PATIENCE)
        age_ms = datagram.get(Field.AGE)
        class_index = self.class_index_by_name.get(class_name)
        if (
            class_index is None
            or not 0 < patience_ms <= self.max_patience_ms[class_index]
            or age_ms > patience_ms
        ):
            return None
        called = datagram.get(Field.CALLED)
        try:
            number = int(called, 16)
        except ValueError:
            return None
        if not 0 <= number < 1 << 64:
            return None
        width = datagram.get(Field.WIDTH)
        return CallRequest(
            datagram.get(Field.REQUEST),
            class_index,
            class_name,
            datagram.get(Field.EXCHANGE),
            number,
            called,
            float(patience_ms),
            float(age_ms),
            1 if width is None else width,
            datagram.get(Field.DESCRIPTION) or b"",
            datagram.get(Field.FIRST_EPOCH) or b"",
        )

    # ---- outgoing datagrams ----

    def _send_datagram(self, session: Session, path: Path, kind: Kind, body: dict[Field, Any]) -> None:
        data, _ = self._encode_signed(session, kind, body)
        if path.can_send(len(data)):
            path.bytes_sent += len(data)
            self.send(path.address, data)
        else:
            self.counters["device_amplification_kept"] += 1

    def _encode_signed(self, session: Session, kind: Kind, body: dict[Field, Any]) -> tuple[bytes, int]:
        session.last_sent_number += 1
        covered = encode(kind, session.cid, session.last_sent_number, body)
        return covered + compute_proof(session.key, FROM_EDGE, covered), session.last_sent_number

    def can_send(self, session: Session, path: Path, message: OutboxMessage) -> bool:
        """Returns whether the device has attached by HELLO.

        HELLO gives the session its connection id and key.
        """
        return bool(session.cid)

    def on_request_ended(self, session: Session, request_id: bytes, answer: FinalAnswer) -> None:
        """Does nothing: this transport keeps no requests open."""

    def prepare_message(self, session: Session, path: Path, message: OutboxMessage) -> tuple[bytes, int]:
        """Returns the signed CON datagram of the message and its number."""
        body: dict[Field, Any] = {
            Field.OP: Op.RELEASE,
            Field.REQUEST: message.request_id,
            Field.CAUSE: message.cause,
        }
        return self._encode_signed(
            session,
            Kind.CON,
            body if message.answer is None else _answer_fields(message.request_id, message.answer),
        )

    def transmit(self, path: Path, data: bytes) -> None:
        """Sends the datagram of `prepare_message`."""
        self.send(path.address, data)

    def send_redirection(self, session: Session, after_ms: float, elsewhere: str) -> None:
        """Sends AWAY on every path of this transport.

        The device reconnects after `after_ms`, to `elsewhere` if that is not empty.  It is not retransmitted,
        as the device's requests are refused later anyway.
        """
        for path in session.paths:
            if path.transport == COUNTER_UDP:
                self._send_datagram(
                    session,
                    path,
                    Kind.CON,
                    {Field.OP: Op.AWAY, Field.AWAY: round(after_ms), Field.ELSEWHERE: elsewhere or None},
                )


def _answer_fields(request_id: bytes, answer: FinalAnswer) -> dict[Field, Any]:
    return {
        Field.OP: Op.ANSWER,
        Field.REQUEST: request_id,
        Field.END: answer.result,
        Field.AWAY: answer.back_off_ms or None,
        Field.DESCRIPTION: answer.description or None,
    }

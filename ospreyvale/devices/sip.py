"""SIP for devices over datagrams and streams: flows, proofs and transactions.

A device registers a flow (RFC 5626: its instance and a reg-id) and keeps it alive.  Each request carries a
proof over its significant parts, the edge's epoch and a count that is never reused; authenticated requests go
to the request manager.  Responses go to the address that the request came from (RFC 3581).  A request's
Call-ID is its request id, the same on every transport.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ospreyvale.devices.counter import AddressValidator
from ospreyvale.devices.index import FinalAnswer
from ospreyvale.devices.keys import FROM_DEVICE, FROM_EDGE, Keys, compute_proof, verify_proof
from ospreyvale.devices.request_manager import (
    CONFLICT,
    FAILED,
    GIVEN_UP,
    REFUSED,
    STANDS,
    CallRequest,
    OutboxMessage,
    RequestManager,
)
from ospreyvale.devices.sessions import Address, Path, Session, Sessions
from ospreyvale.protocol import sip
from ospreyvale.protocol.device import MAX_DESCRIPTION_BYTES
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.sip_datagram import (
    MAGIC_COOKIE,
    parse_datagram,
    parse_via,
    with_source_address,
    with_to_tag,
)
from ospreyvale.protocol.transactions import (
    InviteServerTransaction,
    NonInviteClientTransaction,
    NonInviteServerTransaction,
    State,
)
from ospreyvale.routing.state import Clock

SIP_UDP = "sip-udp"
SIP_TCP = "sip-tcp"
# RFC 5626, 4.4.1; also used on datagrams, as STUN is not supported.
KEEP_ALIVE = b"\r\n\r\n"
PONG = b"\r\n"
# Of server transactions; a request beyond it is dropped, and its device retransmits it.
MAX_TRANSACTIONS = 20_000
FLOW_TIMER_S = 120  # keep-alive interval requested from devices in Flow-Timer (RFC 5626)
# Headers that the proof of a device's request covers, in this order.
PROOF_HEADERS = (
    "call-id",
    "cseq",
    "priority-class",
    "expires-ms",
    "p-age-ms",
    "p-trunk-info",
    "p-first-epoch",
    "contact",
    "reason",
)
STATUS_BY_RESULT = {STANDS: 200, REFUSED: 503, FAILED: 504, GIVEN_UP: 487, CONFLICT: 409}
_PROOF_HEADER = re.compile(
    r"([A-Za-z0-9._:@-]{1,64});key=([0-9]{1,3});epoch=([0-9a-f]{16});cookie=([0-9a-f]{16});"
    r"count=([0-9]{1,10});proof=([0-9a-f]{32})\Z"
)
_REG_ID = re.compile(r";\s*reg-id\s*=\s*([1-9][0-9]{0,8})")
Send = Callable[[Address, bytes], None]


@dataclass(frozen=True, slots=True)
class DeviceProof:
    """The contents of a `P-Device` header."""

    device: str
    key_id: int
    epoch: bytes
    cookie: bytes
    count: int
    proof: bytes

    def header(self) -> str:
        """Returns the value of the `P-Device` header."""
        return (
            f"{self.device};key={self.key_id};epoch={self.epoch.hex()};cookie={self.cookie.hex()};"
            f"count={self.count};proof={self.proof.hex()}"
        )


def parse_device_proof(message: sip.Message) -> DeviceProof | None:
    """Parses the `P-Device` header of a request; None if it is missing or malformed."""
    match = _PROOF_HEADER.match(message.header("p-device"))
    if match is None:
        return None
    device, key_id, epoch, cookie, count, proof_text = match.groups()
    return DeviceProof(
        device,
        int(key_id),
        bytes.fromhex(epoch),
        bytes.fromhex(cookie),
        int(count),
        bytes.fromhex(proof_text),
    )


def request_proof_input(message: sip.Message, device_proof: DeviceProof) -> bytes:
    """Returns the bytes that the proof of a device's request covers."""
    head = [
        message.method,
        message.uri,
        *(message.header(name) for name in PROOF_HEADERS),
        device_proof.device,
        str(device_proof.key_id),
        device_proof.epoch.hex(),
        device_proof.cookie.hex(),
        str(device_proof.count),
    ]
    return "\n".join(head).encode() + b"\n\n" + message.body


def edge_proof_input(status_or_method: str, message: sip.Message) -> bytes:
    """Returns the bytes that the proof of a message from the edge covers.

    They begin with the status or method.
    """
    head = [status_or_method, *(message.header(name) for name in ("call-id", "cseq", "p-back-off", "reason"))]
    return "\n".join(head).encode() + b"\n\n" + message.body


@dataclass(slots=True)
class _InviteState:
    """A received INVITE with its transaction, path and session."""

    message: sip.Message
    transaction: InviteServerTransaction
    path: Path
    session: Session


@dataclass
class SipTransport:
    """Transport for SIP over datagrams (`SIP_UDP`) or streams (`SIP_TCP`), which `name` tells.

    `max_patience_ms` holds the longest permitted patience of each call class.
    """

    name: str
    clock: Clock
    request_manager: RequestManager
    sessions: Sessions
    keys: Keys
    class_names: tuple[str, ...]
    max_patience_ms: tuple[float, ...]
    address_validator: AddressValidator
    random_bytes: Callable[[int], bytes]
    counters: Counter[str]
    send: Send
    # By branch and sent-by.
    invites: dict[tuple[str, str], _InviteState] = field(default_factory=dict)
    # By branch, sent-by and method.
    non_invites: dict[tuple[str, str, str], NonInviteServerTransaction] = field(default_factory=dict)
    # By branch, with the session and request id.
    byes: dict[str, tuple[NonInviteClientTransaction, Session, bytes]] = field(default_factory=dict)
    # Branch and encoded BYE, by device and request id.
    bye_by_request: dict[tuple[str, bytes], tuple[str, bytes]] = field(default_factory=dict)
    # By the device's address; at most `max_sessions` entries.
    flows: dict[Address, Session] = field(default_factory=dict)
    # By device and request id, then by the address that the INVITE came from.
    invites_by_request: dict[tuple[str, bytes], dict[Address, _InviteState]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.request_manager.transports[self.name] = self
        self.class_index_by_name = {name: class_index for class_index, name in enumerate(self.class_names)}

    @property
    def reliable(self) -> bool:
        """Whether the transport is a stream, over which transactions do not retransmit."""
        return self.name == SIP_TCP

    # ---- incoming messages ----

    def receive(self, address: Address, data: bytes) -> None:
        """Handles one datagram, or one message of a stream."""
        if data in (KEEP_ALIVE, PONG):
            if data == KEEP_ALIVE and self._is_known_flow(address):
                self.send(address, PONG)
            return
        try:
            self.receive_message(address, parse_datagram(data), len(data))
        except ProtocolError:
            self.counters["device_malformed"] += 1

    def receive_message(self, address: Address, message: sip.Message, size: int) -> None:
        """Handles one message; raises ProtocolError if it is malformed."""
        via = parse_via(message)
        if message.status:
            self._on_response(message, via.branch)
            return
        method = "INVITE" if message.method == "ACK" else message.method
        invite = self.invites.get((via.branch, via.sent_by)) if method == "INVITE" else None
        non_invite = self.non_invites.get((via.branch, via.sent_by, method))
        if message.method == "ACK":
            self._on_ack(message, address, size)
        elif invite is not None:
            invite.transaction.on_retransmission()
        elif non_invite is not None:
            non_invite.on_retransmission()
        elif len(self.invites) + len(self.non_invites) >= MAX_TRANSACTIONS:
            self.counters["device_transactions_full"] += 1
        else:
            self._on_request(address, with_source_address(message, *address), (via.branch, via.sent_by), size)

    def _on_request(
        self, address: Address, message: sip.Message, via_key: tuple[str, str], size: int
    ) -> None:
        """Handles a request without a transaction.

        Begins one if its proof is valid, or challenges its sender.  `via_key` is the branch and sent-by of
        its topmost Via.
        """
        now = self.clock.now
        device_proof = parse_device_proof(message)
        if (
            device_proof is None
            or device_proof.epoch != self.request_manager.epoch
            or not self.address_validator.is_valid_cookie(now, address, device_proof.cookie)
        ):
            self._send_challenge(address, message, size)
            return
        if not self._is_proof_valid(message, device_proof):
            self.counters["device_unproved"] += 1
            return
        existing = self.sessions.by_device.get(device_proof.device)
        if existing is None and not self.address_validator.may_open_session(now):
            return
        session = self.sessions.get_or_create(device_proof.device, now)
        if session is None:
            self.counters["device_sessions_full"] += 1
            return
        if not session.sip_replay_window.accept(device_proof.count):
            self.counters["device_repeated"] += 1
            return
        session.key_id = device_proof.key_id
        # The cookie proves that the device receives at this address.
        path, is_new = session.record_receipt(self.name, address, now, size, validated=True)
        if is_new:
            self.counters["device_paths_new"] += 1
            self.flows[address] = session
            if len(self.flows) > self.sessions.max_sessions:
                del self.flows[next(iter(self.flows))]
        self.sessions.touch(session, now)
        within_byte_limit = self.request_manager.charge_bytes(session, size)
        match message.method:
            case "INVITE":
                self._on_invite(session, path, message, via_key, within_byte_limit)
            case "CANCEL":
                self._on_cancel(session, path, message, via_key)
            case "BYE":
                released = self.request_manager.hang_up(
                    session, self._request_id(message), self._first_epoch(message)
                )
                self._answer_non_invite(session, path, message, via_key, 200 if released else 481)
            case "REGISTER":
                self._register_flow(session, path, message.header("contact"))
                self._answer_non_invite(session, path, message, via_key, 200)
                self.request_manager.on_path_validated(session)
            case "OPTIONS":
                self._answer_non_invite(
                    session,
                    path,
                    message,
                    via_key,
                    503 if self.request_manager.redirection is not None else 200,
                )
            case _:
                self._answer_non_invite(session, path, message, via_key, 501)

    def _register_flow(self, session: Session, path: Path, contact: str) -> None:
        """Registers a flow; it replaces the instance's earlier flow with the same reg-id (RFC 5626, 6)."""
        match = _REG_ID.search(contact)
        if match is None or "+sip.instance" not in contact:
            return
        path.reg_id = int(match[1])
        for other in list(session.paths):
            if other is not path and (other.transport, other.reg_id) == (path.transport, path.reg_id):
                session.paths.remove(other)
                self.flows.pop(other.address, None)
                self.counters["device_flows_replaced"] += 1

    def _send_challenge(self, address: Address, message: sip.Message, size: int) -> None:
        """Sends a stateless 401 with the epoch and a cookie, at most three times as long as the request."""
        cookie = self.address_validator.cookie(self.clock.now, address)
        self.counters["device_sessions_unknown"] += message.method != "REGISTER"
        headers = [(name, value) for name in sip.COPIED_HEADERS for value in message.headers.get(name, [])]
        data = sip.encode(
            "SIP/2.0 401 Unauthorized",
            [*headers, ("p-edge", f"epoch={self.request_manager.epoch.hex()};cookie={cookie.hex()}")],
        )
        if len(data) > 3 * size:
            self.counters["device_challenges_too_long"] += 1
        elif self.address_validator.may_challenge(self.clock.now, address):
            self.send(address, data)

    def _on_invite(
        self,
        session: Session,
        path: Path,
        message: sip.Message,
        via_key: tuple[str, str],
        within_byte_limit: bool,
    ) -> None:
        request_id = self._request_id(message)
        request_key = (session.device, self._request_id(message))
        invite = _InviteState(
            with_to_tag(message, self.random_bytes(4).hex()),
            InviteServerTransaction(
                self.clock,
                lambda data: self._send_on_path(path, data),
                lambda: self._remove_invite(via_key, request_key, path.address),
                lambda: None,
                self.reliable,
                retransmits_final=False,
            ),
            path,
            session,
        )
        self.invites[via_key] = invite
        self.invites_by_request.setdefault(request_key, {})[path.address] = invite
        invite.transaction.respond(100, sip.encode_response(message, 100))
        call_request = self._parse_call(request_id, message)
        answer = (
            FinalAnswer(b"", FAILED)
            if call_request is None
            else self.request_manager.submit(session, path, call_request, within_byte_limit)
        )
        if call_request is None:
            self.counters["device_calls_malformed"] += 1
        if answer is not None:
            self._send_final_answer(invite, answer)

    def _on_cancel(
        self, session: Session, path: Path, message: sip.Message, via_key: tuple[str, str]
    ) -> None:
        """Answers the CANCEL with 200, and its INVITE with 487 or its final answer (RFC 3261, 9.2)."""
        request_id = self._request_id(message)
        answer = self.request_manager.cancel(session, request_id)
        self._answer_non_invite(session, path, message, via_key, 200)
        invite = self.invites.get(via_key)
        if invite is not None:
            self._send_final_answer(invite, answer or FinalAnswer(b"", GIVEN_UP))

    def _on_ack(self, message: sip.Message, address: Address, size: int) -> None:
        """Handles an ACK.

        It needs a proof, so that only the device can stop the retransmission of its answer.
        """
        device_proof = parse_device_proof(message)
        invite = (
            self._find_invite(device_proof.device, self._request_id(message), address)
            if device_proof is not None
            else None
        )
        if (
            device_proof is None
            or invite is None
            or not self._is_proof_valid(message, device_proof)
            or not invite.session.sip_replay_window.accept(device_proof.count)
        ):
            self.counters["device_unproved"] += 1
            return
        invite.path.on_received(self.clock.now, size)
        if invite.transaction.on_ack():
            self.request_manager.on_ack_request(invite.session, self._request_id(message), True)

    def _on_response(self, message: sip.Message, branch: str) -> None:
        bye = self.byes.get(branch)
        if bye is not None and bye[0].on_response(message.status) and message.status >= 200:
            _, session, request_id = bye
            self.request_manager.on_ack_request(session, request_id, False)

    def _answer_non_invite(
        self, session: Session, path: Path, message: sip.Message, via_key: tuple[str, str], status: int
    ) -> None:
        transaction_key = (*via_key, message.method)
        transaction = NonInviteServerTransaction(
            self.clock,
            lambda data: self._send_on_path(path, data),
            lambda: self._remove_non_invite(transaction_key),
            self.reliable,
        )
        self.non_invites[transaction_key] = transaction
        extra_headers = (
            [("contact", message.header("contact")), ("flow-timer", str(FLOW_TIMER_S))]
            if message.method == "REGISTER" and status == 200
            else []
        )
        transaction.respond(
            status, self._encode_response(session, message, status, extra_headers=extra_headers)
        )

    # ---- outgoing messages ----

    def can_send(self, session: Session, path: Path, outbox_message: OutboxMessage) -> bool:
        """Returns whether the path can carry the message: an answer only where its INVITE came from."""
        return (
            outbox_message.answer is None
            or self._find_invite(session.device, outbox_message.request_id, path.address) is not None
        )

    def prepare_message(
        self, session: Session, path: Path, outbox_message: OutboxMessage
    ) -> tuple[bytes, int]:
        """Returns the final response to the INVITE, or a BYE, together with 0.

        0 means that the ACK or the response names the request.
        """
        if outbox_message.answer is not None:
            invite = self.invites_by_request[(session.device, outbox_message.request_id)][path.address]
            return self._encode_final(invite, outbox_message.answer), 0
        existing = self.bye_by_request.get((session.device, outbox_message.request_id))
        if existing is not None:  # a retransmission belongs to the same transaction
            return existing[1], 0
        branch = MAGIC_COOKIE + self.random_bytes(8).hex()
        call_id = outbox_message.request_id.hex()
        bye = sip.Message(
            "BYE",
            f"sip:{call_id}@net",
            headers={
                "via": [f"SIP/2.0/{'TCP' if self.reliable else 'UDP'} edge;branch={branch};rport"],
                "call-id": [call_id],
                "cseq": ["1 BYE"],
                "reason": [f"Q.850;cause={outbox_message.cause}"],
            },
        )
        data = self._encode_signed(session, f"BYE sip:{call_id}@net SIP/2.0", "BYE", bye)
        # The outbox retransmits the BYE in place of timer E; the transaction absorbs responses until timer F.
        self.byes[branch] = (
            NonInviteClientTransaction(
                self.clock,
                lambda _: None,
                lambda: self._remove_bye(branch),
                data,
                lambda: None,
                reliable=True,
            ),
            session,
            outbox_message.request_id,
        )
        self.bye_by_request[(session.device, outbox_message.request_id)] = branch, data
        return data, 0

    def on_request_ended(self, session: Session, request_id: bytes, answer: FinalAnswer) -> None:
        """Sends the final answer to the request's INVITEs that have none.

        Their transactions retransmit it.
        """
        for invite in list(self.invites_by_request.get((session.device, request_id), {}).values()):
            if invite.transaction.state is State.PROCEEDING:
                self._send_final_answer(invite, answer)

    def transmit(self, path: Path, data: bytes) -> None:
        """Sends the message of `prepare_message`."""
        self.send(path.address, data)

    def _send_final_answer(self, invite: _InviteState, answer: FinalAnswer) -> None:
        """Sends a final answer outside the outbox, so that the transaction has to retransmit it."""
        invite.transaction.retransmits_final = True
        self._send_on_path(invite.path, self._encode_final(invite, answer))

    def _encode_final(self, invite: _InviteState, answer: FinalAnswer) -> bytes:
        status = STATUS_BY_RESULT[answer.result]
        data = self._encode_response(
            invite.session, invite.message, status, answer.description, answer.back_off_ms
        )
        invite.transaction.record_response(status, data)
        return data

    def _encode_response(
        self,
        session: Session,
        request: sip.Message,
        status: int,
        body: bytes = b"",
        back_off_ms: float = 0.0,
        extra_headers: list[tuple[str, str]] | None = None,
    ) -> bytes:
        headers = {name: request.headers[name] for name in sip.COPIED_HEADERS if name in request.headers}
        if back_off_ms > 0.0:
            headers["p-back-off"] = [str(max(1, round(back_off_ms)))]
        headers |= {name: [value] for name, value in extra_headers or []}
        message = sip.Message(status=status, headers=headers, body=body)
        return self._encode_signed(
            session, f"SIP/2.0 {status} {sip.REASON_PHRASES[status]}", str(status), message
        )

    def _encode_signed(
        self, session: Session, start_line: str, status_or_method: str, message: sip.Message
    ) -> bytes:
        """Encodes a message from the edge, adding its proof."""
        key = self.keys.find(session.device, session.key_id) or b""
        proof_hex = compute_proof(key, FROM_EDGE, edge_proof_input(status_or_method, message)).hex()
        headers = [(name, value) for name, values in message.headers.items() for value in values]
        return sip.encode(start_line, [*headers, ("p-edge", f"proof={proof_hex}")], message.body)

    def _send_on_path(self, path: Path, data: bytes) -> None:
        path.bytes_sent += len(data)
        self.send(path.address, data)

    # ---- helpers ----

    def _is_known_flow(self, address: Address) -> bool:
        """Returns whether a device has a flow from the address, and records the keep-alive.

        Other addresses get no pong.
        """
        session = self.flows.get(address)
        path = session.find_path(self.name, address) if session is not None else None
        if path is not None:
            path.on_received(self.clock.now, len(KEEP_ALIVE))
        return path is not None

    def _is_proof_valid(self, message: sip.Message, device_proof: DeviceProof) -> bool:
        key = self.keys.find(device_proof.device, device_proof.key_id)
        return (
            key is not None
            and device_proof.epoch == self.request_manager.epoch
            and verify_proof(key, FROM_DEVICE, request_proof_input(message, device_proof), device_proof.proof)
        )

    @staticmethod
    def _request_id(message: sip.Message) -> bytes:
        return message.call.to_bytes(8, "big")

    @staticmethod
    def _first_epoch(message: sip.Message) -> bytes:
        text = message.header("p-first-epoch")
        try:
            epoch = bytes.fromhex(text)
        except ValueError:
            epoch = b"?"  # of invalid length, refused below
        if len(epoch) not in (0, 8):
            raise ProtocolError("P-First-Epoch is not 16 hex digits")
        return epoch

    def _parse_call(self, request_id: bytes, message: sip.Message) -> CallRequest | None:
        """Parses the request in an INVITE; None if a field is missing or out of bounds."""
        try:
            class_name = message.header("priority-class")
            trunk_info = sip.parse_trunk_info(message)
            called = message.user
            class_index = self.class_index_by_name.get(class_name)
            patience_ms = message.number("expires-ms")
            age_ms = message.number("p-age-ms") if "p-age-ms" in message.headers else 0
            number = sip.parse_called_number(called)
            first_epoch = self._first_epoch(message)
        except ProtocolError:
            return None
        destination = trunk_info.get("dest", -1)
        width = trunk_info.get("width", 1)
        if (
            class_index is None
            or not 0 < patience_ms <= self.max_patience_ms[class_index]
            or age_ms > patience_ms
            or not 0 <= destination <= 0xFFFF
            or not 1 <= width <= 255
            or len(message.body) > MAX_DESCRIPTION_BYTES
        ):
            return None
        return CallRequest(
            request_id,
            class_index,
            class_name,
            destination,
            number,
            called,
            float(patience_ms),
            float(age_ms),
            width,
            message.body,
            first_epoch,
        )

    def _find_invite(self, device: str, request_id: bytes, address: Address) -> _InviteState | None:
        return self.invites_by_request.get((device, request_id), {}).get(address)

    def _remove_invite(
        self, via_key: tuple[str, str], request_key: tuple[str, bytes], address: Address
    ) -> None:
        invite = self.invites.pop(via_key, None)
        by_address = self.invites_by_request.get(request_key, {})
        if invite is not None and by_address.get(address) is invite:
            del by_address[address]
            if not by_address:
                del self.invites_by_request[request_key]

    def _remove_non_invite(self, transaction_key: tuple[str, str, str]) -> None:
        self.non_invites.pop(transaction_key, None)

    def _remove_bye(self, branch: str) -> None:
        bye = self.byes.pop(branch, None)
        if bye is not None:
            self.bye_by_request.pop((bye[1].device, bye[2]), None)

"""A device that uses SIP over datagrams (client side of RFC 3261), with the clock and the link passed in."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from lab.phone import PhoneCall
from ospreyvale.devices.keys import FROM_DEVICE, FROM_EDGE, compute_proof, verify_proof
from ospreyvale.devices.sip import DeviceProof, edge_proof_input, request_proof_input
from ospreyvale.protocol import sip
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.sip_datagram import MAGIC_COOKIE, parse_datagram, parse_via
from ospreyvale.protocol.transactions import InviteClientTransaction, NonInviteClientTransaction
from ospreyvale.routing.state import Clock

STATUS_OUTCOMES = {200: "stands", 503: "refused", 504: "failed", 487: "given_up", 409: "conflict"}


class SipPhone:
    """A SIP phone: registers a flow, places calls and accepts their releases.

    `t1` is the timer T1 of RFC 3261 in milliseconds.
    """

    def __init__(
        self, clock: Clock, name: str, key: bytes, seed: int, send: Callable[[bytes], None], t1: float = 200.0
    ) -> None:
        self.clock = clock
        self.name = name
        self.key = key
        self.send = send
        self.t1 = t1
        self.random_source = random.Random(seed)
        self.epoch = bytes(8)
        self.cookie = bytes(8)
        self.datagram_count = 0
        self.calls: dict[bytes, PhoneCall] = {}
        # By branch: transaction, call and headers of the INVITE.
        self.invites: dict[str, tuple[InviteClientTransaction, PhoneCall, dict[str, list[str]]]] = {}
        # By branch and method: transaction, method and a function that sends the request again.
        self.non_invites: dict[str, tuple[NonInviteClientTransaction, str, Callable[[], None]]] = {}
        self.branch_by_request: dict[bytes, str] = {}
        self.registered = False
        self.ignored_reasons: list[str] = []
        self.byes: dict[str, bytes] = {}

    # ---- the user's actions ----

    def attach(self) -> None:
        """Registers the flow (RFC 5626)."""
        self._send_non_invite(
            "REGISTER",
            self.random_source.randbytes(8),
            {"contact": [f'<sip:{self.name}@net>;+sip.instance="<urn:x:{self.name}>";reg-id=1']},
            resend=self.attach,
        )

    def call(
        self,
        call_class: str,
        exchange: int,
        patience_ms: float,
        request: bytes | None = None,
        requested_at: float | None = None,
    ) -> PhoneCall:
        """Sends INVITE for a call; the caller gives up `patience_ms` after `requested_at`."""
        request_id = request or self.random_source.randbytes(8)
        call = self.calls[request_id] = PhoneCall(
            request_id,
            call_class,
            exchange,
            requested_at or self.clock.now,
            patience_ms,
            first_epoch=self.epoch,
        )
        call.give_up_timer = self.clock.at(call.requested_at + patience_ms, lambda: self.give_up(call))
        self._send_invite(call)
        return call

    def give_up(self, call: PhoneCall) -> None:
        """Sends CANCEL with the branch of the INVITE (RFC 3261, 9.1), unless the call is answered."""
        if call.answers or call.gave_up:
            return
        call.gave_up = True
        branch = self.branch_by_request.get(call.request)
        if branch is not None:
            self._send_non_invite("CANCEL", call.request, {}, branch)

    def hang_up(self, call: PhoneCall) -> None:
        """Sends BYE for a standing call."""
        extra_headers = {} if call.first_epoch == self.epoch else {"p-first-epoch": [call.first_epoch.hex()]}
        self._send_non_invite("BYE", call.request, extra_headers)

    # ---- sending ----

    def _send_invite(self, call: PhoneCall) -> None:
        age_ms = round(self.clock.now - call.requested_at)
        if call.answers or call.gave_up or age_ms >= call.patience_ms:
            return
        headers = {
            "priority-class": [call.call_class],
            "expires-ms": [str(round(call.patience_ms))],
            "p-age-ms": [str(age_ms)],
            "p-trunk-info": [f"dest:{call.exchange};width:1;via:-1"],
        }
        if call.first_epoch not in (bytes(8), self.epoch):
            headers["p-first-epoch"] = [call.first_epoch.hex()]
        branch, data, sent_headers = self._build_request("INVITE", call.request, headers)
        call.send_count += 1
        self.branch_by_request[call.request] = branch
        transaction = InviteClientTransaction(
            self.clock,
            self.send,
            lambda: self.invites.pop(branch, None) and None,
            data,
            lambda: None,
            t1=self.t1,
        )
        self.invites[branch] = transaction, call, sent_headers

    def _send_non_invite(
        self,
        method: str,
        request: bytes,
        extra_headers: dict[str, list[str]],
        branch: str = "",
        resend: Callable[[], None] | None = None,
    ) -> None:
        branch, data, _ = self._build_request(method, request, extra_headers, branch)
        transaction = NonInviteClientTransaction(
            self.clock,
            self.send,
            lambda: self.non_invites.pop(branch + method, None) and None,
            data,
            lambda: None,
            t1=self.t1,
        )
        self.non_invites[branch + method] = (
            transaction,
            method,
            resend or (lambda: self._send_non_invite(method, request, extra_headers)),
        )

    def _build_request(
        self, method: str, request: bytes, extra_headers: dict[str, list[str]], branch: str = ""
    ) -> tuple[str, bytes, dict[str, list[str]]]:
        branch = branch or MAGIC_COOKIE + self.random_source.randbytes(6).hex()
        request_text = request.hex()
        headers: dict[str, list[str]] = {
            "via": [f"SIP/2.0/UDP {self.name}:5060;branch={branch};rport"],
            "from": [f"<sip:{self.name}@net>;tag=1"],
            "to": ["<sip:edge@net>"],
            "call-id": [request_text],
            "cseq": [f"1 {method}"],
            **extra_headers,
        }
        self.datagram_count += 1
        message = sip.Message(method, f"sip:{request_text}@net", headers=headers)
        unsigned = DeviceProof(self.name, 1, self.epoch, self.cookie, self.datagram_count, b"")
        proof = DeviceProof(
            unsigned.device,
            1,
            unsigned.epoch,
            unsigned.cookie,
            unsigned.count,
            compute_proof(self.key, FROM_DEVICE, request_proof_input(message, unsigned)),
        )
        headers["p-device"] = [proof.header()]
        return (
            branch,
            sip.encode(
                f"{method} {message.uri} SIP/2.0",
                [(name, value) for name, values in headers.items() for value in values],
            ),
            headers,
        )

    def _build_ack(self, request: bytes, branch: str = "") -> bytes:
        return self._build_request("ACK", request, {}, branch)[1]

    # ---- receiving ----

    def receive(self, data: bytes) -> None:
        """Processes a datagram from the edge; adds the reason to `ignored_reasons` if it is not valid."""
        try:
            message = parse_datagram(data)
            branch = parse_via(message).branch
        except ProtocolError as error:
            self.ignored_reasons.append(str(error))
            return
        if message.status == 100:
            self._on_provisional(branch)
        elif message.status == 401:
            self._on_challenge(message, branch)
        elif not self._has_valid_proof(message):
            self.ignored_reasons.append("not authenticated by the edge")
        elif message.status:
            self._on_response(message, branch)
        elif message.method == "BYE":
            self._on_bye(message)

    def _on_provisional(self, branch: str) -> None:
        entry = self.invites.get(branch)
        if entry is not None:
            entry[0].on_response(100, b"")

    def _has_valid_proof(self, message: sip.Message) -> bool:
        proof = message.header("p-edge").partition("proof=")[2]
        try:
            return verify_proof(
                self.key,
                FROM_EDGE,
                edge_proof_input(str(message.status) if message.status else message.method, message),
                bytes.fromhex(proof),
            )
        except ValueError:
            return False

    def _on_challenge(self, message: sip.Message, branch: str) -> None:
        """Sends the request again with the epoch and the cookie of the challenge."""
        values = dict(part.partition("=")[::2] for part in message.header("p-edge").split(";"))
        challenge = bytes.fromhex(values.get("epoch", "")), bytes.fromhex(values.get("cookie", ""))
        invite = self.invites.pop(branch, None)
        non_invite = self.non_invites.pop(branch + message.cseq_method, None)
        if challenge[0] != self.epoch:
            self.epoch = challenge[0]
            self.datagram_count = 0
            self.registered = False
        self.cookie = challenge[1]
        if invite is not None:
            invite[0].terminate()
            if invite[1].first_epoch == bytes(8):
                invite[1].first_epoch = self.epoch
            self._send_invite(invite[1])
        elif non_invite is not None:
            non_invite[0].terminate()
            non_invite[2]()

    def _on_response(self, message: sip.Message, branch: str) -> None:
        invite = self.invites.get(branch)
        if message.cseq_method == "INVITE" and invite is not None:
            transaction, call, _ = invite
            rejected = message.status >= 300
            is_first = transaction.on_response(
                message.status, self._build_ack(call.request, branch) if rejected else b""
            )
            if is_first and not rejected:
                self.send(self._build_ack(call.request))
            if is_first:
                self._on_answer(call, STATUS_OUTCOMES[message.status])
        non_invite = self.non_invites.get(branch + message.cseq_method)
        if (
            non_invite is not None
            and non_invite[0].on_response(message.status)
            and non_invite[1] == "REGISTER"
        ):
            self.registered = True

    def _on_answer(self, call: PhoneCall, outcome: str) -> None:
        if call.gave_up or (call.answers and call.answers[0][1] != "stands"):
            if outcome == "stands":
                self.hang_up(call)
        elif not call.answers:
            call.answers.append((self.clock.now, outcome))
            if call.give_up_timer is not None:
                call.give_up_timer.cancel()
        elif call.answers[0][1] != outcome:
            call.answers.append((self.clock.now, outcome))

    def _on_bye(self, message: sip.Message) -> None:
        request = bytes.fromhex(message.header("call-id"))
        call: Any = self.calls.get(request)
        if call is not None and not call.released:
            call.released.append(self.clock.now)
        self.send(sip.encode_response(message, 200))

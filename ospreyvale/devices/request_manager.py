"""Turns device requests into calls of the core, and sends answers and releases until they are acknowledged.

A request is first looked up by device and request id, whichever transport it came by.  The same request on a
second transport, from another address or repeated joins the existing call and gets the same answer.  Answers
and releases wait in the session's outbox: each is sent on the best path and retransmitted after that path's
time-out, until it is acknowledged or expires.  The clock and the transports are passed in; nothing here does
I/O or decides on a call.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ospreyvale.devices.index import FinalAnswer, RequestIndex, fingerprint
from ospreyvale.devices.limits import Limits, TokenBucket
from ospreyvale.devices.sessions import Path, Session, Sessions
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.routing.invariant import invariant
from ospreyvale.routing.state import Clock, Offer, Timer

# Results of a request, as sent in the END field of an ANSWER.
STANDS = 1
REFUSED = 2
FAILED = 3
GIVEN_UP = 4
CONFLICT = 5

RELEASE_RETENTION_MS = 8_000.0  # how long a release is retransmitted
# Size of an answer or release on the most compact transport, without its description.
MIN_MESSAGE_BYTES = 100
MAX_SEND_WINDOW = 8  # unacknowledged answers and releases on one path; halved at each time-out
MAX_OUTBOX_MESSAGES = 64  # answers and releases of one device; beyond it the oldest release is dropped
INDEX_ROTATION_MS = 60_000.0  # a final answer is kept for one to two of these periods
# Q.850 causes of a release; 31 (normal, unspecified) for other outcomes.
RELEASE_CAUSES = {interface.Outcome.OK: 16, interface.Outcome.RESET: 41}


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A device's request for a call, as a transport parsed it."""

    request: bytes  # the request id, which the device chose
    call_class: int
    class_name: str
    destination: int  # number of the exchange
    number: int  # the called number
    number_text: str  # the called number as the device wrote it
    patience_ms: float  # how long the caller waits, from when it placed the call
    age_ms: float  # time between placing the call and sending the request
    width: int  # circuits that the call takes
    description: bytes
    first_epoch: bytes = b""  # epoch of the edge in which the request was first sent; empty: the current one

    @property
    def content_digest(self) -> bytes:
        """Digest of the fields that two requests with one id must share."""
        return fingerprint(
            b"content",
            f"{self.class_name} {self.destination} {self.number_text} {self.width} " f"{self.patience_ms:g}",
            self.description,
        ).to_bytes(8, "big")


@dataclass(slots=True)
class ActiveRequest:
    """A request whose call is open or stands."""

    session: Session
    call_request: CallRequest
    index_key: int  # key in the index, and the call id toward the core
    content_digest: bytes
    deadline_at: float  # when the caller gives up, in milliseconds of the local clock
    offered: bool = False  # to the core
    answer: FinalAnswer | None = None
    timer: Timer | None = None  # of a delayed offer


@dataclass(slots=True)
class OutboxMessage:
    """An answer or release that the device has to acknowledge."""

    session: Session
    index_key: int  # of the request
    request_id: bytes
    answer: FinalAnswer | None  # None for a release
    cause: int  # Q.850 cause of a release
    expires_at: float  # retransmitted until then, in milliseconds of the clock
    worth: float  # of the call class; messages of higher worth are sent first
    send_count: int = 0
    last_path: Path | None = None
    last_sent_at: float = -math.inf
    timer: Timer | None = None  # of the next transmission; None while the message waits for a send window
    # Number, path and time of the last 16 transmissions.
    transmissions: list[tuple[int, Path, float]] = field(default_factory=list)


class Transport(Protocol):
    """Sends outbox messages on one kind of path."""

    def can_send(self, session: Session, path: Path, message: OutboxMessage) -> bool:
        """Returns whether the path can carry the message."""
        ...

    def prepare_message(self, session: Session, path: Path, message: OutboxMessage) -> tuple[bytes, int]:
        """Returns the bytes to send and the number that their acknowledgement names.

        0 means that the acknowledgement names the request.
        """
        ...

    def transmit(self, path: Path, data: bytes) -> None:
        """Sends the bytes that `prepare_message` returned."""
        ...

    def on_request_ended(self, session: Session, request_id: bytes, answer: FinalAnswer) -> None:
        """Gives the final answer to copies of the request that this transport still holds open."""
        ...


class RequestManager:
    """Handles the requests of all devices; a `CallerPort` of the core.

    `epoch` identifies this incarnation of the state: call ids are fingerprints of the epoch, device and
    request id.  `worths` holds the worth of each call class by its index.
    """

    def __init__(
        self,
        clock: Clock,
        core: Core,
        sessions: Sessions,
        epoch: bytes,
        worths: tuple[float, ...],
        release_ms: float,
        limits: Limits,
        counters: Counter[str],
        log: Log,
    ) -> None:
        self.clock = clock
        self.core = core
        self.sessions = sessions
        self.epoch = epoch
        self.worths = worths
        self.release_ms = release_ms
        self.limits = limits
        self.counters = counters
        self.log = log
        self.index: RequestIndex[ActiveRequest] = RequestIndex(INDEX_ROTATION_MS)
        self.transports: dict[str, Transport] = {}
        self.request_bucket = TokenBucket(clock.now, limits.requests)
        # Set while devices are told to reconnect: after how many ms, and to which address (empty: the same
        # one).  0 ms: new requests are refused.
        self.redirection: tuple[float, str] | None = None

    # ---- called by the transports ----

    def charge_bytes(self, session: Session, size: int) -> bool:
        """Charges received bytes to the device.

        Returns False beyond its limit, where new requests are refused.
        """
        if self._device_buckets(session)[1].consume(self.clock.now, self.limits.bytes_device, size):
            return True
        self.counters["device_bytes_limited"] += 1
        return False

    def submit(
        self, session: Session, path: Path, call_request: CallRequest, within_byte_limit: bool = True
    ) -> FinalAnswer | None:
        """Handles a request; returns its answer if there is one already, else None.

        In the latter case the outbox will deliver the answer.  `within_byte_limit` says whether its bytes
        were within the device's limit.
        """
        now = self.clock.now
        self.index.rotate(now)
        index_key = fingerprint(self.epoch, session.device, call_request.request)
        existing = self.index.find(index_key)
        if existing is not None:
            return self._on_repeated_request(existing, call_request)
        remaining_ms = call_request.patience_ms - call_request.age_ms - path.rtt.one_way_ms()
        refusal = self._check_limits(session, remaining_ms, within_byte_limit)
        if refusal is not None:
            return self._answer_without_call(index_key, call_request, refusal)
        request = ActiveRequest(
            session, call_request, index_key, call_request.content_digest, now + remaining_ms
        )
        if not self.index.add(index_key, request):
            self.counters["device_index_full"] += 1
            return FinalAnswer(call_request.content_digest, REFUSED, 1_000)
        session.open_requests += 1
        self.sessions.update_idle(session)
        self.counters["device_requests"] += 1
        if call_request.first_epoch and call_request.first_epoch != self.epoch:
            self._recover_request(request, remaining_ms)
        else:
            self._offer_to_core(request)
        return None  # even a request that the core refused at once has its answer in the outbox

    def cancel(self, session: Session, request_id: bytes) -> FinalAnswer | None:
        """Cancels a request whose caller has given up.

        Returns its answer if it has one already, else None.
        """
        index_key = fingerprint(self.epoch, session.device, request_id)
        existing = self.index.find(index_key)
        if isinstance(existing, FinalAnswer):
            return existing
        if existing is None:  # the CANCEL overtook its request, which will get this answer
            self.index.finish(index_key, FinalAnswer(b"", GIVEN_UP))
            self.counters["device_cancels_early"] += 1
            return None
        if existing.answer is not None:
            return existing.answer
        self.counters["device_cancels"] += 1
        if existing.offered:
            self.core.give_up(existing.index_key)
        final_answer = FinalAnswer(existing.content_digest, GIVEN_UP)
        self._close_request(existing, final_answer)
        self._notify_transports(session, request_id, final_answer)
        return None

    def hang_up(self, session: Session, request_id: bytes, first_epoch: bytes = b"") -> bool:
        """Releases a standing call for its device; returns False if there is none.

        A call of an earlier epoch is released wherever it may stand; the result is then always True.
        """
        if first_epoch and first_epoch != self.epoch:
            self.core.release_everywhere(fingerprint(first_epoch, session.device, request_id))
            return True
        existing = self.index.find(fingerprint(self.epoch, session.device, request_id))
        if (
            not isinstance(existing, ActiveRequest)
            or existing.answer is None
            or existing.answer.result != STANDS
        ):
            return False
        self._remove_message(session, (existing.index_key, True))
        self.core.hang_up(existing.index_key)
        self._close_request(existing, existing.answer)
        return True

    def on_ack_number(self, session: Session, number: int, path: Path) -> None:
        """Handles an acknowledgement of the transmission with that number; an unknown number is ignored."""
        for outbox_key, message in list(session.outbox.items()):
            for sent_number, sent_path, sent_at in message.transmissions:
                if sent_number == number:
                    sent_path.rtt.add_sample(self.clock.now - sent_at)
                    sent_path.send_window = min(MAX_SEND_WINDOW, sent_path.send_window + 1)
                    self.counters["device_heard"] += 1
                    self._on_acknowledged(message, outbox_key)
                    return

    def on_ack_request(self, session: Session, request_id: bytes, is_answer: bool) -> None:
        """Handles an acknowledgement that names the request and not a transmission.

        It acknowledges the request's answer or its release.
        """
        outbox_key = (fingerprint(self.epoch, session.device, request_id), is_answer)
        message = session.outbox.get(outbox_key)
        if message is not None:
            if message.last_path is not None:
                message.last_path.send_window = min(MAX_SEND_WINDOW, message.last_path.send_window + 1)
                # Karn's algorithm: after a retransmission the sample would be ambiguous.
                if message.send_count == 1:
                    message.last_path.rtt.add_sample(self.clock.now - message.last_sent_at)
            self.counters["device_heard"] += 1
            self._on_acknowledged(message, outbox_key)

    def on_path_validated(self, session: Session) -> None:
        """Sends all messages of the outbox at once, as a path has just been validated.

        Their timers are not waited for.
        """
        for message in list(session.outbox.values()):
            if message.timer is not None:
                message.timer.cancel()
                message.timer = None
        self._send_pending(session)

    def on_session_ended(self, session: Session) -> None:
        """Checks the invariant that an ended session has no open requests."""
        invariant(not session.open_requests, "session_not_busy")

    # ---- called by the core (CallerPort) ----

    def answer(self, call: int, description: bytes) -> None:
        """Answers the request: its call stands.  A call without an open request is hung up."""
        request = self.index.active.get(call)
        if request is None or request.answer is not None:
            self.core.hang_up(call)
            return
        request.answer = FinalAnswer(request.content_digest, STANDS, 0, description)
        self._queue_answer(request, request.answer, 0, request.deadline_at)

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Answers the request: refused, with the back-off in milliseconds."""
        self._finish_call(call, REFUSED, round(back_off_ms))

    def fail(self, call: int) -> None:
        """Answers the request: failed."""
        self._finish_call(call, FAILED)

    def _finish_call(self, call: int, result: int, back_off_ms: int = 0) -> None:
        request = self.index.active.get(call)
        if request is not None and request.answer is None:
            answer = FinalAnswer(request.content_digest, result, back_off_ms)
            self._close_request(request, answer)
            self._queue_answer(request, answer, 0, request.deadline_at)

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Ends the request of a call that stood, and sends the device a release."""
        request = self.index.active.get(call)
        if request is None or request.answer is None:
            return
        session = request.session
        was_acknowledged = (call, True) not in session.outbox
        self._close_request(request, request.answer)
        # If the device has not acknowledged the answer, both are sent, the answer first.
        if not was_acknowledged:
            self.counters["device_over_unheard"] += 1
        self._enqueue(
            OutboxMessage(
                session,
                call,
                request.call_request.request,
                None,
                RELEASE_CAUSES.get(outcome, 31),
                self.clock.now + RELEASE_RETENTION_MS,
                self.worths[request.call_request.call_class],
            )
        )

    # ---- requests ----

    def _on_repeated_request(
        self, existing: ActiveRequest | FinalAnswer, call_request: CallRequest
    ) -> FinalAnswer | None:
        """Handles a repeated request: it joins the existing call or gets the same answer again."""
        self.counters["device_requests_again"] += 1
        content_digest = existing.content_digest
        # An empty digest belongs to a request that was cancelled before it arrived.
        if content_digest not in (b"", call_request.content_digest):
            self.counters["device_conflicts"] += 1
            return FinalAnswer(call_request.content_digest, CONFLICT)
        return existing if isinstance(existing, FinalAnswer) else existing.answer

    def _check_limits(
        self, session: Session, remaining_ms: float, within_byte_limit: bool
    ) -> FinalAnswer | None:
        """Returns the answer for a request that is too late or beyond a limit, else None."""
        now = self.clock.now
        limits = self.limits
        if remaining_ms <= 0.0:
            return FinalAnswer(b"", FAILED)
        if self.redirection is not None and self.redirection[0] <= 0.0:
            return FinalAnswer(b"", REFUSED, 2_000)
        if not within_byte_limit:
            return FinalAnswer(b"", REFUSED, 1_000)
        for bucket, rate in (
            (self._device_buckets(session)[0], limits.requests_device),
            (self.request_bucket, limits.requests),
        ):
            if not bucket.consume(now, rate):
                self.counters["device_requests_limited"] += 1
                return FinalAnswer(b"", REFUSED, math.ceil(bucket.wait_ms(rate)))
        return None

    def _device_buckets(self, session: Session) -> tuple[TokenBucket, TokenBucket]:
        """Returns the device's own buckets, for requests and for bytes."""
        if session.buckets is None:
            session.buckets = (
                TokenBucket(self.clock.now, self.limits.requests_device),
                TokenBucket(self.clock.now, self.limits.bytes_device),
            )
        return session.buckets

    def _answer_without_call(
        self, index_key: int, call_request: CallRequest, answer: FinalAnswer
    ) -> FinalAnswer:
        """Records the answer of a request that gets no call, so that repetitions get the same one."""
        final_answer = FinalAnswer(call_request.content_digest, answer.result, answer.back_off_ms)
        self.index.finish(index_key, final_answer)
        return final_answer

    def _offer_to_core(self, request: ActiveRequest) -> None:
        """Offers the call to the core."""
        call_request = request.call_request
        remaining_ms = request.deadline_at - self.clock.now
        request.timer = None
        if remaining_ms <= 0.0:
            self._finish_call(request.index_key, FAILED)
            return
        request.offered = True
        offer = Offer(
            request.index_key,
            call_request.destination,
            call_request.number,
            call_request.number_text,
            remaining_ms,
            call_request.call_class,
            call_request.class_name,
            call_request.description,
            call_request.width,
        )
        if not self.core.offer(offer, self):
            self._finish_call(request.index_key, FAILED)

    def _recover_request(self, request: ActiveRequest, remaining_ms: float) -> None:
        """Handles a request first sent in an earlier epoch.

        Its call may stand at an exchange unknown to this process.  The earlier call is released wherever it
        may stand; after the release time the request is offered again under a new call id.  The request is
        refused if no more than twice the release time remains.
        """
        self.counters["device_recovered"] += 1
        self.core.release_everywhere(
            fingerprint(
                request.call_request.first_epoch, request.session.device, request.call_request.request
            )
        )
        if remaining_ms <= 2.0 * self.release_ms:
            self._finish_call(request.index_key, REFUSED, 0)
            return
        self.schedule_offer(request)

    def schedule_offer(self, request: ActiveRequest) -> None:
        """Schedules the offer for when the release time of the earlier call is over."""
        request.timer = self.clock.call_at(
            self.clock.now + self.release_ms + 1.0, lambda: self._offer_to_core(request)
        )

    def _close_request(self, request: ActiveRequest, answer: FinalAnswer) -> None:
        """Ends an active request with its final answer."""
        if request.timer is not None:
            request.timer.cancel()
        self.index.finish(request.index_key, answer)
        request.session.open_requests -= 1
        self.sessions.update_idle(request.session)

    # ---- the outbox ----

    def _queue_answer(
        self, request: ActiveRequest, answer: FinalAnswer, cause: int, expires_at: float
    ) -> None:
        self._enqueue(
            OutboxMessage(
                request.session,
                request.index_key,
                request.call_request.request,
                answer,
                cause,
                expires_at,
                self.worths[request.call_request.call_class],
            )
        )

    def _enqueue(self, message: OutboxMessage) -> None:
        session = message.session
        outbox_key = (message.index_key, message.answer is not None)
        session.outbox[outbox_key] = message
        if len(session.outbox) > MAX_OUTBOX_MESSAGES:
            for other_key, other in list(session.outbox.items()):
                if other.answer is None:
                    self._remove_message(session, other_key)
                    self.counters["device_outbox_full"] += 1
                    break
        self.sessions.update_idle(session)
        self._send_pending(session)

    def _send_pending(self, session: Session) -> None:
        """Sends the messages that have no timer, in order of falling worth.

        It sends as many as the send windows allow.
        """
        for message in sorted(
            session.outbox.values(), key=lambda message: (-message.worth, message.expires_at)
        ):
            if message.timer is None:
                self._send_message(message)

    def _send_message(self, message: OutboxMessage) -> None:
        """Sends the message on the best path, or on all usable paths if the best one is suspect."""
        session = message.session
        now = self.clock.now
        message.timer = None
        if now >= message.expires_at:
            self._expire(message)
            return
        size = MIN_MESSAGE_BYTES + (len(message.answer.description) if message.answer is not None else 0)
        usable = [
            path
            for path in session.paths
            if path.can_send(size) and self.transports[path.transport].can_send(session, path, message)
        ]
        best_path = session.best_path(now, usable)
        if best_path is None:  # tries again in 200 ms
            message.timer = self.clock.call_at(
                min(now + 200.0, message.expires_at), lambda: self._send_message(message)
            )
            return
        unacknowledged = sum(
            other.last_path is best_path and other.timer is not None and other is not message
            for other in session.outbox.values()
        )
        # `_send_pending` retries when another message is acknowledged, times out or expires.
        if unacknowledged >= best_path.send_window:
            return
        paths = [best_path] if not best_path.is_suspect(now) else usable
        wait_ms = math.inf
        for path in paths:
            data, number = self.transports[path.transport].prepare_message(session, path, message)
            if not path.can_send(len(data)):
                self.counters["device_amplification_kept"] += 1
                continue
            path.on_sent(now, len(data))
            message.transmissions = [*message.transmissions[-15:], (number, path, now)]
            self.transports[path.transport].transmit(path, data)
            wait_ms = min(wait_ms, path.rtt.timeout_ms(message.expires_at - now))
        message.send_count += 1
        message.last_path = best_path
        message.last_sent_at = now
        self.counters["device_said" if message.send_count == 1 else "device_said_again"] += 1
        message.timer = self.clock.call_at(
            min(now + (wait_ms if wait_ms < math.inf else 200.0), message.expires_at),
            lambda: self._on_ack_timeout(message),
        )

    def _on_ack_timeout(self, message: OutboxMessage) -> None:
        """Backs off the path after a time-out and sends the waiting messages, this one among them."""
        if message.last_path is not None:
            message.last_path.rtt.back_off_count += 1
            message.last_path.send_window = max(1, message.last_path.send_window // 2)
        message.timer = None
        self._send_pending(message.session)  # a waiting message of higher worth goes first

    def _on_acknowledged(self, message: OutboxMessage, outbox_key: tuple[int, bool]) -> None:
        self._remove_message(message.session, outbox_key)
        if message.answer is not None:
            self._notify_transports(message.session, message.request_id, message.answer)
        self.sessions.update_idle(message.session)
        self._send_pending(message.session)

    def _notify_transports(self, session: Session, request_id: bytes, answer: FinalAnswer) -> None:
        """Passes the final answer to every transport, as copies of the request may be open on several."""
        for transport in self.transports.values():
            transport.on_request_ended(session, request_id, answer)

    def _remove_message(self, session: Session, outbox_key: tuple[int, bool]) -> None:
        message = session.outbox.pop(outbox_key, None)
        if message is not None and message.timer is not None:
            message.timer.cancel()

    def _expire(self, message: OutboxMessage) -> None:
        """Drops a message that was not acknowledged in time.

        If it was the answer of a standing call, that call is released: its caller does not know that it
        stands, and it would hold its circuits for nothing.
        """
        outbox_key = (message.index_key, message.answer is not None)
        self._remove_message(message.session, outbox_key)
        self.counters[
            "device_answers_unheard" if message.answer is not None else "device_releases_unheard"
        ] += 1
        request = self.index.active.get(message.index_key)
        if message.answer is not None and message.answer.result == STANDS and request is not None:
            self.core.hang_up(message.index_key)
            self._close_request(request, FinalAnswer(request.content_digest, GIVEN_UP))
            self._notify_transports(
                message.session, message.request_id, FinalAnswer(request.content_digest, GIVEN_UP)
            )
            self._enqueue(
                OutboxMessage(
                    message.session,
                    message.index_key,
                    message.request_id,
                    None,
                    31,
                    self.clock.now + RELEASE_RETENTION_MS,
                    message.worth,
                )
            )
        elif message.answer is not None:
            self._notify_transports(message.session, message.request_id, message.answer)
        self.sessions.update_idle(message.session)
        self._send_pending(message.session)

    def start_redirection(
        self, after_ms: float, elsewhere: str, notify: Callable[[Session], None], sessions: Iterable[Session]
    ) -> None:
        """Notifies devices to reconnect.

        Their requests are still served until `redirection` is set to 0 ms.
        """
        self.redirection = (after_ms, elsewhere)
        for session in list(sessions):
            notify(session)

"""The SIP interface of callers: SIP over TCP, in the subset that the platform's callers use."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Generator, Iterator

from ospreyvale.fronts.caller_connection import CallerConnection, HandedOverConnection
from ospreyvale.fronts.caller_releases import CallerReleases
from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.ending import EndingConnections
from ospreyvale.fronts.incomplete import IncompleteConnections
from ospreyvale.fronts.offer import OfferLimits, parse_offer
from ospreyvale.protocol import sip
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.handover import bytes_to_text, text_to_bytes
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.transport.connection import RECEIVE_BYTES, Link
from ospreyvale.transport.loop import MAX_MESSAGES_PER_TURN, Coroutine, Loop, Signal

# Q.850 causes of the BYE for a call that has ended; 31 (normal, unspecified) for other outcomes.
CAUSE_BY_OUTCOME = {interface.Outcome.OK: 16, interface.Outcome.RESET: 41}
RESERVED_DESCRIPTORS = 50  # for the bus, the listeners, operators and the program itself
DESCRIPTORS_PER_EXCHANGE = 2  # its connection, and a second one while that is suspect
# Callers get the descriptors that are left, but at least the total divided by this: the limit of their
# connections does not fall below that share, however many exchanges there are.
CALLERS_DESCRIPTOR_DIVISOR = 3
# A partial message without new bytes for so long has stalled, as slow senders write more often.
PARTIAL_MESSAGE_STALL_MS = 1_000.0
DRAIN_SILENCE_MS = 500.0  # in a drain, a connection that never carried a set-up may be silent for so long
MAX_CONSECUTIVE_FAULTS = 32  # a connection with so many consecutive malformed requests is closed


class SipFront:
    """Accepts set-ups from callers and answers them; a `CallerPort`."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        node_name: str,
        class_names: tuple[str, ...],
        max_patience_ms: tuple[float, ...],
        counters: Counter[str],
        log: Log,
        drain: Drain,
        customers: tuple[str, ...] = (),
        max_circuits_per_call: int = 1,
        max_descriptors: int = 1024,
    ) -> None:
        self.loop = loop
        self.core = core
        self.node_name = node_name
        self.drain = drain
        drain.sweep_callbacks.append(self._close_idle)
        self.max_descriptors = max_descriptors
        self.process_count = 1
        # Returns the number of exchanges that need descriptors; set by the owner of their connections.
        self.exchange_count: Callable[[], int] = lambda: 0
        self.offer_limits = OfferLimits(
            class_names, max_patience_ms, frozenset(customers), max_circuits_per_call
        )
        self.counters = counters
        self.log = log
        # Connections that have carried set-ups, the most recent last.
        self.active_connections: OrderedDict[CallerConnection, None] = OrderedDict()
        # All other connections.
        self.idle_connections: OrderedDict[CallerConnection, None] = OrderedDict()
        # Connections that have sent nothing yet, oldest first.
        self.silent_connections: OrderedDict[CallerConnection, None] = OrderedDict()
        self.incomplete = IncompleteConnections[CallerConnection](
            loop, counters, lambda caller: bool(caller.open_set_ups)
        )
        self.ending = EndingConnections[CallerConnection](loop)
        self.connection_by_call: dict[int, CallerConnection] = {}  # until the call ends
        self.releases = CallerReleases(loop, node_name, counters)

    # ---- connections ----

    def serve(self, link: Link) -> Coroutine:
        """Serves one connection until the peer ends its side or the connection is closed.

        Closes it at once if there are `max_connections` already and none of them can be spared.
        """
        caller = CallerConnection(link)
        while self.connection_count >= self.max_connections:
            if not self.free_descriptor():
                self.counters["connections_refused"] += 1
                link.close()
                return
        self.idle_connections[caller] = None
        self.silent_connections[caller] = None
        self.incomplete.start_timeout(caller)
        caller.last_received_at = self.loop.now
        yield from self._read_messages(caller)

    @property
    def connection_count(self) -> int:
        """Number of connections from callers, without those that only wait for answers of this side."""
        return len(self.idle_connections) + len(self.active_connections) + len(self.ending)

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes were received that are not handled yet: part of a message, or messages in turn."""
        callers = (*self.idle_connections, *self.active_connections)
        return any(caller.reader.has_partial_message for caller in callers)

    def close(self) -> None:
        """Ends, at the end of the process, each connection without an open set-up once its data is sent."""
        for caller in [*self.idle_connections, *self.active_connections]:
            if not caller.open_set_ups:
                self._end_connection(caller)

    def share_descriptors(self, processes: int) -> None:
        """Sets how many processes share the descriptors, of which only this one serves callers.

        Closes connections from callers that are above the new limit, as far as they can be spared.
        """
        self.process_count = processes
        while self.connection_count > self.max_connections and self.free_descriptor():
            pass

    @property
    def max_connections(self) -> int:
        """Limit of connections from callers: the descriptors that the current list of exchanges leaves."""
        reserved = self.process_count * (
            RESERVED_DESCRIPTORS + DESCRIPTORS_PER_EXCHANGE * self.exchange_count()
        )
        return max(1, self.max_descriptors // CALLERS_DESCRIPTOR_DIVISOR, self.max_descriptors - reserved)

    def hand_over(self) -> Iterator[tuple[int, HandedOverConnection]]:
        """Yields each connection with its descriptor, for another process.

        None is left in this process afterwards; the receiver of a descriptor owns it.
        """
        half_closed = [caller for caller in self.connection_by_call.values() if caller.peer_ended]
        standing_by_connection: dict[CallerConnection, list[int]] = {}
        for call, caller in self.connection_by_call.items():
            if call not in caller.open_set_ups:
                standing_by_connection.setdefault(caller, []).append(call)
        incomplete_since = dict(self.incomplete.incomplete_since)
        active = set(self.active_connections)
        callers = dict.fromkeys(
            [*incomplete_since, *self.idle_connections, *self.active_connections, *half_closed]
        )
        self.connection_by_call.clear()
        self.releases.clear()  # those that were sent are on connections that go on
        for caller in callers:
            open_set_ups = caller.open_set_ups
            caller.open_set_ups = {}
            caller.handed_over = True
            detached = caller.link.detach()
            if detached is not None:
                fd, unsent = detached
                yield (
                    fd,
                    HandedOverConnection(
                        bytes_to_text(unsent),
                        bytes_to_text(caller.reader.partial_message),
                        caller in active or caller.peer_ended,
                        incomplete_since.get(caller, 0.0),
                        [
                            (call, sip.parse_copied_headers(copied_headers))
                            for call, copied_headers in open_set_ups.items()
                        ],
                        standing_by_connection.get(caller, []),
                    ),
                )

    def serve_handed_over(self, link: Link, handed_over: HandedOverConnection) -> Coroutine:
        """Serves a connection handed over by another process, from the state in which that left it."""
        caller = CallerConnection(link)
        caller.last_received_at = self.loop.now
        (self.active_connections if handed_over.asked else self.idle_connections)[caller] = None
        if handed_over.since:
            self.incomplete.incomplete_since[caller] = handed_over.since
            if not handed_over.half:
                self.silent_connections[caller] = None
        for call, headers in handed_over.open:
            caller.open_set_ups[call] = sip.copy_headers(sip.Message(headers=headers))
        for call in [*caller.open_set_ups, *handed_over.standing]:
            self.connection_by_call[call] = caller
            caller.call_count += 1
        if handed_over.unsent:
            link.send(text_to_bytes(handed_over.unsent))
        if handed_over.asked:
            self.releases.send_on(caller)
        yield from self._read_messages(caller, text_to_bytes(handed_over.half))

    def _read_messages(self, caller: CallerConnection, unhandled: bytes = b"") -> Coroutine:
        """Handles the messages in `unhandled` and all that follow, until the connection ends."""
        link = caller.link
        try:
            yield from self._handle_bytes(caller, unhandled)
            while (yield from self._receive(caller)):
                self._close_if_unneeded(caller)
            caller.peer_ended = not link.closed
        except ProtocolError as error:
            self.counters["protocol_errors"] += 1
            self.log("protocol_error", wire="sip", why=str(error))
        self._unregister(caller)
        # A peer that ended its side after this one did has read all that was sent.
        if self.releases.requeue_lost(caller, was_read=caller.peer_ended and caller in self.ending):
            self._send_pending_releases([])
        self.ending.remove(caller)
        if caller.peer_ended and caller.open_set_ups:
            self._probe(caller, next(iter(caller.open_set_ups.values())))
            # Half-closed: open set-ups are answered first, then `_close_if_unneeded` closes it.
            yield from link.wait_closed()
        if caller.open_set_ups:
            self.log(
                "caller_lost", reset=link.was_reset, calls=[f"{call:016x}" for call in caller.open_set_ups]
            )
        for call in list(caller.open_set_ups):
            self._remove_set_up(call)
            self.core.give_up(call)
        link.close()

    def _receive(self, caller: CallerConnection) -> Generator[Signal, None, bool]:
        """Waits for bytes and handles the messages that they complete; returns False at the end.

        Raises ProtocolError if what follows cannot be framed.  Nothing of a message is referenced from here
        while the next one is awaited.
        """
        data = yield from caller.link.receive()
        if not data:
            return False
        caller.last_received_at = self.loop.now
        caller.has_backlog = len(data) >= RECEIVE_BYTES
        caller.was_probed = caller.was_probed and not caller.has_backlog
        self.silent_connections.pop(caller, None)
        yield from self._handle_bytes(caller, data)
        return True

    def _handle_bytes(self, caller: CallerConnection, data: bytes) -> Coroutine:
        """Handles the messages that the bytes complete, and lets other connections go first now and then."""
        for number, message in enumerate(caller.reader.feed(data), 1):
            self.incomplete.stop_timeout(caller)
            self._handle_message(caller, message)
            if caller.consecutive_faults >= MAX_CONSECUTIVE_FAULTS:
                self.counters["connections_faulty"] += 1
                raise ProtocolError("too many consecutive malformed requests")
            if number % MAX_MESSAGES_PER_TURN == 0:
                yield from self.loop.yield_turn()
            if caller.handed_over:
                return
        if caller.reader.has_partial_message and caller not in self.ending:
            self.incomplete.start_timeout(caller)

    def free_descriptor(self) -> bool:
        """Closes the connection that is needed least; returns False if none can be spared.

        Used when the process has run out of descriptors or reached the limit of connections.  One with an
        open set-up is never closed.  The order is: those that end already, those that never sent anything,
        those stalled inside a message, those idle for longest (the caller connects again), and last those in
        the middle of a message.  Many clients that connect and send nothing, or half a message, thus do not
        cost an active caller its connection.
        """
        if self.ending.close_oldest():
            return True
        candidate = next(iter(self.silent_connections), None)
        if candidate is None:
            without_set_ups = [
                caller
                for caller in (*self.idle_connections, *self.active_connections)
                if not caller.open_set_ups
            ]
            candidate = min(without_set_ups, key=self._closing_order) if without_set_ups else None
        if candidate is None:
            return False
        self._unregister(candidate)  # at once: the next one may be accepted before its end is processed
        candidate.link.close()
        self.counters["connections_shed"] += 1
        return True

    def _closing_order(self, caller: CallerConnection) -> tuple[bool, bool, float]:
        """Returns the sort key of a connection without a set-up; `free_descriptor` closes the lowest."""
        has_partial_message = caller.reader.has_partial_message
        return (
            has_partial_message and caller.last_received_at > self.loop.now - PARTIAL_MESSAGE_STALL_MS,
            not has_partial_message,
            caller.last_received_at,
        )

    def _unregister(self, caller: CallerConnection) -> None:
        """Removes a connection from those on which calls may be served and released."""
        for registry in (self.silent_connections, self.idle_connections, self.active_connections):
            registry.pop(caller, None)
        self.incomplete.stop_timeout(caller)

    def _end_connection(self, caller: CallerConnection) -> None:
        """Ends this side of a connection; a BYE that crosses the end is still accepted, but not answered."""
        self._unregister(caller)
        self.ending.start(caller)

    # ---- messages from callers ----

    def _handle_message(self, caller: CallerConnection, message: sip.Message) -> None:
        """Handles one message; a malformed one is rejected without effect on others on the connection."""
        try:
            self._handle_by_method(caller, message)
        except ProtocolError as error:
            self.log("protocol_error", wire="sip", why=str(error))
            self._reject_malformed(caller, message, 400)

    def _reject_malformed(self, caller: CallerConnection, message: sip.Message, status: int) -> None:
        """Rejects a malformed request, and counts it: a peer may repeat it as soon as it is rejected."""
        self.counters["messages_refused"] += 1
        if message.method not in ("", "ACK"):
            caller.link.send(sip.encode_response(message, status))
        caller.consecutive_faults += 1  # too many close the connection, in `_read_messages`

    def _handle_by_method(self, caller: CallerConnection, message: sip.Message) -> None:
        match message.method:
            case "INVITE":
                self._on_invite(caller, message)
            case "CANCEL":
                is_open_here = (
                    self.connection_by_call.get(message.call) is caller
                    and message.call in caller.open_set_ups
                )
                caller.link.send(sip.encode_response(message, 200 if is_open_here else 481))
                if is_open_here:  # otherwise it has ended, or belongs to another connection
                    self._remove_set_up(message.call)
                    self.core.give_up(message.call)
            case "BYE":
                self.counters["byes_taken"] += 1
                self.releases.acknowledge(message.call)  # the BYEs of both sides have crossed
                is_accepted = self.core.hang_up(message.call)
                if is_accepted:
                    self._remove_call(message.call)
                caller.link.send(sip.encode_response(message, 200 if is_accepted else 481))
            case "OPTIONS":
                caller.link.send(sip.encode_response(message, 503 if self.drain.active else 200))
            case "ACK" | "NOTIFY":
                pass  # neither is answered
            case "" if message.cseq_method == "BYE":
                self.releases.acknowledge(message.call)
            case "":
                pass  # a response to no request of this side
            case _:
                caller.link.send(sip.encode_response(message, 501))

    def _on_invite(self, caller: CallerConnection, message: sip.Message) -> None:
        if caller in self.ending:  # it cannot be answered here; the caller sends it again elsewhere
            self.counters["offers_crossed"] += 1
            caller.link.close()
            return
        if self._has_left(caller, message):
            self.counters["offers_abandoned"] += 1
            return
        offer = parse_offer(message, self.offer_limits)
        if offer is None:
            self.counters["offers_malformed"] += 1
            self._reject_malformed(caller, message, 400)
            return
        if offer.call in self.connection_by_call:
            self.counters["offers_repeated"] += 1
            self._reject_malformed(caller, message, 482)
            return
        if caller not in self.active_connections:
            self.idle_connections.pop(caller, None)
            self.active_connections[caller] = None
            self.releases.send_on(caller)
        self.active_connections.move_to_end(caller)
        if self.drain.refusing:
            caller.consecutive_faults = 0
            self.counters[f"rejected.{offer.class_name}"] += 1
            caller.link.send(sip.encode_response(message, 503))
            return
        caller.open_set_ups[offer.call] = sip.copy_headers(message)
        self.connection_by_call[offer.call] = caller
        caller.call_count += 1
        if self.core.offer(offer, self):
            caller.consecutive_faults = 0
        else:
            self._remove_set_up(offer.call)
            self._reject_malformed(caller, message, 482)

    def _has_left(self, caller: CallerConnection, message: sip.Message) -> bool:
        """Returns whether nobody waits for the answer to a request that was read only now."""
        link = caller.link
        if not (link.peer_ending or caller.has_backlog):
            return link.closed
        if not link.peer_gone:  # what is unread of one that is gone may hold BYEs: it is read on
            self._probe(caller, sip.copy_headers(message))
        return link.closed or link.peer_gone

    def _probe(self, caller: CallerConnection, copied_headers: bytes) -> None:
        """Finds out whether a peer still reads that has ended its sending side, or may have done so.

        A provisional response means nothing to one that does; one that has closed its socket resets the
        connection.  Behind a backlog, the end of its side may not have arrived yet.
        """
        if not caller.was_probed:
            caller.was_probed = True
            caller.link.send(sip.encode_response_to(copied_headers, 100))

    # ---- answers of the core (CallerPort) ----

    def answer(self, call: int, description: bytes) -> None:
        """Sends 200; where that is not possible, the call is hung up."""
        if not self._send_final_response(call, 200, description):
            self._remove_call(call)
            self.core.hang_up(call)

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Sends 503 with the back-off."""
        self._send_final_response(call, 503, back_off_ms=back_off_ms)

    def fail(self, call: int) -> None:
        """Sends 504."""
        self._send_final_response(call, 504)

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Sends BYE for a standing call, on its own connection or else on any other from callers.

        Queues it while there is none.
        """
        caller = self.connection_by_call.get(call)
        self.releases.add(call, CAUSE_BY_OUTCOME.get(outcome, 31))
        candidates = [caller] if caller is not None and caller in self.active_connections else []
        self._send_pending_releases(candidates)
        self._remove_call(call)

    # ---- internals ----

    def _send_final_response(
        self, call: int, status: int, body: bytes = b"", back_off_ms: float = 0.0
    ) -> bool:
        caller = self.connection_by_call.get(call)
        copied_headers = caller.open_set_ups.pop(call, None) if caller is not None else None
        if caller is None or copied_headers is None:
            return False
        sent = caller.link.send(sip.encode_response_to(copied_headers, status, body, back_off_ms))
        if status != 200:
            self._remove_call(call)
        self._close_if_unneeded(caller)
        return sent

    def _remove_set_up(self, call: int) -> None:
        """Removes a set-up without an answer, and its call."""
        caller = self.connection_by_call.get(call)
        if caller is not None and caller.open_set_ups.pop(call, None) is not None:
            self._remove_call(call)

    def _remove_call(self, call: int) -> None:
        """Removes a call that has ended; closes its connection if that is no longer needed."""
        caller = self.connection_by_call.pop(call, None)
        if caller is not None:
            caller.call_count -= 1
            self._close_if_unneeded(caller)

    def _close_if_unneeded(self, caller: CallerConnection) -> None:
        """Closes or ends a connection that is no longer needed.

        Either the peer has closed its side and no set-up is open, or a drain is in progress and the
        connection has no call.  One with standing calls is kept, because during a drain no other connection
        may be left to carry their releases to the callers.
        """
        if caller.peer_ended and not caller.open_set_ups:
            caller.link.close()
        elif (
            self.drain.closing
            and not caller.call_count
            and caller in self.active_connections
            and not caller.reader.has_partial_message
        ):
            self._end_connection(caller)

    def _close_idle(self) -> None:
        """Ends, during a drain, the connections that are idle."""
        for caller in [*self.idle_connections, *self.active_connections]:
            if (
                caller in self.idle_connections
                and self.loop.now > caller.last_received_at + DRAIN_SILENCE_MS
                and not caller.reader.has_partial_message
            ):
                self._end_connection(caller)
            else:
                self._close_if_unneeded(caller)

    def _send_pending_releases(self, preferred: list[CallerConnection]) -> None:
        """Sends BYE for all queued releases on one connection, if any is open."""
        for candidate in [*preferred, *reversed(self.active_connections)]:
            if self.releases.send_on(candidate):
                break

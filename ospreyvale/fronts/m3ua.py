"""The M3UA interface of callers: peers that send IAM over TCP.

A circuit is identified by the peer's point code and its CIC; one that carries a standing call is not tied to
a connection.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from ospreyvale.exchanges.association import AspState, ServerAssociation
from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.incomplete import IncompleteConnections
from ospreyvale.protocol import m3ua
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.m3ua import Cause, IsupMessage, IsupType, RoutingLabel
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.routing.state import Offer
from ospreyvale.settings.edge import M3uaConfig
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import MAX_MESSAGES_PER_TURN, Coroutine, Loop

# Timers of Q.764.  REL is repeated every T1 until RLC arrives; after T5 it is no longer repeated and the
# circuit is treated as idle.
ISUP_T1_MS = 15_000.0
ISUP_T5_MS = 300_000.0
CircuitKey = tuple[int, int]  # point code of the peer, CIC


@dataclass(slots=True)
class BusyCircuit:
    """One circuit that is not idle."""

    call: int
    association: ServerAssociation | None  # on which IAM arrived; None once answered or refused
    unacknowledged_rel: IsupMessage | None = None  # REL that was sent, until RLC acknowledges it
    released_at: float = 0.0  # when REL was first sent, in Unix milliseconds


class M3uaFront:
    """Offers to the core the calls that peers set up, and answers the peers; a `CallerPort`."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        config: M3uaConfig,
        class_names: tuple[str, ...],
        max_patience_ms: tuple[float, ...],
        seed: int,
        counters: Counter[str],
        log: Log,
        drain: Drain,
    ) -> None:
        self.drain = drain
        drain.change_callbacks.append(self._on_drain_change)
        drain.sweep_callbacks.append(self._close_idle_associations)
        self.loop = loop
        self.core = core
        self.config = config
        self.class_names = class_names
        self.max_patience_ms = max_patience_ms  # longest wait of a caller for its answer, by class index
        self.counters = counters
        self.log = log
        self.busy_circuits: dict[CircuitKey, BusyCircuit] = {}
        self.key_by_call: dict[int, CircuitKey] = {}
        # Associations with the point code of the peer, -1 until it is known.
        self.associations: dict[ServerAssociation, int] = {}
        self.incomplete = IncompleteConnections[ServerAssociation](loop, counters, lambda _: False)
        self.random_source = random.Random(seed)  # draws the ids of calls, as IAM carries none

    def serve(self, link: Link) -> Coroutine:
        """Serves one association until it ends."""
        association = ServerAssociation(
            link,
            lambda routing_label, message: self._handle_message(association, routing_label, message),
            lambda: self._on_state_change(association),
            lambda: self.drain.active,
        )
        self.associations[association] = -1
        self.incomplete.start_timeout(association)
        while data := (yield from link.receive()):
            handled_before = association.message_count
            try:
                for number, _ in enumerate(association.feed(data), 1):
                    if number % MAX_MESSAGES_PER_TURN == 0:
                        yield from self.loop.yield_turn()
            except ProtocolError as error:
                self.counters["protocol_errors"] += 1
                self.log("protocol_error", wire="m3ua", why=str(error))
                break
            if association.message_count > handled_before:
                self.incomplete.stop_timeout(association)
            if association.reader.has_partial_message:
                self.incomplete.start_timeout(association)
        self.incomplete.stop_timeout(association)
        self.counters["m3ua_not_active"] += association.unexpected_data_count
        self.counters["messages_refused"] += association.malformed_data_count
        del self.associations[association]
        self._give_up_set_ups(association)
        link.close()

    def _on_state_change(self, association: ServerAssociation) -> None:
        if not association.active:
            self._give_up_set_ups(association)

    def _give_up_set_ups(self, association: ServerAssociation) -> None:
        """Gives up the set-ups open on a lost association; both sides then treat the circuits as idle."""
        for key, circuit in list(self.busy_circuits.items()):
            if circuit.association is association:
                self._set_idle(key)
                self.core.give_up(circuit.call)

    def _on_drain_change(self, draining: bool) -> None:
        """Sends each peer NTFY that the AS is inactive while a drain lasts, or active again."""
        status = m3ua.AS_INACTIVE if draining else m3ua.AS_ACTIVE
        for association in self.associations:
            if association.state is not AspState.DOWN:
                association.link.send(m3ua.encode(m3ua.Kind.NTFY, (m3ua.Tag.STATUS, status)))

    def _close_idle_associations(self) -> None:
        """Closes, during a drain, the associations of peers without a busy circuit."""
        busy_opcs = {opc for opc, _ in self.busy_circuits}
        for association, opc in list(self.associations.items()):
            if association.active and opc not in busy_opcs:
                association.link.close()

    # ---- messages from peers ----

    def _handle_message(
        self, association: ServerAssociation, routing_label: RoutingLabel, message: IsupMessage
    ) -> None:
        if self.associations.get(association) != routing_label.opc:
            self.associations[association] = routing_label.opc
            self._repeat_releases(routing_label.opc)
        key = (routing_label.opc, message.cic)
        circuit = self.busy_circuits.get(key)
        match message.type:
            case IsupType.IAM:
                self._on_iam(association, key, message)
            case IsupType.REL:
                # Also for an idle circuit: its release is acknowledged all the same (Q.764, 2.9.5.1).
                self._send(key, IsupMessage(message.cic, IsupType.RLC))
                if circuit is None:
                    self.counters["m3ua_unknown_cic"] += 1
                    return
                self._set_idle(key)
                if circuit.unacknowledged_rel is None and not self.core.hang_up(circuit.call):
                    self.core.give_up(circuit.call)
            case IsupType.RLC:
                self._on_rlc(key, circuit)
            case _:
                self.counters["messages_unknown"] += 1

    def _on_iam(self, association: ServerAssociation, key: CircuitKey, message: IsupMessage) -> None:
        if not 1 <= message.cic <= self.config.max_cic:
            self.counters["m3ua_unknown_cic"] += 1
            self._send(
                key, IsupMessage(message.cic, IsupType.REL, cause=Cause.CIRCUIT_NOT_AVAILABLE), association
            )
            return
        if key in self.busy_circuits:
            # REL would end the call that uses the circuit, so the second IAM is ignored.
            self.counters["m3ua_duplicate_cic"] += 1
            return
        if association.link.peer_ending:  # its end is about to be read, and gives up all set-ups
            self.counters["offers_abandoned"] += 1
            return
        if self.drain.refusing:
            self._send(key, IsupMessage(message.cic, IsupType.REL, cause=Cause.CONGESTION), association)
            return
        class_index = min(int(message.priority), len(self.class_names) - 1)
        prefix = message.digits[: self.config.prefix_digits]
        if not prefix.isdigit() or not len(message.digits) <= 16:
            self._send(key, IsupMessage(message.cic, IsupType.REL, cause=Cause.NO_ROUTE), association)
            return
        call = self.random_source.getrandbits(64)
        self.busy_circuits[key] = BusyCircuit(call, association)
        self.key_by_call[call] = key
        number = int(message.digits, 16)
        offer = Offer(
            call,
            int(prefix),
            number,
            f"{number:016x}",
            self.max_patience_ms[class_index],
            class_index,
            self.class_names[class_index],
            message.description,
        )
        if not self.core.offer(offer, self):
            self._send_rel(call, Cause.TEMPORARY_FAILURE)

    def _on_rlc(self, key: CircuitKey, circuit: BusyCircuit | None) -> None:
        if circuit is None:
            self.counters["m3ua_unknown_cic"] += 1
        elif circuit.unacknowledged_rel is not None:
            self._set_idle(key)
        else:
            # Acknowledges a release that was never sent: the peer treats the circuit as idle, so the call has
            # ended; it is released on both sides (Q.764, 2.9.5.1).
            self.counters["m3ua_rlc_unasked"] += 1
            if not self.core.hang_up(circuit.call):
                self.core.give_up(circuit.call)
            self._send_rel(circuit.call, Cause.PROTOCOL_ERROR)

    # ---- answers of the core (CallerPort) ----

    def answer(self, call: int, description: bytes) -> None:
        """Sends ACM and ANM; where that is not possible, the call is hung up."""
        key = self.key_by_call[call]
        circuit = self.busy_circuits[key]
        association = circuit.association
        circuit.association = None
        if len(description) > m3ua.MAX_DESCRIPTION_BYTES:
            self.core.hang_up(call)
            self._send_rel(call, Cause.PROTOCOL_ERROR)
            return
        self._send(key, IsupMessage(key[1], IsupType.ACM), association)
        if not self._send(key, IsupMessage(key[1], IsupType.ANM, description=description), association):
            self.core.hang_up(call)
            self._set_idle(key)

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Sends REL; the cause is congestion if there is a back-off, and otherwise no circuit."""
        self._send_rel(call, Cause.CONGESTION if back_off_ms > 0.0 else Cause.NO_CIRCUIT)

    def fail(self, call: int) -> None:
        """Sends REL with timer expiry as cause."""
        self._send_rel(call, Cause.TIMER_EXPIRY)

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Sends REL for a standing call."""
        self._send_rel(call, Cause.NORMAL if outcome is interface.Outcome.OK else Cause.TEMPORARY_FAILURE)

    # ---- circuits ----

    def _send_rel(self, call: int, cause: Cause) -> None:
        """Sends REL and repeats it until RLC arrives; the circuit stays busy until then."""
        key = self.key_by_call.get(call)
        if key is None or key not in self.busy_circuits:
            return
        circuit = self.busy_circuits[key]
        association = circuit.association
        circuit.association = None
        circuit.unacknowledged_rel = IsupMessage(key[1], IsupType.REL, cause=cause)
        circuit.released_at = self.loop.now
        self._send(key, circuit.unacknowledged_rel, association)
        self._schedule_repeat(key, circuit)

    def _schedule_repeat(self, key: CircuitKey, circuit: BusyCircuit) -> None:
        def repeat() -> None:
            if self.busy_circuits.get(key) is not circuit or circuit.unacknowledged_rel is None:
                return
            if self.loop.now - circuit.released_at >= ISUP_T5_MS:
                self.counters["m3ua_release_unheard"] += 1
                self._set_idle(key)
                return
            self._send(key, circuit.unacknowledged_rel)
            self._schedule_repeat(key, circuit)

        self.loop.call_at(self.loop.now + ISUP_T1_MS, repeat)

    def _repeat_releases(self, opc: int) -> None:
        """Repeats unacknowledged RELs to a peer that has reconnected and may not have received them."""
        for key, circuit in list(self.busy_circuits.items()):
            if key[0] == opc and circuit.unacknowledged_rel is not None:
                self._send(key, circuit.unacknowledged_rel)

    def _set_idle(self, key: CircuitKey) -> None:
        """Treats the circuit as idle and forgets its call."""
        circuit = self.busy_circuits.pop(key)
        self.key_by_call.pop(circuit.call, None)

    def _send(
        self, key: CircuitKey, message: IsupMessage, association: ServerAssociation | None = None
    ) -> bool:
        """Sends on the given association, or else on any active one to the peer.

        Returns whether the message was sent.
        """
        routing_label = RoutingLabel(self.config.point_code, key[0])
        if association is not None:
            return association.send(routing_label, message)
        return any(
            other.send(routing_label, message)
            for other, opc in list(self.associations.items())
            if opc == key[0]
        )

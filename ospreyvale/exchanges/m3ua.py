"""The M3UA interface to exchanges: this controller is their ASP and sets up calls there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ospreyvale.exchanges.association import ClientAssociation
from ospreyvale.exchanges.connection import DRAIN_TIMEOUT_MS, IDLE_BEFORE_CHECK_MS
from ospreyvale.exchanges.isup import PROBE_TIMEOUT_MS
from ospreyvale.protocol import m3ua
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.m3ua import Cause, IsupMessage, IsupType, RoutingLabel
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.routing.stages.relay import AttemptEnd
from ospreyvale.routing.state import SetUpOrder
from ospreyvale.settings.edge import M3uaConfig, M3uaExchange
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Dialer
from ospreyvale.transport.reconnecting import ReconnectingClient

MAX_UNANSWERED_BEATS = 3  # consecutive ones, after which a connection is dead
ASSOCIATION_CHECK_INTERVAL_MS = 500.0  # between two checks of an association
# Outcome and cause of a set-up that an exchange refuses with REL; ERROR for any other cause.
END_BY_CAUSE = {
    Cause.NO_CIRCUIT: (interface.Outcome.FULL, interface.Cause.NO_CIRCUIT),
    Cause.CIRCUIT_NOT_AVAILABLE: (interface.Outcome.FULL, interface.Cause.NO_CIRCUIT),
    Cause.CONGESTION: (interface.Outcome.FULL, interface.Cause.PROCESSOR_FULL),
    Cause.USER_BUSY: (interface.Outcome.ERROR, interface.Cause.LINES_BUSY),
    Cause.TEMPORARY_FAILURE: (interface.Outcome.RESET, interface.Cause.NONE),
    Cause.TIMER_EXPIRY: (interface.Outcome.RESET, interface.Cause.NONE),
}


class RemoteExchange:
    """One M3UA exchange: its circuits and the call on each."""

    def __init__(
        self, config: M3uaExchange, create_client: Callable[[RemoteExchange], ReconnectingClient]
    ) -> None:
        self.config = config
        self.address = f"m-{config.number}".encode()
        self.client = create_client(self)
        self.association: ClientAssociation | None = None
        self.call_by_cic: dict[int, int] = {}
        self.cic_by_call: dict[int, int] = {}
        self.standing_calls: set[int] = set()  # answered calls
        self.releasing_cics: set[int] = set()  # CICs whose REL is not acknowledged by RLC yet
        self.reserved_calls: dict[int, int] = {}  # call by CIC, of the process that this one replaces
        self.probes: dict[int, float] = {}  # send time by number, of unanswered heartbeats
        self.unanswered_beats = 0  # consecutive heartbeats after which nothing was received
        self.condition = interface.Condition.READY

    @property
    def idle_circuits(self) -> int:
        """Number of idle circuits."""
        return (
            self.config.circuits - len(self.call_by_cic) - len(self.releasing_cics) - len(self.reserved_calls)
        )

    def seize(self, call: int) -> int:
        """Assigns the lowest idle circuit to the call and returns its CIC; there must be one."""
        cic = next(
            cic
            for cic in range(1, self.config.circuits + 1)
            if cic not in self.call_by_cic
            and cic not in self.releasing_cics
            and cic not in self.reserved_calls
        )
        self.call_by_cic[cic] = call
        self.cic_by_call[call] = cic
        return cic


class M3uaExchanges:
    """Sets calls up over M3UA associations; an `ExchangePort`."""

    def __init__(
        self,
        dialer: Dialer,
        core: Core,
        config: M3uaConfig,
        connect_timeout_ms: float,
        counters: Counter[str],
        log: Log,
    ) -> None:
        self.loop = dialer.loop
        self.core = core
        self.config = config
        self.counters = counters
        self.log = log
        self.connect_timeout_ms = connect_timeout_ms
        self.last_probe_number = 0
        remotes = [
            RemoteExchange(
                exchange,
                lambda remote, to=exchange.address: ReconnectingClient(  # type: ignore[misc]
                    dialer,
                    to,
                    connect_timeout_ms,
                    lambda link: self._serve(remote, link),
                    lambda: self._on_dial_failed(remote),
                ),
            )
            for exchange in config.exchanges
        ]
        self.remotes = {remote.address: remote for remote in remotes}
        core.update_exchanges(
            self, False, tuple(self._exchange_entry(remote) for remote in self.remotes.values())
        )
        for remote in self.remotes.values():
            self._report_group(remote)

    @staticmethod
    def _exchange_entry(remote: RemoteExchange) -> interface.Exchange:
        return interface.Exchange(remote.config.number, remote.address, remote.condition, 0.0)

    def _create_association(self, remote: RemoteExchange, link: Link) -> ClientAssociation:
        """Creates the association of a new connection; once it drains, only ends of its calls count."""

        def is_current() -> bool:
            return remote.association is association

        def on_data(_: RoutingLabel, message: IsupMessage) -> None:
            if is_current():
                self._handle_message(remote, message)
            elif message.type == IsupType.REL and remote.call_by_cic.get(
                message.cic, 0
            ) == association.former_calls.get(message.cic):
                self._on_release(remote, message)

        association = ClientAssociation(
            link,
            on_data,
            lambda: self._on_state_change(remote) if is_current() else None,
            lambda ready: self._on_notify(remote, ready) if is_current() else None,
            lambda number: self._on_beat_ack(remote, number) if is_current() else None,
        )
        return association

    def _serve(self, remote: RemoteExchange, link: Link) -> Coroutine:
        association = self._create_association(remote, link)
        association.last_received_at = self.loop.now
        remote.association = association
        self._check_association(remote, association)
        # Closes the connection, and so dials again, if ASPUP or ASPAC is not acknowledged in time.
        self.loop.call_at(
            self.loop.now + self.connect_timeout_ms, lambda: None if association.active else link.close()
        )
        while data := (yield from link.receive()):
            association.last_received_at = self.loop.now
            if remote.association is association:
                remote.unanswered_beats = 0
            try:
                for _ in association.feed(data):
                    pass
            except ProtocolError as error:
                self.counters["protocol_errors"] += 1
                self.log("protocol_error", wire="m3ua", why=str(error))
                break
        self.counters["messages_refused"] += association.malformed_data_count
        self.counters["m3ua_not_active"] += association.unexpected_data_count
        if remote.association is association:
            self._give_up_association(remote)

    def _give_up_association(self, remote: RemoteExchange) -> None:
        """Ends what depends on the association; standing calls go on."""
        remote.association = None
        remote.unanswered_beats = 0
        self._end_unanswered_set_ups(remote)

    def _drain_association(self, remote: RemoteExchange, association: ClientAssociation) -> None:
        """Dials again, and reads the old connection until the exchange ends its side.

        A release that arrives on it would be repeated by the exchange only after some 15 s (T1 of Q.764).
        """
        self._give_up_association(remote)
        association.former_calls = dict(remote.call_by_cic)
        association.link.write_eof()
        self.loop.call_at(self.loop.now + DRAIN_TIMEOUT_MS, association.link.close)
        remote.client.replace_link()

    def _on_state_change(self, remote: RemoteExchange) -> None:
        if remote.association is not None and remote.association.active:
            for cic in sorted(remote.releasing_cics):  # may not have arrived before the connection was lost
                self._send(remote, IsupMessage(cic, IsupType.REL, cause=Cause.NORMAL))
        else:
            self._end_unanswered_set_ups(remote)

    def _end_unanswered_set_ups(self, remote: RemoteExchange) -> None:
        """Ends unanswered set-ups; their circuits stay busy until a release is acknowledged."""
        for call, cic in list(remote.cic_by_call.items()):
            if call not in remote.standing_calls:
                self._free_circuit(remote, cic, releasing=True)
                self.core.on_end(call, remote.address, AttemptEnd(interface.Outcome.RESET))

    def _on_dial_failed(self, remote: RemoteExchange) -> None:
        """Handles a failed dial: the exchange has ended or is cut off, so its calls have ended here.

        Their circuits are idle once it acknowledges their release, as it may still use them.
        """
        if remote.cic_by_call:
            for cic in list(remote.call_by_cic):
                self._free_circuit(remote, cic, releasing=True)
            self.core.on_exchange_reset(remote.address)

    def _on_notify(self, remote: RemoteExchange, ready: bool) -> None:
        """Handles an exchange that goes out of service, and so gets no new calls, or returns to service."""
        remote.condition = interface.Condition.READY if ready else interface.Condition.DRAINING
        self.log(
            "exchanges", lines=[f"{remote.address.decode()} {remote.config.number} {remote.condition.value}"]
        )
        self.core.update_exchanges(self, False, (self._exchange_entry(remote),))

    # ---- handover between processes ----

    def circuits_in_use(self) -> dict[str, dict[str, int]]:
        """Returns calls by CIC, by exchange: circuits that no other process may seize.

        Call 0 means that an RLC is due.
        """
        return {
            remote.address.decode(): {
                str(cic): call
                for cic, call in (dict.fromkeys(remote.releasing_cics, 0) | remote.call_by_cic).items()
            }
            for remote in self.remotes.values()
        }

    def reserve_circuits(self, circuits: dict[str, dict[str, int]]) -> None:
        """Reserves the circuits of the process that this one replaces, until `release_reserved_circuits`."""
        for name, calls in circuits.items():
            remote = self.remotes.get(name.encode())
            if remote is not None:
                remote.reserved_calls = {int(cic): call for cic, call in calls.items()}
                self._report_group(remote)

    def release_reserved_circuits(self) -> None:
        """Releases the circuits of the replaced process, which has ended."""
        for remote in self.remotes.values():
            for cic in remote.reserved_calls:
                remote.releasing_cics.add(cic)
                self._send(remote, IsupMessage(cic, IsupType.REL, cause=Cause.NORMAL))
            remote.reserved_calls = {}
            self._report_group(remote)

    # ---- requests of the core (ExchangePort) ----

    def set_up(self, order: SetUpOrder) -> None:
        """Seizes a circuit and sends IAM; reports a failure to the core if that is not possible."""
        remote = self.remotes[order.address]
        call = order.offer.call
        if len(order.offer.description) > m3ua.MAX_DESCRIPTION_BYTES:
            self.core.on_end(call, remote.address, AttemptEnd(interface.Outcome.ERROR))
        elif (
            remote.association is None
            or not remote.association.active
            or remote.association.link.write_blocked
        ):
            self.core.on_end(call, remote.address, AttemptEnd(interface.Outcome.CONNECT_FAILED))
            self._report_group(remote)  # no circuit was seized, but the decision module subtracted one
        elif remote.idle_circuits <= 0:
            self.core.on_end(
                call, remote.address, AttemptEnd(interface.Outcome.MOOT, interface.Cause.NO_CIRCUIT)
            )
        else:
            offer = order.offer
            self.counters["upstream_requests"] += 1
            self._send(
                remote,
                IsupMessage(
                    remote.seize(call),
                    IsupType.IAM,
                    offer.number_text.upper(),
                    offer.call_class > 0,
                    description=offer.description,
                ),
            )
            self._report_group(remote)

    def cancel(self, call: int, address: bytes) -> None:
        """Releases the circuit of an unanswered set-up; no outcome is reported."""
        self.release(call, address)

    def release(self, call: int, address: bytes) -> None:
        """Releases the circuit of the call, which stays busy until RLC arrives."""
        remote = self.remotes[address]
        cic = remote.cic_by_call.get(call)
        if cic is not None:
            self._free_circuit(remote, cic, releasing=True)
            self._send(remote, IsupMessage(cic, IsupType.REL, cause=Cause.NORMAL))

    def probe(self, address: bytes) -> None:
        """Sends a heartbeat, and reports the result to the core; TIMEOUT after PROBE_TIMEOUT_MS."""
        remote = self.remotes[address]
        if remote.association is None or not remote.association.active:
            self.loop.call_at(
                self.loop.now,
                lambda: self.core.on_probe_result(address, interface.Outcome.CONNECT_FAILED, 0.0),
            )
            return
        self.last_probe_number += 1
        number = self.last_probe_number
        remote.probes[number] = self.loop.now
        remote.association.send_beat(number)
        self.loop.call_at(self.loop.now + PROBE_TIMEOUT_MS, lambda: self._on_beat_timeout(remote, number))

    # ---- messages from exchanges ----

    def _handle_message(self, remote: RemoteExchange, message: IsupMessage) -> None:
        call = remote.call_by_cic.get(message.cic)
        match message.type:
            case IsupType.ANM if call is not None:
                if call not in remote.standing_calls:
                    remote.standing_calls.add(call)
                    self.core.on_answer(call, remote.address, message.description)
            case IsupType.REL:
                self._on_release(remote, message)
            case IsupType.RLC if call is not None:
                # Acknowledges a release that was never sent: the exchange treats the circuit as idle, so the
                # call has ended there.  It is released here too, with its outcome in doubt (Q.764, 2.9.5.1).
                self.counters["m3ua_rlc_unasked"] += 1
                self._free_circuit(remote, message.cic, releasing=True)
                self._send(remote, IsupMessage(message.cic, IsupType.REL, cause=Cause.PROTOCOL_ERROR))
                self.core.on_end(call, remote.address, AttemptEnd(interface.Outcome.RESET))
            case IsupType.RLC if message.cic in remote.releasing_cics:
                remote.releasing_cics.discard(message.cic)
                self._report_group(remote)
            case IsupType.ACM:
                pass  # progress: no action
            case _:
                self.counters["m3ua_unknown_cic"] += 1

    def _on_release(self, remote: RemoteExchange, message: IsupMessage) -> None:
        call = remote.call_by_cic.get(message.cic)
        self._send(remote, IsupMessage(message.cic, IsupType.RLC))
        if call is not None:
            stood = call in remote.standing_calls
            self._free_circuit(remote, message.cic)
            self.core.on_end(call, remote.address, self._end_from_cause(message.cause, stood))
        elif (
            reserved := remote.reserved_calls.pop(message.cic, None)
        ) is not None and self.core.other_process:
            self.core.other_process.report_end(reserved, self._end_from_cause(message.cause, True).outcome)
        elif message.cic not in remote.releasing_cics:  # else both sides released; RLC follows
            self.counters["m3ua_unknown_cic"] += 1

    @staticmethod
    def _end_from_cause(cause: int, stood: bool) -> AttemptEnd:
        """Returns how an attempt ended, or a standing call if `stood`, by the cause of the REL."""
        if stood:
            return AttemptEnd(interface.Outcome.OK if cause == Cause.NORMAL else interface.Outcome.RESET)
        outcome, reason = next(
            (end for listed_cause, end in END_BY_CAUSE.items() if listed_cause == cause),
            (interface.Outcome.ERROR, interface.Cause.NONE),
        )
        return AttemptEnd(outcome, reason)

    def _on_beat_ack(self, remote: RemoteExchange, number: int) -> None:
        sent_at = remote.probes.pop(number, None)
        if sent_at is not None:
            self.core.on_probe_result(remote.address, interface.Outcome.OK, self.loop.now - sent_at)

    def _on_beat_timeout(self, remote: RemoteExchange, number: int) -> None:
        sent_at = remote.probes.pop(number, None)
        if sent_at is None:
            return
        self._count_unanswered_beat(remote)
        self.core.on_probe_result(remote.address, interface.Outcome.TIMEOUT, self.loop.now - sent_at)

    def _count_unanswered_beat(self, remote: RemoteExchange) -> None:
        remote.unanswered_beats += 1
        if remote.unanswered_beats >= MAX_UNANSWERED_BEATS and remote.association is not None:
            # The peer's M3UA layer answers heartbeats whatever the exchange's load: the connection is dead.
            self.counters["lines_dead"] += 1
            self._drain_association(remote, remote.association)

    def _check_association(self, remote: RemoteExchange, association: ClientAssociation) -> None:
        """Sends a heartbeat on a silent association that serves only standing calls; repeats until it ends.

        Its loss would not be noticed otherwise where the decision module sends no probes, nor that of a
        release.
        """
        if remote.association is not association or association.link.closed:
            return
        now = self.loop.now
        is_idle = now > association.last_received_at + IDLE_BEFORE_CHECK_MS
        if association.active and is_idle and (remote.standing_calls or remote.releasing_cics):
            self.last_probe_number += 1
            association.send_beat(self.last_probe_number)
            self.loop.call_at(
                now + PROBE_TIMEOUT_MS, lambda: self._on_liveness_timeout(remote, association, now)
            )
        self.loop.call_at(
            now + ASSOCIATION_CHECK_INTERVAL_MS, lambda: self._check_association(remote, association)
        )

    def _on_liveness_timeout(
        self, remote: RemoteExchange, association: ClientAssociation, sent_at: float
    ) -> None:
        if remote.association is association and association.last_received_at < sent_at:
            self._count_unanswered_beat(remote)

    # ---- circuits ----

    def _free_circuit(self, remote: RemoteExchange, cic: int, releasing: bool = False) -> None:
        """Removes the call from its circuit, which becomes idle, or waits for RLC if `releasing`."""
        call = remote.call_by_cic.pop(cic)
        remote.cic_by_call.pop(call, None)
        remote.standing_calls.discard(call)
        if releasing:
            remote.releasing_cics.add(cic)
        self._report_group(remote)

    def _send(self, remote: RemoteExchange, message: IsupMessage) -> None:
        if remote.association is not None:
            remote.association.send(RoutingLabel(self.config.point_code, remote.config.point_code), message)

    def _report_group(self, remote: RemoteExchange) -> None:
        """Reports the numbers of idle circuits and of all circuits to the core."""
        self.core.on_group_change(
            remote.address, (float(remote.idle_circuits), float(remote.config.circuits))
        )

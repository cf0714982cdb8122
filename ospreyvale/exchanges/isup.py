"""Connections to exchanges over the platform's binary ISUP messages.

There is one persistent connection to each exchange.  A connection becomes suspect when an expected message
does not arrive on it.  A second connection is then dialled and carries new messages; the suspect one drains
once the second shows that it is dead, or once no set-up is open on it.  It is read until the exchange ends
its side, because releases that the exchange has sent there may be repeated nowhere else.
"""

from __future__ import annotations

import itertools
from collections import Counter

from ospreyvale.exchanges.connection import ExchangeConnection
from ospreyvale.exchanges.predecessors import Predecessors
from ospreyvale.exchanges.releases import SetUpRelease, interpret_release, set_up_end
from ospreyvale.exchanges.remote_exchange import RemoteExchange
from ospreyvale.exchanges.supervision import ConnectionSupervisor
from ospreyvale.protocol import eventbus, isup
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.isup import Cause, Code, Message, Type
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.routing.stages.relay import AttemptEnd
from ospreyvale.routing.state import CallState, SetUpOrder
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, Dialer
from ospreyvale.transport.reconnecting import ReconnectingClient

PROBE_TIMEOUT_MS = 250.0  # the site's value, which is not part of the settings
# Names of report fields in the settings, with the platform's abbreviations for them.
REPORT_FIELD_ALIASES = {
    "spare": "x0",
    "total": "x1",
    "cut_by": "eps",
    "recent_ms": "latency_ms",
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "allowed": "qps",
}
MAX_PENDING_RELEASES = 8_192  # releases that wait for a connection, for one exchange
UNACKNOWLEDGED_MS = 60_000.0  # a release that was written so long ago is not repeated
CONDITION_BY_STATE = {
    eventbus.READY: interface.Condition.READY,
    eventbus.DRAINING: interface.Condition.DRAINING,
    eventbus.GONE: interface.Condition.GONE,
}


class IsupExchanges:
    """Sets up and releases calls at exchanges, and probes exchanges; an `ExchangePort`."""

    def __init__(
        self,
        dialer: Dialer,
        core: Core,
        columns: tuple[str, ...],
        connect_timeout_ms: float,
        counters: Counter[str],
        log: Log,
    ) -> None:
        self.dialer = dialer
        self.loop = dialer.loop
        self.core = core
        self.columns = columns
        self.connect_timeout_ms = connect_timeout_ms
        self.counters = counters
        self.log = log
        self.remotes: dict[bytes, RemoteExchange] = {}
        self.predecessors = Predecessors()
        self.test_numbers = itertools.count(1)
        self.supervisor = ConnectionSupervisor(
            self.loop,
            core,
            self.test_numbers,
            counters,
            log,
            self._on_connection_lost,
            self._repeat_releases,
        )
        self.last_connection_number = 0

    # ---- the list of exchanges ----

    def apply_event(self, event: eventbus.Event) -> None:
        """Applies an event of the discovery bus to the core and to the connections.

        A snapshot lists all exchanges, so others are removed; any other event lists those that have changed.
        """
        entries = tuple(
            interface.Exchange(
                target.cell,
                target.name.encode(),
                CONDITION_BY_STATE[target.state],
                float(target.started_ms),
                target.zone,
            )
            for target in event.targets
        )
        is_snapshot = event.kind is eventbus.FrameKind.SNAPSHOT
        self.log(
            "exchanges",
            offset=event.offset,
            whole=is_snapshot,
            lines=[
                f"{target.name} {target.cell} {entry.condition.value}"
                for target, entry in zip(event.targets, entries, strict=True)
            ],
        )
        calls_by_exchange = self.core.calls_by_exchange()
        self.core.update_exchanges(self, is_snapshot, entries)
        if is_snapshot:
            listed = {entry.address for entry in entries}
            for address in [address for address in self.remotes if address not in listed]:
                self._remove_exchange(address, calls_by_exchange)
        for target, entry in zip(event.targets, entries, strict=True):
            remote = self.remotes.get(entry.address)
            if target.state == eventbus.GONE:
                self._remove_exchange(entry.address, calls_by_exchange)
            elif remote is None or remote.client.address != target.address:
                self._remove_exchange(entry.address, calls_by_exchange)
                self._remove_exchanges_at(target.address, calls_by_exchange)
                self._add_exchange(entry.address, target.address)

    def _add_exchange(self, address: bytes, network_address: Address) -> None:
        remote = RemoteExchange(
            address,
            lambda remote: ReconnectingClient(
                self.dialer,
                network_address,
                self.connect_timeout_ms,
                lambda link: self._serve(remote, link),
                lambda: self._on_dial_failed(remote),
            ),
        )
        self.remotes[address] = remote
        for call in self.predecessors.take_calls(network_address, self.loop.now):
            remote.pending_releases[call] = None

    def _remove_exchanges_at(
        self, network_address: Address, calls_by_exchange: dict[bytes, list[int]]
    ) -> None:
        """Removes the exchanges at a network address that has passed to a new exchange id.

        They are gone even if their removal is notified later.
        """
        for remote in list(self.remotes.values()):
            if remote.client.address == network_address:
                self._remove_exchange(remote.address, calls_by_exchange)
                self.core.on_exchange_reset(remote.address)

    def _remove_exchange(self, address: bytes, calls_by_exchange: dict[bytes, list[int]]) -> None:
        remote = self.remotes.pop(address, None)
        if remote is not None:
            calls = [
                *calls_by_exchange.get(address, ()),
                *remote.open_set_ups,
                *remote.pending_releases,
                *remote.unacknowledged.calls(),
            ]
            self.predecessors.add_calls(remote.client.address, calls, self.loop.now)
            remote.client.close()
            self._fail_queued_set_ups(remote)
            for connection in list(remote.connections):
                connection.link.close()
                self._on_connection_lost(remote, connection)
            self.supervisor.remove_exchange(remote)

    # ---- handover between processes ----

    @property
    def all_connected(self) -> bool:
        """Whether each exchange that accepts set-ups is connected; a draining one may have stopped."""
        entries = self.core.context.exchange_table.entries
        return all(
            remote.connection is not None
            for remote in self.remotes.values()
            if remote.address in entries
            and entries[remote.address].exchange.condition is interface.Condition.READY
        )

    def owns_call(self, state: CallState) -> bool:
        """Whether the call stands at an exchange of this port, where any connection may release it."""
        return state.attempt is not None and state.attempt.port is self

    def renew_connections(self) -> None:
        """Opens another connection to each exchange, in place of the present one.

        An exchange sends a release on the connection of the set-up and again on the next one that is opened.
        The second copy replaces releases on connections of the old process that were no longer read.
        """
        for remote in self.remotes.values():
            self.supervisor.renew_connection(remote)

    def pending_releases(self) -> list[tuple[str, int]]:
        """Returns the releases that no exchange has acknowledged, as pairs of exchange and call."""
        return [
            (remote.address.decode(), call)
            for remote in self.remotes.values()
            for call in [*remote.pending_releases, *remote.unacknowledged.calls()]
        ]

    def import_pending_releases(self, releases: list[tuple[str, int]]) -> None:
        """Sends, or queues, the releases of another process that may not have arrived."""
        for name, call in releases:
            self.release(call, name.encode())

    # ---- requests of the core (ExchangePort) ----

    def set_up(self, order: SetUpOrder) -> None:
        """Sends the set-up, or queues it until a connection is up.

        It fails if dialling fails, or if no connection is up after `connect_timeout_ms`.
        """
        remote = self.remotes.get(order.address)
        call = order.offer.call
        connection = remote.connection if remote is not None else None
        if remote is None or (connection is not None and connection.link.write_blocked):
            # Behind bytes that the exchange does not read, a set-up could be sent after it drains: none is
            # queued.
            self._end_set_up(order.address, call, interface.Outcome.CONNECT_FAILED)
        elif connection is not None:
            self._send_set_up(remote, connection, order)
        else:
            remote.queued_set_ups[call] = order
            remote.client.dial_now()
            self.loop.call_at(
                self.loop.now + self.connect_timeout_ms, lambda: self._on_connect_timeout(remote, order)
            )

    def cancel(self, call: int, address: bytes) -> None:
        """Drops a queued set-up, or releases one that was sent; no outcome is reported."""
        remote = self.remotes.get(address)
        if remote is None or remote.queued_set_ups.pop(call, None) is not None:
            return
        connection = remote.open_set_ups.pop(call, None)
        if connection is not None:
            self._give_up_set_up(remote, connection, call)

    def _give_up_set_up(self, remote: RemoteExchange, connection: ExchangeConnection, call: int) -> None:
        """Releases a set-up that is out; a message about it may be on its way."""
        self._write_release(remote, connection, call)
        remote.unconfirmed.add(call, connection.number, self.loop.now)

    def release(self, call: int, address: bytes) -> None:
        """Releases a standing call, now or when a connection is up."""
        remote = self.remotes.get(address)
        if remote is not None:
            self._send_release(remote, call)

    def probe(self, address: bytes) -> None:
        """Sends a test, and reports the result to the core; TIMEOUT after PROBE_TIMEOUT_MS."""
        remote = self.remotes.get(address)
        connection = remote.connection if remote is not None else None
        if remote is None or connection is None or connection.link.write_blocked:
            self.loop.call_at(
                self.loop.now,
                lambda: self.core.on_probe_result(address, interface.Outcome.CONNECT_FAILED, 0.0),
            )
            return
        number = next(self.test_numbers)
        remote.probes[number] = self.loop.now, connection
        connection.send_test(number, self.loop.now)
        self.loop.call_at(self.loop.now + PROBE_TIMEOUT_MS, lambda: self._on_probe_timeout(remote, number))

    # ---- connections ----

    def _serve(self, remote: RemoteExchange, link: Link) -> Coroutine:
        self.last_connection_number += 1
        connection = ExchangeConnection(link, self.last_connection_number, self.loop.now)
        remote.was_connected = True
        remote.connections.append(connection)
        self.log(
            "exchange_connected",
            exchange=remote.address.decode(),
            connection=connection.number,
            open=len(remote.connections),
            releases=len(remote.pending_releases),
            queued=len(remote.queued_set_ups),
        )
        self.supervisor.start(remote, connection)
        for call in list(remote.pending_releases):
            del remote.pending_releases[call]
            self._write_release(remote, connection, call)
        for order in list(remote.queued_set_ups.values()):
            del remote.queued_set_ups[order.offer.call]
            self._send_set_up(remote, connection, order)
        self.supervisor.renew_if_due(remote)
        framing_failed = False
        while data := (yield from link.receive()):
            connection.record_receipt(self.loop.now)
            try:
                for message in connection.reader.feed(data):
                    self._handle_message(remote, connection, message)
            except ProtocolError as error:
                self.counters["protocol_errors"] += 1
                self.log("protocol_error", wire="isup", why=str(error))
                framing_failed = True
                break
        self.supervisor.end(remote, connection, framing_failed)

    def _on_connection_lost(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        """Ends the set-ups that were open on a lost connection; standing calls go on.

        Answers may have been lost on it, however it ended: each set-up is released at the exchange, because
        its call may stand there unnoticed.
        """
        remote.connections.remove(connection)
        for number in [number for number, (_, owner) in remote.probes.items() if owner is connection]:
            del remote.probes[number]
            # No evidence about the exchange, as the connection was lost.
            self.core.on_probe_result(remote.address, interface.Outcome.FULL, 0.0)
        for call in [call for call, owner in remote.open_set_ups.items() if owner is connection]:
            del remote.open_set_ups[call]
            remote.unconfirmed.add(call, connection.number, self.loop.now)
            self._send_release(remote, call)
            self._end_set_up(remote.address, call, interface.Outcome.RESET)

    def _fail_queued_set_ups(self, remote: RemoteExchange) -> None:
        """Fails the queued set-ups: no connection came up, so none of them was sent."""
        for call in list(remote.queued_set_ups):
            del remote.queued_set_ups[call]
            self._end_set_up(remote.address, call, interface.Outcome.CONNECT_FAILED)

    def _on_dial_failed(self, remote: RemoteExchange) -> None:
        remote.renewal_due = False
        self._fail_queued_set_ups(remote)
        if remote.was_connected and not remote.connections:
            # It was connected and cannot be dialled now: its process has ended, and with it every call there.
            remote.was_connected = False
            # A set-up that was queued again just now was never sent there.
            self.core.on_exchange_reset(remote.address, sent_before=self.loop.now)

    def _on_connect_timeout(self, remote: RemoteExchange, order: SetUpOrder) -> None:
        if remote.queued_set_ups.get(order.offer.call) is order:
            del remote.queued_set_ups[order.offer.call]
            self._end_set_up(remote.address, order.offer.call, interface.Outcome.CONNECT_FAILED)

    def _send_set_up(self, remote: RemoteExchange, connection: ExchangeConnection, order: SetUpOrder) -> None:
        offer = order.offer
        entry = self.core.context.exchange_table.entries.get(order.address)
        if entry is None or entry.exchange.condition is not interface.Condition.READY:
            # The exchange began to drain while the set-up waited for a connection.
            self._end_set_up(remote.address, offer.call, interface.Outcome.CONNECT_FAILED)
            return
        remote.open_set_ups[offer.call] = connection
        # Repeated from now on, the release of an earlier attempt would end this one.
        remote.unacknowledged.remove(offer.call)
        remote.set_ups_sent_at.append(self.loop.now)
        connection.record_request(self.loop.now, is_set_up=True)
        self.counters["upstream_requests"] += 1
        connection.link.send(
            isup.encode(
                Message(
                    Type.IAM,
                    offer.call,
                    {
                        Code.CLASS: offer.class_name.encode(),
                        Code.WAIT: str(max(1, int(order.timeout_ms))).encode(),
                        Code.NUMBER: offer.number_text.encode(),
                        Code.DESCRIPTION: offer.description,
                    },
                )
            )
        )

    def _write_release(self, remote: RemoteExchange, connection: ExchangeConnection, call: int) -> None:
        connection.link.send(isup.encode(Message(Type.REL, call, {Code.CAUSE: bytes([Cause.NORMAL])})))
        connection.last_release_at = self.loop.now
        remote.unacknowledged.add(call, Cause.NORMAL, connection, self.loop.now)
        remote.unacknowledged.expire(self.loop.now - UNACKNOWLEDGED_MS)

    def _repeat_releases(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        """Sends the releases again that may have been lost with a connection."""
        releases = remote.unacknowledged.take(connection)
        if releases:
            self.counters["releases_repeated"] += len(releases)
            self.log(
                "releases_repeated",
                exchange=remote.address.decode(),
                connection=connection.number,
                calls=[f"{release.call:016x}" for release in releases],
            )
        for release in releases:
            self._send_release(remote, release.call)

    def _send_release(self, remote: RemoteExchange, call: int) -> None:
        connection = remote.connection
        if connection is not None:
            self._write_release(remote, connection, call)
        elif len(remote.pending_releases) < MAX_PENDING_RELEASES:
            remote.pending_releases[call] = None

    # ---- messages from exchanges ----

    def _handle_message(
        self, remote: RemoteExchange, connection: ExchangeConnection, message: Message
    ) -> None:
        connection.drained_message_count += connection.is_draining
        match message.type:
            case Type.ANM:
                self._on_answer(remote, connection, message)
            case Type.REL:
                self._on_release(remote, connection, message)
            case Type.GROUP if connection.is_draining:
                pass  # may be older than the report on the connection in its place
            case Type.GROUP:
                connection.group_report_count += 1
                remote.group_report = remote.subtract_unreported(self._report_values(message), self.loop.now)
                self.core.on_group_change(remote.address, remote.group_report)
            case Type.TESTED:
                self._confirm_releases(remote, connection, message.call)
                self._on_test_result(remote, message)
            case Type.RLC:
                remote.unacknowledged.remove(message.call)
            case Type.ACM:
                pass  # progress: no action
            case _:
                self.counters["messages_unknown"] += 1  # a type that only this side sends

    def _on_answer(self, remote: RemoteExchange, connection: ExchangeConnection, message: Message) -> None:
        """Handles an answer.

        Ignores an answer to an earlier attempt, which arrives on the connection of that attempt, and a
        repeated answer.
        """
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            raise ProtocolError("answer has no description parameter")
        if remote.open_set_ups.get(message.call) is not connection:
            self.counters["late_answers"] += 1
            self._log_ignored(remote, connection, message)
            return
        del remote.open_set_ups[message.call]
        self.core.on_answer(message.call, remote.address, description)

    def _on_release(self, remote: RemoteExchange, connection: ExchangeConnection, message: Message) -> None:
        call = message.call
        cause = message.cause
        may_end_standing_call = cause in (Cause.NORMAL, Cause.TEMPORARY_FAILURE)
        if remote.open_set_ups.get(call) is connection:
            self._on_set_up_released(remote, connection, message)
        elif call in remote.open_set_ups or call in remote.queued_set_ups or not may_end_standing_call:
            # Ends an earlier attempt, or refuses a set-up that was never sent: not the end of a standing
            # call.
            self.counters["ends_unasked"] += 1
            self._log_ignored(remote, connection, message)
        else:
            outcome = interface.Outcome.OK if cause == Cause.NORMAL else interface.Outcome.RESET
            if call in remote.unconfirmed and self.core.stands_at(call, remote.address):
                # It may concern an earlier attempt: what stands is released at the exchange too.
                self.counters["ends_ambiguous"] += 1
                self._send_release(remote, call)
            self.core.on_end(call, remote.address, AttemptEnd(outcome, report=self._report_values(message)))

    def _on_set_up_released(
        self, remote: RemoteExchange, connection: ExchangeConnection, message: Message
    ) -> None:
        """Handles a release of a call whose set-up is out on this connection."""
        call = message.call
        meaning = interpret_release(message, connection.number, remote.unconfirmed)
        if meaning is SetUpRelease.STALE:
            self.counters["ends_stale"] += 1
            self._log_ignored(remote, connection, message)
            return
        end = set_up_end(message, meaning, self._report_values(message))
        del remote.open_set_ups[call]
        if meaning is not SetUpRelease.ENDS_SET_UP:
            is_over = meaning is SetUpRelease.ENDS_CALL
            self.counters["calls_over_unanswered" if is_over else "ends_ambiguous"] += 1
            self._give_up_set_up(remote, connection, call)
        self.core.on_end(call, remote.address, end)

    def _log_ignored(self, remote: RemoteExchange, connection: ExchangeConnection, message: Message) -> None:
        """Logs an answer or a release that concerns no attempt of its connection."""
        owner = remote.open_set_ups.get(message.call)
        self.log(
            "message_ignored",
            exchange=remote.address.decode(),
            connection=connection.number,
            call=f"{message.call:016x}",
            type=Type(message.type).name,
            cause=message.cause if message.type == Type.REL else None,
            open_on=owner.number if owner is not None else None,
        )

    @staticmethod
    def _confirm_releases(remote: RemoteExchange, connection: ExchangeConnection, test_number: int) -> None:
        """Removes the releases that the exchange has read before the test that it answers.

        Exchanges need not acknowledge releases, but they read a connection in order.
        """
        if remote.unacknowledged and test_number == connection.last_test_number:
            remote.unacknowledged.confirm(connection, sent_before=connection.last_test_at)

    def _on_test_result(self, remote: RemoteExchange, message: Message) -> None:
        probe = remote.probes.pop(message.call, None)
        if probe is not None:
            passed = message.cause == 1
            delay_ms = self.loop.now - probe[0]
            remote.min_round_trip_ms = min(remote.min_round_trip_ms, delay_ms)
            outcome = interface.Outcome.OK if passed else interface.Outcome.FULL
            self.core.on_probe_result(remote.address, outcome, delay_ms, self._report_values(message))

    def _on_probe_timeout(self, remote: RemoteExchange, number: int) -> None:
        probe = remote.probes.pop(number, None)
        if probe is not None:
            self.core.on_probe_result(remote.address, interface.Outcome.TIMEOUT, self.loop.now - probe[0])

    def _report_values(self, message: Message) -> tuple[float, ...]:
        """Returns the fields that the settings name, by that name or the platform's; -1 for a missing one."""
        fields = message.report()
        if not fields:
            return ()
        return tuple(
            fields.get(name, fields.get(REPORT_FIELD_ALIASES.get(name, name), -1.0)) for name in self.columns
        )

    def _end_set_up(self, address: bytes, call: int, outcome: interface.Outcome) -> None:
        self.core.on_end(call, address, AttemptEnd(outcome))
        remote = self.remotes.get(address)
        if outcome is interface.Outcome.CONNECT_FAILED and remote is not None and remote.group_report:
            # The set-up took no circuit, but the decision module subtracted one and no report would correct
            # it.
            self.core.on_group_change(address, remote.group_report)

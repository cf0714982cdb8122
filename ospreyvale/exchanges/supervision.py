"""Supervision of the connections to exchanges: tests them, replaces suspect ones, and lets them drain.

`connection.py` has the decisions about one connection.  An exchange sends a release on an open connection and
again on the next one that is opened, so what it sends on a connection must be read to the end, or another one
must be opened after its loss.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from ospreyvale.exchanges.connection import (
    IDLE_BEFORE_CHECK_MS,
    IDLE_BEFORE_CHECK_OF_DRAINING_MS,
    ExchangeConnection,
)
from ospreyvale.exchanges.remote_exchange import MAX_CONNECTIONS, RemoteExchange
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.transport.loop import Loop

CHECK_INTERVAL_MS = 25.0  # between two checks of a connection
MAX_DRAINING_CONNECTIONS = 4  # to one exchange
MIN_DRAIN_MS = 500.0  # before a draining connection is closed for the sake of another one


class ConnectionSupervisor:
    """Watches over the connections to all exchanges.

    Calls `on_lost` once nothing more can be sent on a connection, while it may still be read, and
    `repeat_releases` once what was sent on it may have been lost.
    """

    def __init__(
        self,
        loop: Loop,
        core: Core,
        test_numbers: Iterator[int],
        counters: Counter[str],
        log: Log,
        on_lost: Callable[[RemoteExchange, ExchangeConnection], None],
        repeat_releases: Callable[[RemoteExchange, ExchangeConnection], None],
    ) -> None:
        self.loop = loop
        self.core = core
        self.test_numbers = test_numbers
        self.counters = counters
        self.log = log
        self.on_lost = on_lost
        self.repeat_releases = repeat_releases
        self.draining: dict[ExchangeConnection, RemoteExchange] = {}  # the longest draining first

    def start(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        """Starts the supervision of a new connection, which replaces the others to its exchange."""
        self._replace_others(remote, connection)
        self._check_connection(remote, connection)

    def remove_exchange(self, remote: RemoteExchange) -> None:
        """Closes the draining connections to an exchange that was removed from the list."""
        for connection in self._draining_connections(remote):
            del self.draining[connection]
            connection.link.close()

    def renew_connection(self, remote: RemoteExchange) -> None:
        """Opens another connection in place of a sound one, to receive copies of releases."""
        if remote.connection is not None and len(remote.connections) < MAX_CONNECTIONS:
            self.counters["lines_renewed"] += 1
            remote.client.renew_link()

    def renew_if_due(self, remote: RemoteExchange) -> None:
        """Opens another connection if one was lost while the present one was dialled."""
        if remote.renewal_due:
            remote.renewal_due = False
            self.renew_connection(remote)

    def _replace_others(self, remote: RemoteExchange, successor: ExchangeConnection) -> None:
        """Marks the sound connections that a new one replaces."""
        for connection in remote.connections:
            if connection is not successor and not connection.is_replaced:
                connection.replaced_since = self.loop.now
                connection.is_renewed = True

    def end(self, remote: RemoteExchange, connection: ExchangeConnection, framing_failed: bool) -> None:
        """Handles the end of a connection, whose last message could not be decoded if `framing_failed`."""
        was_draining = self.draining.pop(connection, None) is not None
        if not was_draining and connection not in remote.connections:
            return  # the exchange was removed from the list
        # Everything was received if the exchange has ended its side and this side was still open.
        complete = not (
            framing_failed
            or connection.link.was_reset
            or connection.link.closed
            or connection.reader.has_partial_message
        )
        self.log(
            "exchange_lost",
            exchange=remote.address.decode(),
            connection=connection.number,
            reset=connection.link.was_reset,
            spoilt=framing_failed,
            doubted=connection.is_replaced,
            drained=connection.drained_message_count if was_draining else None,
            complete=complete,
            open=sum(owner is connection for owner in remote.open_set_ups.values()),
        )
        self.counters["exchanges_lost"] += 1
        if not was_draining:
            self.on_lost(remote, connection)
        if was_draining and complete:
            remote.unacknowledged.take(connection)  # the exchange has read to the end of this side
        else:
            self.repeat_releases(remote, connection)
        if not complete and not connection.is_renewed:
            self._recover_releases(remote)

    def _recover_releases(self, remote: RemoteExchange) -> None:
        """Opens another connection if a release that was lost with a connection has no copy on its way.

        An exchange repeats a release on the next connection that is opened.  If the lost connection had been
        replaced before, no other one would be opened.
        """
        if remote.connection is not None:
            self.renew_connection(remote)
        else:
            # A dial in progress may reach the exchange before the loss does.
            remote.renewal_due = remote.client.dialling

    def _draining_connections(self, remote: RemoteExchange) -> list[ExchangeConnection]:
        return [connection for connection, owner in self.draining.items() if owner is remote]

    def free_descriptor(self) -> bool:
        """Closes the connection that has drained for longest; returns False if none can be spared."""
        connection = next(iter(self.draining), None)
        if connection is None or self.loop.now < connection.draining_since + MIN_DRAIN_MS:
            return False
        self._close_draining(connection)
        return True

    def _close_draining(self, connection: ExchangeConnection) -> None:
        self.log(
            "exchange_drain_ended",
            exchange=self.draining.pop(connection).address.decode(),
            connection=connection.number,
        )
        connection.link.close()

    def _check_connection(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        """Tests, replaces and retires a connection; repeats until it is closed.

        All messages sent on a dead connection would be lost, and all that the exchange sends there about
        standing calls.
        """
        if connection.link.closed:
            return
        if connection in remote.connections:
            self._check_open_connection(remote, connection)
        elif connection.has_drain_timed_out(self.loop.now):
            connection.link.close()
        if not connection.link.closed:
            self.loop.call_at(
                self.loop.now + CHECK_INTERVAL_MS, lambda: self._check_connection(remote, connection)
            )

    def _check_open_connection(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        now = self.loop.now
        has_open_set_ups = remote.has_open_set_ups(connection)
        if connection is remote.connection:
            self._check_liveness(remote, connection, has_open_set_ups)
            if len(remote.connections) < MAX_CONNECTIONS and connection.is_unresponsive(
                now, has_open_set_ups
            ):
                self.counters["lines_doubted"] += 1
                self.log("exchange_suspect", exchange=remote.address.decode(), connection=connection.number)
                connection.replaced_since = now
                remote.client.replace_link()
        if connection.has_stalled_message(now):
            self.counters["lines_dead"] += 1
            connection.replaced_since = min(connection.replaced_since, now)
            connection.link.close()
        elif connection.is_dead(now, remote.successor_receives):
            self.counters["lines_dead"] += 1
            self._drain_connection(remote, connection)
            self.repeat_releases(remote, connection)
        elif connection.is_replaced and not has_open_set_ups and remote.connection is not None:
            self._drain_connection(remote, connection)

    def _drain_connection(self, remote: RemoteExchange, connection: ExchangeConnection) -> None:
        """Sends nothing more on a replaced connection, and reads it until the exchange ends its side.

        A release that the exchange sends there is repeated on the next connection that is opened, and the one
        in its place may be open already.
        """
        self.log(
            "exchange_draining",
            exchange=remote.address.decode(),
            connection=connection.number,
            silent=connection.last_received_at <= connection.replaced_since,
            open=sum(owner is connection for owner in remote.open_set_ups.values()),
        )
        self.on_lost(remote, connection)
        others = self._draining_connections(remote)
        if len(others) >= MAX_DRAINING_CONNECTIONS:
            self._close_draining(others[0])
        self.draining[connection] = remote
        connection.start_draining(self.loop.now)

    def _check_liveness(
        self, remote: RemoteExchange, connection: ExchangeConnection, has_open_set_ups: bool
    ) -> None:
        """Tests a silent connection on which releases of calls are due, in either direction.

        Nothing is sent on it otherwise, so that its loss would not be noticed: that of a release that is on
        its way, and that the exchange has no connection for the end of a call.  Where the settings allow no
        tests, another connection is opened in its place.
        """
        may_test = self.core.control.settings.probing
        idle_ms = IDLE_BEFORE_CHECK_MS
        if may_test and not self._is_ready(remote):
            idle_ms = IDLE_BEFORE_CHECK_OF_DRAINING_MS
        if not connection.is_idle(self.loop.now, idle_ms) or not self._awaits_release(remote, connection):
            return
        if may_test:
            connection.send_test(next(self.test_numbers), self.loop.now)
        elif not has_open_set_ups and not remote.client.renewing:
            self.renew_connection(remote)

    def _awaits_release(self, remote: RemoteExchange, connection: ExchangeConnection) -> bool:
        """Returns whether calls stand at the exchange, or a release is the last that happened on it."""
        if remote.address in self.core.context.call_table.standing_by_exchange:
            return True
        return bool(remote.unacknowledged) and connection.last_release_at >= connection.last_received_at

    def _is_ready(self, remote: RemoteExchange) -> bool:
        entry = self.core.context.exchange_table.entries.get(remote.address)
        return entry is not None and entry.exchange.condition is interface.Condition.READY

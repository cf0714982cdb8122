"""One exchange as the port of the platform's binary messages sees it: its connections and open requests."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from ospreyvale.exchanges.connection import ExchangeConnection
from ospreyvale.exchanges.unacknowledged import UnacknowledgedReleases
from ospreyvale.exchanges.unconfirmed import UnconfirmedAttempts
from ospreyvale.routing.state import SetUpOrder
from ospreyvale.transport.reconnecting import ReconnectingClient

MAX_CONNECTIONS = 4  # to one exchange, which reports the state of its group on no more
MAX_KEPT_SET_UP_TIMES = 4_096  # send times of set-ups, for one exchange


class RemoteExchange:
    """One exchange: its connections and its set-ups, releases and probes in progress."""

    def __init__(self, address: bytes, create_client: Callable[[RemoteExchange], ReconnectingClient]) -> None:
        # Identifies the exchange in the core; `client.address` is its network address.
        self.address = address
        # At most MAX_CONNECTIONS, the newest last; without those that drain.
        self.connections: list[ExchangeConnection] = []
        # A release may have been lost while a connection was dialled, which may not receive its copy.
        self.renewal_due = False
        # Set-ups sent and not ended, with their connection.
        self.open_set_ups: dict[int, ExchangeConnection] = {}
        self.unconfirmed = UnconfirmedAttempts()
        self.queued_set_ups: dict[int, SetUpOrder] = {}  # set-ups that wait for a connection
        self.pending_releases: dict[int, None] = {}  # releases that wait for a connection
        self.unacknowledged = UnacknowledgedReleases[ExchangeConnection]()  # releases that were sent
        # Unanswered probes: send time and connection.
        self.probes: dict[int, tuple[float, ExchangeConnection]] = {}
        # Send times of set-ups that reports may not include yet.
        self.set_ups_sent_at: deque[float] = deque(maxlen=MAX_KEPT_SET_UP_TIMES)
        self.min_round_trip_ms = math.inf  # of the fastest test so far
        self.was_connected = False  # since its process was last considered ended
        # Last report of the circuit group, less set-ups in transit, in the order of `IsupExchanges.columns`.
        self.group_report: tuple[float, ...] = ()
        self.client = create_client(self)

    @property
    def connection(self) -> ExchangeConnection | None:
        """The connection for new messages; None while none is up or a replacement is being dialled."""
        return (
            self.connections[-1]
            if self.connections and self.connections[-1].link is self.client.link
            else None
        )

    @property
    def successor_receives(self) -> bool:
        """Whether the connection for new messages has received more than the report that it begins with."""
        return self.connection is not None and self.connection.group_report_count > 1

    def has_open_set_ups(self, connection: ExchangeConnection) -> bool:
        """Returns whether a set-up that was sent on the connection has not ended."""
        return connection in self.open_set_ups.values()

    def subtract_unreported(self, report: tuple[float, ...], now: float) -> tuple[float, ...]:
        """Returns a report with the free circuits reduced by the set-ups that it cannot include.

        The report and a set-up each take half a round trip, so these are the set-ups of the last round trip.
        The decision module would otherwise count circuits as free that they are about to take.
        """
        included_until = now - (self.min_round_trip_ms if self.min_round_trip_ms < math.inf else 0.0)
        while self.set_ups_sent_at and self.set_ups_sent_at[0] <= included_until:
            self.set_ups_sent_at.popleft()
        return (max(0.0, report[0] - len(self.set_ups_sent_at)), *report[1:]) if report else report

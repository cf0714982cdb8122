"""One exchange as the port of the platform's binary messages sees it: its connections and open requests."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from ospreyvale.exchanges.unconfirmed import UnconfirmedAttempts
from ospreyvale.protocol import isup
from ospreyvale.routing.state import SetUpOrder
from ospreyvale.transport.network import Link
from ospreyvale.transport.reconnecting import ReconnectingClient

# A suspect connection that stays silent for so long is dead, if its successor receives reports.
DEAD_AFTER_MS = 120.0
DEAD_WITHOUT_SUCCESSOR_MS = 1_500.0  # the same, if the successor receives none either
# After so long without more of a partial message, the rest will not arrive.
PARTIAL_MESSAGE_TIMEOUT_MS = 150.0
MAX_CONNECTIONS = 4  # to one exchange, which reports the state of its group on no more
MAX_KEPT_SET_UP_TIMES = 4_096  # send times of set-ups, for one exchange


class ExchangeConnection:
    """One connection to an exchange; `number` identifies it in the log."""

    def __init__(self, link: Link, number: int, now: float) -> None:
        self.link = link
        self.number = number
        self.reader = isup.Reader()
        self.connected_at = self.last_received_at = now
        self.group_report_count = 0  # reports of the circuit group received on this connection
        # Times in Unix milliseconds; infinity: none, or not suspect.
        self.set_up_pending_since = math.inf  # first set-up sent since anything was received
        self.response_pending_since = math.inf  # first set-up or test sent since anything was received
        self.suspect_since = math.inf

    def record_receipt(self, now: float) -> None:
        """Records that data was received."""
        self.last_received_at = now
        self.set_up_pending_since = self.response_pending_since = math.inf

    def record_request(self, now: float, is_set_up: bool) -> None:
        """Records that a set-up or a test was sent."""
        self.response_pending_since = min(self.response_pending_since, now)
        if is_set_up:
            self.set_up_pending_since = min(self.set_up_pending_since, now)


class RemoteExchange:
    """One exchange: its connections and its set-ups, releases and probes in progress."""

    def __init__(self, address: bytes, create_client: Callable[[RemoteExchange], ReconnectingClient]) -> None:
        # Identifies the exchange in the core; `client.address` is its network address.
        self.address = address
        self.connections: list[ExchangeConnection] = []  # at most MAX_CONNECTIONS, the newest last
        # Set-ups sent and not ended, with their connection.
        self.open_set_ups: dict[int, ExchangeConnection] = {}
        self.unconfirmed = UnconfirmedAttempts()
        self.queued_set_ups: dict[int, SetUpOrder] = {}  # set-ups that wait for a connection
        self.pending_releases: dict[int, None] = {}  # releases that wait for a connection
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

    def is_dead(self, connection: ExchangeConnection, now: float) -> bool:
        """Returns whether a partial message has stalled, or a suspect connection was silent for too long."""
        if (
            connection.reader.has_partial_message
            and now > connection.last_received_at + PARTIAL_MESSAGE_TIMEOUT_MS
        ):
            return True
        if connection.suspect_since == math.inf or connection.last_received_at > connection.suspect_since:
            return False
        # Each new connection begins with a report; later reports go to every open connection.
        successor_receives = self.connection is not None and self.connection.group_report_count > 1
        return now > connection.suspect_since + (
            DEAD_AFTER_MS if successor_receives else DEAD_WITHOUT_SUCCESSOR_MS
        )

    def subtract_unreported(self, report: tuple[float, ...], now: float) -> tuple[float, ...]:
        """Returns a report with the free circuits reduced by the set-ups that it cannot include.

        The report and a set-up each take half a round trip, so these are the set-ups of the last round trip.
        The decision module would otherwise count circuits as free that they are about to take.
        """
        included_until = now - (self.min_round_trip_ms if self.min_round_trip_ms < math.inf else 0.0)
        while self.set_ups_sent_at and self.set_ups_sent_at[0] <= included_until:
            self.set_ups_sent_at.popleft()
        return (max(0.0, report[0] - len(self.set_ups_sent_at)), *report[1:]) if report else report

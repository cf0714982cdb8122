"""The client of the discovery bus: follows the list of exchanges by offset, across lost connections."""

from __future__ import annotations

from collections.abc import Callable

from ospreyvale.protocol import eventbus
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.routing.context import Log
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, Dialer
from ospreyvale.transport.reconnecting import ReconnectingClient

# The bus sends a heartbeat frame each second.  An event counts as delivered 4 s after the bus fell silent, or
# 2 s after the connection broke, whether it arrived or not.  A silent connection is therefore replaced well
# before that, and a broken one is dialled again at short intervals.
SILENCE_TIMEOUT_MS = 1_800.0
CHECK_INTERVAL_MS = 200.0
MAX_REDIAL_PAUSE_MS = 200.0


class DiscoveryClient:
    """Keeps one connection to the bus and calls `on_event` with every event that is newer than the last one.

    `offset` is the number of the last event received; the bus continues after it on each new connection.
    """

    def __init__(
        self,
        dialer: Dialer,
        address: Address,
        connect_timeout_ms: float,
        offset: int,
        on_event: Callable[[eventbus.Event], None],
        log: Log,
    ) -> None:
        self.dialer = dialer
        self.loop = dialer.loop
        self.connect_timeout_ms = connect_timeout_ms
        self.offset = offset
        self.on_event = on_event
        self.log = log
        self.client = self._create_client(address)

    def change_address(self, address: Address) -> None:
        """Closes the connection to the old address and connects to the new one.

        The event stream continues after the last event received.
        """
        if address != self.client.address:
            self.client.close()
            self.client = self._create_client(address)

    def _create_client(self, address: Address) -> ReconnectingClient:
        # Urgent: when one loop turn delivers a drain and set-ups that it forbids, the drain is read first.
        return ReconnectingClient(
            self.dialer,
            address,
            self.connect_timeout_ms,
            self._serve,
            lambda: self.log("bus_unreachable"),
            high_priority=True,
            max_retry_delay_ms=MAX_REDIAL_PAUSE_MS,
        )

    def _serve(self, link: Link) -> Coroutine:
        reader = eventbus.Reader()
        last_received_at = [self.loop.now]
        link.send(eventbus.encode_subscribe(self.offset))
        self._check_silence(link, last_received_at)
        while data := (yield from link.receive()):
            last_received_at[0] = self.loop.now
            try:
                for event in reader.feed(data):
                    self._handle_event(event)
            except ProtocolError as error:
                self.log("protocol_error", wire="bus", why=str(error))
                return

    def _handle_event(self, event: eventbus.Event) -> None:
        if event.kind is not eventbus.FrameKind.HEARTBEAT and event.offset > self.offset:
            self.offset = event.offset
            self.on_event(event)

    def _check_silence(self, link: Link, last_received_at: list[float]) -> None:
        """Closes a connection that stays open but delivers nothing, such as one to a lost machine."""
        if link.closed:
            return
        if self.loop.now > last_received_at[0] + SILENCE_TIMEOUT_MS:
            self.log("bus_silent")
            link.close()
        else:
            self.loop.call_at(
                self.loop.now + CHECK_INTERVAL_MS, lambda: self._check_silence(link, last_received_at)
            )

"""M3UA associations (RFC 4666) over TCP: ASP states and heartbeats, for the client and the server side."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

from ospreyvale.protocol import m3ua
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.m3ua import Kind, Message, Tag
from ospreyvale.transport.connection import Link


class AspState(Enum):
    """State of the application server process (RFC 4666, 4.3.1)."""

    DOWN = "down"
    INACTIVE = "inactive"
    ACTIVE = "active"


class Association:
    """Message handling common to both sides; the ASP state decides which messages are accepted."""

    def __init__(self, link: Link, on_data: Callable[[m3ua.RoutingLabel, m3ua.IsupMessage], None]) -> None:
        self.link = link
        self.on_data = on_data
        self.state = AspState.DOWN
        self.reader = m3ua.Reader()
        self.unexpected_data_count = 0  # DATA messages received while the ASP was not active
        # All messages received, and DATA messages that could not be decoded.
        self.message_count = self.malformed_data_count = 0

    @property
    def active(self) -> bool:
        """Whether the ASP is active and the connection is open."""
        return self.state is AspState.ACTIVE and not self.link.closed

    def send(self, routing_label: m3ua.RoutingLabel, message: m3ua.IsupMessage) -> bool:
        """Sends an ISUP message; returns False when the ASP is not active or the connection is closed."""
        return self.active and self.link.send(m3ua.encode_data(routing_label, message))

    def feed(self, data: bytes) -> Iterator[None]:
        """Handles received bytes, one message at each step.

        Raises ProtocolError on a framing error; the caller then closes the connection.
        """
        for message in self.reader.feed(data):
            self._handle_message(message)
            yield

    def _handle_message(self, message: Message) -> None:
        self.message_count += 1
        if message.kind == Kind.BEAT:
            self.link.send(m3ua.encode(Kind.BEAT_ACK, *message.parameters))
        elif message.kind == Kind.DATA and self.state is not AspState.ACTIVE:
            # No traffic is accepted before ASPAC: the sender gets ERR, and no call is set up.
            self.unexpected_data_count += 1
            self.link.send(m3ua.encode_error(m3ua.ErrorCode.UNEXPECTED_MESSAGE))
        elif message.kind == Kind.DATA:
            self._handle_data(message)
        else:
            self._handle_management(message)

    def _handle_data(self, message: Message) -> None:
        """Handles DATA; a malformed field rejects this message only, as the framing is still intact."""
        try:
            routing_label, isup_message = m3ua.decode_data(message)
        except ProtocolError:
            self.malformed_data_count += 1
            self.link.send(m3ua.encode_error(m3ua.ErrorCode.PROTOCOL_ERROR))
            return
        self.on_data(routing_label, isup_message)

    def _handle_management(self, message: Message) -> None:
        """Handles a message other than DATA and BEAT."""
        raise NotImplementedError


# The state that each request of the peer's ASP leads to, and the acknowledgement.
_STATE_CHANGES = {
    Kind.ASPUP: (AspState.INACTIVE, Kind.ASPUP_ACK),
    Kind.ASPDN: (AspState.DOWN, Kind.ASPDN_ACK),
    Kind.ASPAC: (AspState.ACTIVE, Kind.ASPAC_ACK),
    Kind.ASPIA: (AspState.INACTIVE, Kind.ASPIA_ACK),
}


class ServerAssociation(Association):
    """The signalling gateway's side: the peer's ASP comes up and becomes active at its own request.

    While `is_blocked` returns True, ASPAC is refused with the error "Management Blocking".
    """

    def __init__(
        self,
        link: Link,
        on_data: Callable[[m3ua.RoutingLabel, m3ua.IsupMessage], None],
        on_state_change: Callable[[], None],
        is_blocked: Callable[[], bool],
    ) -> None:
        super().__init__(link, on_data)
        self.on_state_change = on_state_change
        self.is_blocked = is_blocked

    def _handle_management(self, message: Message) -> None:
        change = next((change for kind, change in _STATE_CHANGES.items() if kind == message.kind), None)
        if change is None:
            if message.kind not in (Kind.BEAT_ACK, Kind.ERR, Kind.NTFY):
                self.link.send(m3ua.encode_error(m3ua.ErrorCode.UNSUPPORTED_TYPE))
            return
        if message.kind in (Kind.ASPAC, Kind.ASPIA) and self.state is AspState.DOWN:
            self.link.send(m3ua.encode_error(m3ua.ErrorCode.UNEXPECTED_MESSAGE))
            return
        if message.kind == Kind.ASPAC and self.is_blocked():
            self.link.send(m3ua.encode_error(m3ua.ErrorCode.MANAGEMENT_BLOCKING))
            return
        self.state, answer = change
        context = message.get(Tag.ROUTING_CONTEXT)
        self.link.send(m3ua.encode(answer, *([(Tag.ROUTING_CONTEXT, context)] if context else [])))
        self.on_state_change()


class ClientAssociation(Association):
    """The application server's side: sends ASPUP, then ASPAC once that is acknowledged.

    `on_notify` is called with True or False when NTFY states that the AS is active or inactive.
    """

    def __init__(
        self,
        link: Link,
        on_data: Callable[[m3ua.RoutingLabel, m3ua.IsupMessage], None],
        on_state_change: Callable[[], None],
        on_notify: Callable[[bool], None],
        on_beat_ack: Callable[[int], None],
    ) -> None:
        super().__init__(link, on_data)
        self.on_state_change = on_state_change
        self.on_notify = on_notify
        self.on_beat_ack = on_beat_ack
        self.last_received_at = 0.0  # Unix milliseconds
        self.former_calls: dict[int, int] = {}  # calls by CIC when it began to drain
        link.send(m3ua.encode(Kind.ASPUP))

    def send_beat(self, number: int) -> None:
        """Sends a heartbeat with `number`, which the acknowledgement returns to `on_beat_ack`."""
        self.link.send(m3ua.encode(Kind.BEAT, (Tag.HEARTBEAT_DATA, number.to_bytes(8, "big"))))

    def _handle_management(self, message: Message) -> None:
        match message.kind:
            case Kind.ASPUP_ACK if self.state is AspState.DOWN:
                self.state = AspState.INACTIVE
                self.link.send(m3ua.encode(Kind.ASPAC))
            case Kind.ASPAC_ACK if self.state is AspState.INACTIVE:
                self.state = AspState.ACTIVE
                self.on_state_change()
            case Kind.ASPIA_ACK | Kind.ASPDN_ACK:
                self.state = AspState.DOWN
                self.on_state_change()
            case Kind.BEAT_ACK:
                self.on_beat_ack(int.from_bytes((message.get(Tag.HEARTBEAT_DATA) or b"")[:8], "big"))
            case Kind.NTFY:
                status = message.get(Tag.STATUS)
                if status in (m3ua.AS_INACTIVE, m3ua.AS_ACTIVE):
                    self.on_notify(status == m3ua.AS_ACTIVE)
            case _:
                pass  # ERR, a repeated acknowledgement, or an unknown message: no action

"""HTTP server for operators, with a table of routes, and a reader of HTTP messages for client and server."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import h11

from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Signal
from ospreyvale.transport.network import Dialer

REQUEST_TIMEOUT_MS = 2_000.0  # of one request, as server or as client
MAX_INCOMPLETE_CONNECTIONS = 12  # connections without a complete request


def read_message(
    link: Link, connection: h11.Connection
) -> Generator[Signal, None, tuple[h11.Event, bytes] | None]:
    """Returns the peer's next request or response with its body; None if the connection ends first.

    Raises ProtocolError if the body exceeds MAX_MESSAGE_BYTES, and h11.RemoteProtocolError for malformed
    HTTP.
    """
    head: h11.Event | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = yield from link.receive()
            if not data and link.closed:
                return None
            connection.receive_data(data)
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_MESSAGE_BYTES:
                raise ProtocolError("HTTP body exceeds 16 KiB")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, bytes(body)
        elif not isinstance(event, h11.InformationalResponse):
            return None


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request: a status, and JSON or an empty body."""

    status: int
    body: bytes = b""


# Handlers by path and method; each is called with the body or the query.
Routes = Mapping[bytes, Mapping[bytes, Callable[[bytes], Reply]]]


class HttpFront:
    """Serves one request on each connection, by a table of routes.

    At most `MAX_INCOMPLETE_CONNECTIONS` may be without a complete request; beyond that the oldest of them is
    closed.  Clients that hold connections and never complete a request thus cannot keep out others.
    """

    def __init__(self, dialer: Dialer, routes: Routes, counters: Counter[str]) -> None:
        self.loop = dialer.loop
        self.routes = routes
        self.counters = counters
        # Connections without a complete request, oldest first.
        self.incomplete: OrderedDict[Link, None] = OrderedDict()

    def free_descriptor(self) -> bool:
        """Closes the oldest connection without a complete request; returns False if there is none."""
        if not self.incomplete:
            return False
        self.incomplete.popitem(last=False)[0].close()
        self.counters["calls_given_up"] += 1
        return True

    def serve(self, link: Link) -> Coroutine:
        """Serves one request, for at most REQUEST_TIMEOUT_MS, and closes the connection."""
        if len(self.incomplete) >= MAX_INCOMPLETE_CONNECTIONS:
            self.free_descriptor()
        self.incomplete[link] = None
        timeout = self.loop.call_at(self.loop.now + REQUEST_TIMEOUT_MS, link.close)
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_MESSAGE_BYTES)
        try:
            received = yield from read_message(link, connection)
            if received is not None and isinstance(received[0], h11.Request):
                self._send_reply(link, connection, *self._dispatch(received[0], received[1]))
        except (h11.RemoteProtocolError, ProtocolError):
            self.counters["protocol_errors"] += 1
            self._send_reply(link, connection, Reply(400))
        timeout.cancel()
        self.incomplete.pop(link, None)
        link.close()

    def _dispatch(self, request: h11.Request, body: bytes) -> tuple[Reply, str]:
        """Calls the handler of the request and returns the reply.

        Also returns the allowed methods, if the request used another one.
        """
        path, _, query = request.target.partition(b"?")
        methods = self.routes.get(path)
        if methods is None:
            return Reply(404), ""
        handler = methods.get(request.method)
        return (Reply(405), b", ".join(methods).decode()) if handler is None else (handler(body or query), "")

    @staticmethod
    def _send_reply(link: Link, connection: h11.Connection, reply: Reply, allowed_methods: str = "") -> None:
        head = h11.Response(
            status_code=reply.status,
            reason=HTTPStatus(reply.status).phrase,
            headers=[
                *([("Allow", allowed_methods)] if allowed_methods else []),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(reply.body))),
                ("Connection", "close"),
            ],
        )
        for event in (head, h11.Data(data=reply.body), h11.EndOfMessage()):
            link.send(connection.send(event) or b"")

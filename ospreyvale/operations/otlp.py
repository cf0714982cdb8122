"""Export of the metrics: on request over HTTP, and at an interval over OTLP/HTTP with JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Generator, Mapping

import h11
import orjson

from ospreyvale.fronts.http import REQUEST_TIMEOUT_MS, Reply, Routes, read_message
from ospreyvale.operations.metrics import GAUGES
from ospreyvale.protocol import otlp
from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError
from ospreyvale.routing.context import Log
from ospreyvale.settings.edge import OtlpConfig
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Signal
from ospreyvale.transport.network import Address, Dialer

MetricsReader = Callable[[], Mapping[str, int]]


def counters_routes(read_metrics: MetricsReader) -> Routes:
    """Returns the route of `GET /counters`, served at the address of the document's `counters` node."""
    return {
        b"/counters": {
            b"GET": lambda _: Reply(200, orjson.dumps(dict(read_metrics()), option=orjson.OPT_APPEND_NEWLINE))
        }
    }


class OtlpExporter:
    """Posts the metrics to a collector at an interval, one export at a time and without delaying calls."""

    def __init__(
        self,
        dialer: Dialer,
        config: OtlpConfig,
        endpoint: Address,
        node: str,
        read_metrics: MetricsReader,
        counters: Counter[str],
        log: Log,
    ) -> None:
        self.dialer = dialer
        self.loop = dialer.loop
        self.config = config
        self.endpoint = endpoint
        self.node = node
        self.read_metrics = read_metrics
        self.counters = counters
        self.log = log
        self.started_at = self.loop.now
        self.exporting = False
        self.loop.call_at(self.loop.now + config.interval_ms, self._on_interval)

    def _on_interval(self) -> None:
        self.loop.call_at(self.loop.now + self.config.interval_ms, self._on_interval)
        # Skipped, not queued, for a slow collector: the sums are cumulative, so no counts are lost.
        if self.exporting:
            self.counters["otlp_skipped"] += 1
            return
        self.exporting = True
        self.loop.spawn(self._export())

    def _export(self) -> Coroutine:
        link = yield from self.dialer.dial(self.endpoint, REQUEST_TIMEOUT_MS)
        failure = "no connection"
        if link is not None:
            timeout = self.loop.call_at(self.loop.now + REQUEST_TIMEOUT_MS, link.close)
            try:
                failure = yield from self._post(link)
            except (h11.RemoteProtocolError, ProtocolError) as error:
                failure = str(error)
            timeout.cancel()
            link.close()
        self.exporting = False
        self.counters["otlp_failed" if failure else "otlp_exported"] += 1
        if failure:
            self.log("otlp_failed", why=failure)

    def _post(self, link: Link) -> Generator[Signal, None, str]:
        """Sends one export and returns the reason why it failed, or an empty string."""
        body = otlp.encode_metrics(self.read_metrics(), GAUGES, self.node, self.started_at, self.loop.now)
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_MESSAGE_BYTES)
        request = h11.Request(
            method="POST",
            target=self.config.path,
            headers=[
                ("Host", f"{self.endpoint[0]}:{self.endpoint[1]}"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
            ],
        )
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            link.send(connection.send(event) or b"")
        response = yield from read_message(link, connection)
        if response is None or not isinstance(response[0], h11.Response):
            return "no answer"
        if response[0].status_code != 200:
            return f"status {response[0].status_code}"
        rejected = otlp.rejected_points(response[1])
        return f"{rejected} points rejected" if rejected else ""

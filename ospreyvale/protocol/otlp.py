"""Codec of OTLP metrics as JSON (ExportMetricsServiceRequest and -Response of OTLP 1.x over HTTP)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from ospreyvale.protocol.errors import ProtocolError

CUMULATIVE = 2  # AGGREGATION_TEMPORALITY_CUMULATIVE


def encode_metrics(
    values: Mapping[str, int], gauges: frozenset[str], node: str, start_ms: float, now_ms: float
) -> bytes:
    """Encodes one export: a cumulative sum since `start_ms` for each value that is not a gauge."""
    timestamps = {"startTimeUnixNano": _nanoseconds(start_ms), "timeUnixNano": _nanoseconds(now_ms)}
    encoded_metrics: list[dict[str, Any]] = []
    for name, value in sorted(values.items()):
        # The JSON mapping of OTLP writes 64-bit integers as strings.
        points = [{**timestamps, "asInt": str(value)}]
        encoded_value: dict[str, Any] = (
            {"gauge": {"dataPoints": points}}
            if name in gauges
            else {"sum": {"dataPoints": points, "aggregationTemporality": CUMULATIVE, "isMonotonic": True}}
        )
        encoded_metrics.append({"name": f"ospreyvale.{name}", **encoded_value})
    resource = {
        "attributes": [
            _string_attribute("service.name", "ospreyvale"),
            _string_attribute("service.instance.id", node),
        ]
    }
    return orjson.dumps(
        {
            "resourceMetrics": [
                {
                    "resource": resource,
                    "scopeMetrics": [{"scope": {"name": "ospreyvale"}, "metrics": encoded_metrics}],
                }
            ]
        }
    )


def rejected_points(body: bytes) -> int:
    """Returns the number of data points that the collector's response reports as rejected (`partialSuccess`).

    Raises ProtocolError if the response is malformed.
    """
    if not body:
        return 0
    try:
        partial = orjson.loads(body).get("partialSuccess") or {}
        return int(partial.get("rejectedDataPoints", 0))
    except (orjson.JSONDecodeError, AttributeError, TypeError, ValueError):
        raise ProtocolError("the collector's answer is not an ExportMetricsServiceResponse") from None


def _nanoseconds(milliseconds: float) -> str:
    return str(round(milliseconds) * 1_000_000)


def _string_attribute(key: str, value: str) -> dict[str, Any]:
    return {"key": key, "value": {"stringValue": value}}

"""`deploy/edge.toml`: what is beside the platform's port.  All of it is off there."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ospreyvale.settings.config import ConfigError, address
from ospreyvale.transport.network import Address

LARGEST_CIC = 4_095


@dataclass(frozen=True, slots=True)
class M3uaExchange:
    """An exchange that is reached over M3UA."""

    number: int
    address: Address
    point_code: int
    circuits: int


@dataclass(frozen=True, slots=True)
class M3uaConfig:
    """The M3UA front."""

    listen: Address | None
    point_code: int
    prefix: int  # so many digits of the called number name the exchange
    circuits: int  # CICs that a peer may use
    exchanges: tuple[M3uaExchange, ...]


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """Where the counters are exported to."""

    endpoint: Address | None
    path: str
    interval_ms: float


@dataclass(frozen=True, slots=True)
class Edge:
    """All of the file."""

    m3ua: M3uaConfig
    otlp: OtlpConfig
    counters: Address | None


class _Table:
    """Typed look-ups; a wrong value is reported by its path."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{path} is not a table")
        self.values, self.path = values, path

    def part(self, key: str) -> _Table:
        return _Table(self.values.get(key, {}), f"{self.path}.{key}")

    def whole(self, key: str, missing: int, most: int, least: int = 0) -> int:
        value = self.values.get(key, missing)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ConfigError(f"{self.path}.{key} is not a whole number from {least} to {most}")
        return int(value)

    def address(self, key: str) -> Address | None:
        value = self.values.get(key, "")
        return address(value, f"{self.path}.{key}") if value else None


def read_edge(path: Path) -> Edge:
    """The file's contents, checked."""
    try:
        values = tomllib.loads(path.read_text())
    except OSError as error:
        raise ConfigError(f"{path.name} cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path.name} is not TOML: {error}") from None
    return edge_from(values, path.name)


def edge_from(values: Any, name: str) -> Edge:
    """The settings in the file's tables."""
    top = _Table(values, name)
    m3ua, otlp = top.part("m3ua"), top.part("otlp")
    entries = m3ua.values.get("exchange", [])
    if not isinstance(entries, list):
        raise ConfigError(f"{m3ua.path}.exchange is not a list of tables")
    exchanges = [_exchange(_Table(entry, f"{m3ua.path}.exchange[{place}]"))
                 for place, entry in enumerate(entries)]
    if len({exchange.number for exchange in exchanges}) < len(exchanges):
        raise ConfigError(f"{m3ua.path}.exchange has a number twice")
    endpoint = otlp.values.get("path", "/v1/metrics")
    if not isinstance(endpoint, str) or not endpoint.startswith("/"):
        raise ConfigError(f"{otlp.path}.path is not a path")
    return Edge(
        M3uaConfig(m3ua.address("listen"), m3ua.whole("point_code", 1, 0xFFFFFF),
                   m3ua.whole("prefix", 2, 16, 1), m3ua.whole("circuits", 30, LARGEST_CIC, 1),
                   tuple(exchanges)),
        OtlpConfig(otlp.address("endpoint"), endpoint,
                   float(otlp.whole("interval_ms", 5_000, 3_600_000, 100))),
        top.part("counters").address("listen"))


def _exchange(entry: _Table) -> M3uaExchange:
    target = entry.address("address")
    if target is None:
        raise ConfigError(f"{entry.path}.address is missing")
    return M3uaExchange(entry.whole("number", -1, 65_535), target, entry.whole("point_code", -1, 0xFFFFFF),
                        entry.whole("circuits", 30, LARGEST_CIC, 1))

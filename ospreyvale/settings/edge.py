"""The operator's document `deploy/edge.kdl`: everything that the platform's configuration does not cover.

The delivered file leaves all of it off.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from ospreyvale.settings.devices import DevicesConfig, parse_devices_config
from ospreyvale.settings.document import NodeReader, parse_document, read_document
from ospreyvale.settings.timing import parse_policy
from ospreyvale.timing.policy import Policy, SiteRules
from ospreyvale.transport.network import Address

MAX_CIC = 4_095  # a CIC has 12 bits (ITU-T Q.763)
LOG_LEVELS = ("debug", "info", "warning", "error")
RESERVED_LOG_FIELDS = ("ts", "node", "event", "level")


@dataclass(frozen=True, slots=True)
class M3uaExchange:
    """An exchange that is connected over M3UA."""

    number: int
    address: Address
    point_code: int
    circuits: int  # CICs from 1 to this


@dataclass(frozen=True, slots=True)
class M3uaConfig:
    """The M3UA side: our address and point code, and the exchanges."""

    listen: Address | None  # None: no peer can connect
    point_code: int
    prefix_digits: int  # leading digits of the called number that select the exchange
    max_cic: int  # a peer may use the CICs from 1 to this
    exchanges: tuple[M3uaExchange, ...]


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """Export of the counters over OTLP."""

    endpoint: Address | None  # None: off
    path: str
    interval_ms: float  # between exports


@dataclass(frozen=True, slots=True)
class LogConfig:
    """The event log with levels; without the `log` node every event is written unchanged."""

    level: str  # lowest level that is written
    suppressed_events: frozenset[str]
    extra_fields: tuple[tuple[str, str], ...]  # written on every line


@dataclass(frozen=True, slots=True)
class EdgeConfig:
    """The settings of all nodes of the document."""

    m3ua: M3uaConfig
    otlp: OtlpConfig
    counters_listen: Address | None  # of the HTTP port for the counters; None: off
    timing_policy: Policy | None = None
    log: LogConfig | None = None
    devices: DevicesConfig | None = None


def read_edge_config(path: Path, site: SiteRules) -> EdgeConfig:
    """Reads and checks the file; raises DocumentError with every reason to refuse it."""
    return parse_edge_config(read_document(path), path.name, site, path.parent)


def parse_edge_config(text: str, file: str, site: SiteRules, folder: Path = Path()) -> EdgeConfig:
    """Parses a document; raises DocumentError with every reason to refuse it.

    `file` is its name in the reasons.  Files that the document names are looked up in `folder`.
    """
    top, problems = parse_document(text, file)
    m3ua = _parse_m3ua(top.child("m3ua"))
    exchanges = {*site.exchanges, *(exchange.number for exchange in m3ua.exchanges)}
    timing_policy = parse_policy(top, problems, replace(site, exchanges=tuple(sorted(exchanges))), text)
    edge = EdgeConfig(
        m3ua,
        _parse_otlp(top.child("otlp")),
        _parse_counters(top.child("counters")),
        timing_policy,
        _parse_log(top.child("log")),
        parse_devices_config(top.child("devices"), folder),
    )
    top.reject_unknown()
    problems.raise_if_any()
    return edge


def _parse_m3ua(node: NodeReader | None) -> M3uaConfig:
    if node is None:
        return M3uaConfig(None, 1, 2, 30, ())
    exchanges = [_parse_exchange(child) for child in node.children("exchange")]
    if len({exchange.number for exchange in exchanges}) < len(exchanges):
        node.add_problem("has an exchange's number twice")
    config = M3uaConfig(
        node.address("listen") if node.has_property("listen") else None,
        node.integer("point-code", 0, 0xFFFFFF, 1),
        node.integer("prefix", 1, 16, 2),
        node.integer("circuits", 1, MAX_CIC, 30),
        tuple(exchanges),
    )
    node.reject_unknown()
    return config


def _parse_exchange(node: NodeReader) -> M3uaExchange:
    number = node.argument("the number of an exchange")
    if not isinstance(number, int) or not 0 <= number <= 0xFFFF:
        node.add_problem("is not the number of an exchange; allowed: a whole number from 0 to 65535")
        number = 0
    exchange = M3uaExchange(
        number,
        node.address("address"),
        node.integer("point-code", 0, 0xFFFFFF),
        node.integer("circuits", 1, MAX_CIC, 30),
    )
    node.reject_unknown()
    return exchange


def _parse_otlp(node: NodeReader | None) -> OtlpConfig:
    if node is None:
        return OtlpConfig(None, "/v1/metrics", 5_000.0)
    path = node.text("path", "/v1/metrics")
    if not path.startswith("/"):
        node.add_problem(f'path is "{path}"; allowed: one that begins with /')
    config = OtlpConfig(
        node.address("endpoint"), path, float(node.integer("interval-ms", 100, 3_600_000, 5_000))
    )
    node.reject_unknown()
    return config


def _parse_counters(node: NodeReader | None) -> Address | None:
    if node is None:
        return None
    listen = node.address("listen")
    node.reject_unknown()
    return listen


def _parse_log(node: NodeReader | None) -> LogConfig | None:
    if node is None:
        return None
    level = node.text("level", "info")
    if level not in LOG_LEVELS:
        node.add_problem(f'level is "{level}"; allowed: {", ".join(LOG_LEVELS)}')
    suppressed_events = set()
    extra_fields = {}
    for child in node.children("without"):
        suppressed_events.add(str(child.argument("the name of an event")))
        child.reject_unknown()
    for child in node.children("field"):
        name = child.argument("a name")
        value = child.argument("a text")
        if name in RESERVED_LOG_FIELDS:
            child.add_problem(f'"{name}" is written by the log itself; allowed: another name')
        extra_fields[str(name)] = str(value)
        child.reject_unknown()
    node.reject_unknown()
    return LogConfig(level, frozenset(suppressed_events), tuple(sorted(extra_fields.items())))

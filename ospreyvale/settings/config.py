"""Configuration that the platform passes to a session controller, checked at the start."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ospreyvale.protocol import eventbus
from ospreyvale.routing import interface
from ospreyvale.routing.settings import Params, build_settings
from ospreyvale.transport.network import Address

DEFAULT_CONNECT_TIMEOUT_MS = 500.0
DEFAULT_DRAIN_GRACE_MS = 250.0


class ConfigError(ValueError):
    """Invalid configuration; the text names the field."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one session controller."""

    name: str
    listen: Address  # for callers over SIP
    discovery_address: Address  # of the bus that lists the exchanges
    max_sockets: int  # limit of open descriptors (RLIMIT_NOFILE)
    known_events: tuple[eventbus.Event, ...]  # discovery events up to the start
    discovery_offset: int  # of the last of them
    settings: interface.Settings
    class_names: tuple[str, ...]  # of the call classes, in the order of `settings.classes`
    report_columns: tuple[str, ...]  # names of the values of a circuit group report, in their order
    connect_timeout_ms: float  # of connections to exchanges and to discovery
    drain_grace_ms: float  # set-ups may be sent to an exchange for this long after it began to drain
    customers: tuple[str, ...]  # accepted customer names; empty: any
    max_circuits_per_call: int  # largest number of circuits that one call may request
    admin: Address | None  # of the admin HTTP interface; None: off
    zones: tuple[str, ...] = ()  # names; exchanges refer to them by index

    @property
    def exchanges(self) -> tuple[int, ...]:
        """The numbers of the exchanges listed at the start."""
        return tuple({target.cell for event in self.known_events for target in event.targets})


def parse_address(text: Any, name: str) -> Address:
    """Parses `127.0.0.1:5070` into host and port; raises ConfigError with the field's name."""
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError):
        raise ConfigError(f"{name} is not an address and a port") from None
    if not 0 <= number < 65_536:
        raise ConfigError(f"{name} has a port out of range")
    return host, number


def read_config(environment: dict[str, str]) -> Config:
    """Reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_ADMIN override its fields.

    Raises ConfigError if the file cannot be read or is not valid.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        values = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG is not JSON: {error}") from None
    if not isinstance(values, dict):
        raise ConfigError("LB_CONFIG is not a JSON object")
    for name in ("name", "listen", "admin"):
        values[name] = environment.get(f"LB_{name.upper()}") or values.get(name)
    return parse_config(values)


def parse_config(values: dict[str, Any]) -> Config:
    """Builds the configuration from its JSON object.

    Raises ConfigError, which names the first invalid field.
    """
    for name in ("name", "listen", "bus", "known", "settings"):
        if not values.get(name):
            raise ConfigError(f"{name} is missing")
    try:
        top = Params(values, "configuration")
        params = Params(values["settings"], "settings")
        services = [
            Params(entry, f"settings.Services[{index}]")
            for index, entry in enumerate(params.list_of("Services", dict))
        ]
        seed = int(str(values.get("seed", "0")), 16)
        settings = build_settings(params, seed)
        limits = params.section("Limits")
        contract = params.section("Contract")
        max_sockets = int(top.section("limits").number("sockets", 1024))
        report_columns = tuple(params.section("Report").list_of("Columns", str))
        connect_timeout_ms = limits.number("ConnectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS)
        drain_grace_ms = contract.number("DrainGraceMs", DEFAULT_DRAIN_GRACE_MS)
        zones = params.list_of("Zones", str)
        customers = tuple(str(realm.get("Name")) for realm in params.list_of("Realms", dict))
        max_circuits_per_call = max(
            (int(width) for width in params.section("Specifics").list_of("ClassWidth", int)), default=64
        )
    except ValueError as error:
        raise ConfigError(str(error)) from None
    for index, service in enumerate(services):
        if not isinstance(service.values.get("Name"), str):
            raise ConfigError(f"settings.Services[{index}].Name is not a text")
    known_events = _parse_known_events(values["known"], zones)
    return Config(
        str(values["name"]),
        parse_address(values["listen"], "listen"),
        parse_address(values["bus"], "bus"),
        max_sockets,
        known_events,
        int(values["known"].get("offset", known_events[-1].offset if known_events else 0)),
        settings,
        tuple(service.values["Name"] for service in services),
        report_columns,
        connect_timeout_ms,
        drain_grace_ms,
        customers,
        max_circuits_per_call,
        parse_address(values["admin"], "admin") if values.get("admin") else None,
        tuple(zones),
    )


def _parse_known_events(known: Any, zones: list[str]) -> tuple[eventbus.Event, ...]:
    """Parses the discovery events of the field `known`."""
    if not isinstance(known, dict) or not isinstance(known.get("batch"), list):
        raise ConfigError("known.batch is not a list")
    if not isinstance(known.get("offset", 0), int):
        raise ConfigError("known.offset is not a number")
    events = []
    for index, entry in enumerate(known["batch"]):
        try:
            events.append(eventbus.from_json(entry, zones))
        except (KeyError, TypeError, ValueError, OSError) as error:
            raise ConfigError(f"known.batch[{index}] is wrong: {type(error).__name__} {error}") from None
    return tuple(events)

"""The `devices` node of the document: listening addresses for devices, their keys and their limits."""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import TYPE_CHECKING

from ospreyvale.devices.limits import Limits
from ospreyvale.settings.document import NodeReader
from ospreyvale.transport.network import Address

if TYPE_CHECKING:
    from ospreyvale.devices.keys import Keys

TRANSPORTS = ("counter", "sip-udp", "sip-tcp")
MAX_KEY_FILE_BYTES = 268_435_456


@dataclass(frozen=True, slots=True)
class DevicesConfig:
    """The configuration for devices."""

    listen: dict[str, Address]  # by transport; a transport that is not listed is off
    keys: Keys
    max_sessions: int
    idle_ms: float  # a session without messages for this time ends
    limits: Limits
    reconnect_after_ms: float  # during a drain devices are instructed to reconnect after this time
    reconnect_to: str  # and to this address; empty: to the same one


def parse_devices_config(node: NodeReader | None, folder: Path) -> DevicesConfig | None:
    """Parses the node and reads its key file; None if there is no node or it is refused (with reasons)."""
    if node is None:
        return None
    listen = {}
    for transport in TRANSPORTS:
        child = node.child(transport)
        if child is not None:
            listen[transport] = child.address("listen")
            child.reject_unknown()
    if not listen:
        node.add_problem(f"listens nowhere; allowed: {', '.join(TRANSPORTS)}")
    sessions_node = node.child("sessions")
    limits_node = node.child("limits")
    away_node = node.child("away")
    max_sessions = (
        sessions_node.integer("most", 1, 1_000_000, 10_000) if sessions_node is not None else 10_000
    )
    idle_ms = (
        sessions_node.number("idle-ms", 1_000.0, 86_400_000.0, 300_000.0)
        if sessions_node is not None
        else 300_000.0
    )
    limit_values = {}
    if limits_node is not None:
        for limit in fields(Limits):
            name = limit.name.replace("_", "-")
            default = float(limit.default)  # type: ignore[arg-type]
            limit_values[limit.name] = limits_node.number(
                name, 0.0, 10_000_000.0, default, exclusive_minimum=True
            )
    reconnect_after_ms = (
        away_node.number("after-ms", 0.0, 3_600_000.0, 2_000.0) if away_node is not None else 2_000.0
    )
    reconnect_to = away_node.text("to", "-") if away_node is not None else "-"
    for child in (sessions_node, limits_node, away_node):
        if child is not None:
            child.reject_unknown()
    keys = _read_keys(node, folder)
    node.reject_unknown()
    if keys is None or not listen:
        return None
    return DevicesConfig(
        listen,
        keys,
        max_sessions,
        idle_ms,
        Limits(**limit_values),
        reconnect_after_ms,
        "" if reconnect_to == "-" else reconnect_to,
    )


def _read_keys(node: NodeReader, folder: Path) -> Keys | None:
    """Reads the key file that the `keys` node names, relative to the document's folder."""
    keys_node = node.child("keys")
    if keys_node is None:
        node.add_problem('keys is missing; allowed: keys file="NAME"')
        return None
    path = folder / keys_node.text("file")
    keys_node.reject_unknown()
    try:
        from ospreyvale.devices.keys import KeysError, parse_keys
    except ImportError as error:
        keys_node.add_problem(f"needs the devices extra: {error}")
        return None
    try:
        with path.open("rb") as source:
            return parse_keys(source.read(MAX_KEY_FILE_BYTES).decode(), path.name)
    except OSError as error:
        keys_node.add_problem(f"{path.name} cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        keys_node.add_problem(f"{path.name} is not UTF-8")
    except KeysError as error:
        keys_node.add_problem(str(error))
    return None

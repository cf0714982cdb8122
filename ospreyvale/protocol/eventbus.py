"""Codec of the event bus, which publishes the list of exchanges in binary frames.

All integers are big-endian.  A frame's length counts the bytes after the length field.

    frame  = length:4 offset:8 kind:1 payload
    record = uid:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8

The configuration's `known` lists the same events as JSON; see `from_json`.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ospreyvale.protocol.errors import ProtocolError

_FRAME = struct.Struct(">IQB")
_RECORD = struct.Struct(">I4sHBBBHIQ")
MAX_FRAME_BYTES = 1_048_576
READY = 0
DRAINING = 1
GONE = 2
_STATE_BY_NAME = {"Ready": READY, "Terminating": DRAINING, "Gone": GONE}


class FrameKind(IntEnum):
    """The content of a frame: nothing, the whole list of exchanges, or its changes."""

    HEARTBEAT = 0
    SNAPSHOT = 1
    DELTA = 2


@dataclass(frozen=True, slots=True)
class Target:
    """One exchange on the event bus."""

    uid: int
    address: tuple[str, int]
    state: int  # READY, DRAINING or GONE
    zone: int
    cell: int
    started_ms: int

    @property
    def name(self) -> str:
        """The uid as the JSON form of the bus writes it."""
        return f"s-{self.uid:08x}"


@dataclass(frozen=True, slots=True)
class Event:
    """One frame; `offset` is the number of the event, or of the last event for a heartbeat."""

    offset: int
    kind: FrameKind
    targets: tuple[Target, ...] = ()


def encode_subscribe(offset: int) -> bytes:
    """Encodes a subscription to the events after `offset`, the last event received."""
    return struct.pack(">Q", offset)


class Reader:
    """Splits a byte stream into events, however the stream is segmented."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Event]:
        """Adds bytes and yields every event that they complete.

        Raises ProtocolError if a frame is malformed.
        """
        self._buffer += data
        while len(self._buffer) >= 4:
            frame_bytes = int.from_bytes(self._buffer[:4], "big") + 4
            if not _FRAME.size <= frame_bytes <= MAX_FRAME_BYTES:
                raise ProtocolError(f"invalid frame length {frame_bytes - 4}")
            if len(self._buffer) < frame_bytes:
                return
            frame = bytes(self._buffer[:frame_bytes])
            del self._buffer[:frame_bytes]
            yield _decode(frame)


def _decode(frame: bytes) -> Event:
    _, offset, kind = _FRAME.unpack_from(frame)
    if kind not in (FrameKind.HEARTBEAT, FrameKind.SNAPSHOT, FrameKind.DELTA):
        raise ProtocolError(f"unknown frame kind {kind}")
    payload = frame[_FRAME.size :]
    if kind == FrameKind.HEARTBEAT:
        return Event(offset, FrameKind.HEARTBEAT)
    if len(payload) % _RECORD.size:
        raise ProtocolError("a frame ends inside a record")
    targets = []
    for uid, address, port, state, zone, _, cell, _, started in _RECORD.iter_unpack(payload):
        if state not in (READY, DRAINING, GONE):
            raise ProtocolError(f"unknown exchange state {state}")
        targets.append(Target(uid, (socket.inet_ntoa(address), port), state, zone, cell, started))
    return Event(offset, FrameKind(kind), tuple(targets))


def from_json(event: Any, zones: list[str]) -> Event:
    """Parses one event of the configuration's `known`.

    `zones` lists the zone names in the order of their numbers.

    Raises KeyError, TypeError, ValueError or OSError if the event is malformed.
    """
    topology = event["topology"]
    targets = []
    for entry in topology["targets"]:
        host, _, port = str(entry["endpoint"]).rpartition(":")
        socket.inet_aton(host)
        zone = zones.index(entry["az"]) if entry["az"] in zones else 0
        targets.append(
            Target(
                int(str(entry["uid"]).removeprefix("s-"), 16),
                (host, int(port)),
                _STATE_BY_NAME[entry["state"]],
                zone,
                int(entry["pod_group"]),
                int(entry.get("boot_ms", 0)),
            )
        )
    kind = FrameKind.SNAPSHOT if topology["all"] else FrameKind.DELTA
    return Event(int(event["offset"]), kind, tuple(targets))

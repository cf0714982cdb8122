"""Codec of the simulator's protocol: frames of records, little-endian and unpadded, in both directions.

The names of the records and of their fields are the protocol's own; `Host` translates them to the events and
actions of `ospreyvale.routing.interface`.  In all records, `who` is the number of an instance, `rid` the id
of a call, `send_no` the index of an attempt of the call, `office` the address of an exchange, and
`delay_seen` a delay in ms.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple


class WireError(ValueError):
    """Malformed input; the text names the record and the byte offset in its frame."""

    def __init__(self, text: str, record: int = -1, offset: int = 0) -> None:
        position = "frame header" if record < 0 else f"record {record}"
        super().__init__(f"{position}, offset {offset}: {text}")


class TableEntry(NamedTuple):
    """One exchange in a `Table`.

    `condition` is 2 for ready, 0 for draining and 1 for gone, `start_time` the start of its processor in ms
    (0: long ago), and `site` its zone.  `Host` does not use `shape` and `units`.
    """

    shape: int
    point_code: int
    condition: int
    start_time: float
    office: bytes
    units: float
    site: int


class Create(NamedTuple):
    """Creates the instance `who`; `params` is the JSON of its settings, `prng` its seed."""

    who: int
    prng: int
    params: bytes


class Detach(NamedTuple):
    """Removes an instance."""

    who: int


class Table(NamedTuple):
    """A list of exchanges, which `BackendsChanged` refers to by `roster_id`."""

    roster_id: int
    lines: tuple[TableEntry, ...]


class BackendsChanged(NamedTuple):
    """A new list of exchanges for an instance.

    `how` is 1 or 2 for a full list and 3 for one that was not fetched.
    """

    who: int
    how: int
    version: int
    roster_id: int


class Demand(NamedTuple):
    """A set-up request arrives.

    `item` is the called number, `expires_in` the time in ms that the caller waits, `slots_needed` the number
    of circuits, `hop` the advised tandem or the origin of a call in transit (-1: none), and `profile` the
    index of the call class.  The flags in `bits` are 2 for redialled, 8 for transit and 16 for cut.  `Host`
    does not use `estimate` and `customer`.
    """

    who: int
    rid: int
    destination: float
    estimate: float
    item: int
    expires_in: float
    slots_needed: float
    hop: float
    customer: int
    profile: int
    bits: int


class UnderWay(NamedTuple):
    """The call of an attempt stands."""

    who: int
    rid: int
    send_no: int
    office: bytes
    delay_seen: float


class Verdict(NamedTuple):
    """An attempt has ended.

    `reason` is the code of its outcome, `why` its cause, and `server_stats` the report of the exchange.  If
    `settled` is not 0, nothing more is owed for the call.
    """

    who: int
    rid: int
    send_no: int
    office: bytes
    reason: int
    delay_seen: float
    settled: int
    why: int
    server_stats: tuple[float, ...]


class Aborted(NamedTuple):
    """The caller has given up."""

    who: int
    rid: int


class Alarm(NamedTuple):
    """The timer `label`, which `Remind` started, has expired."""

    who: int
    label: int


class Echo(NamedTuple):
    """The result of a probe; `reason` is the code of its outcome."""

    who: int
    office: bytes
    reason: int
    delay_seen: float
    server_stats: tuple[float, ...]


class Peer(NamedTuple):
    """A message from the instance `sender`."""

    who: int
    sender: int
    raw: bytes


class Remark(NamedTuple):
    """A line for the log."""

    who: int
    line: bytes


class Broken(NamedTuple):
    """The decision module raised an exception, which `line` describes."""

    who: int
    line: bytes


class Tail(NamedTuple):
    """An action of the protocol that `Host` does not send."""

    who: int
    on: int


class Resolve(NamedTuple):
    """An action of the protocol that `Host` does not send."""

    who: int


class Try(NamedTuple):
    """Sends a set-up to an exchange; `patience` is the time-out in ms (0: until the caller gives up)."""

    who: int
    rid: int
    office: bytes
    patience: float


class DropAttempt(NamedTuple):
    """Cancels one attempt."""

    who: int
    rid: int
    send_no: int


class Shed(NamedTuple):
    """Refuses a call; `cool_down` is the time in ms after which the caller may retry."""

    who: int
    rid: int
    cool_down: float


class DropRequest(NamedTuple):
    """Ends a call as failed."""

    who: int
    rid: int


class Remind(NamedTuple):
    """Starts the timer `label`, which expires at `alarm_time` in ms."""

    who: int
    label: int
    alarm_time: float


class Touch(NamedTuple):
    """Probes an exchange."""

    who: int
    office: bytes


class LetGo(NamedTuple):
    """An action of the protocol that `Host` does not send."""

    who: int
    office: bytes


class Signal(NamedTuple):
    """Sends a message to one peer, or to all of them if `peer` is 0xFFFFFFFF."""

    who: int
    peer: int
    raw: bytes


# Each record type by its code, with the types of its fields.  These are the format characters of struct, and:
#   A  an address of 6 bytes
#   N  a u32 count and that many bytes
#   n  a u16 count and that many bytes
#   R  a u8 count and that many 32-bit floats
#   L  a u32 count and that many table entries
# Only the last field of a record can be one with a count.
_EVENTS: dict[int, tuple[type[Any], str]] = {
    90: (Create, "HQN"),
    50: (Detach, "H"),
    60: (Table, "BL"),
    80: (BackendsChanged, "HBQB"),
    20: (Demand, "HQfdQdffHHB"),
    40: (UnderWay, "HQBAd"),
    10: (Verdict, "HQBAHdBIR"),
    30: (Aborted, "HQ"),
    70: (Alarm, "HQ"),
    110: (Echo, "HAHdR"),
    100: (Peer, "HHn"),
}
_ACTIONS: dict[int, tuple[type[Any], str]] = {
    10: (Remark, "Hn"),
    30: (Broken, "Hn"),
    60: (Tail, "HB"),
    90: (Resolve, "H"),
    40: (Try, "HQAd"),
    70: (DropAttempt, "HQB"),
    120: (Shed, "HQd"),
    50: (DropRequest, "HQ"),
    20: (Remind, "HQd"),
    100: (Touch, "HA"),
    110: (LetGo, "HA"),
    80: (Signal, "HIn"),
}
_COUNT_TYPES = {"N": "I", "n": "H", "R": "B", "L": "I"}
_BATCH = struct.Struct("<IIdI")
_REPLY = struct.Struct("<II")
_RECORD = struct.Struct("<BI")
_TABLE_ENTRY = struct.Struct("<HHBd6sfB")


class _Layout:
    """The layout of one record type: a fixed part and at most one counted field after it."""

    def __init__(self, code: int, record_type: type[Any], fields: str) -> None:
        self.code = code
        self.record_type = record_type
        self.counted_type = ""
        if fields[-1] in _COUNT_TYPES:
            self.counted_type = fields[-1]
            fields = fields[:-1] + _COUNT_TYPES[self.counted_type]
        self.fixed = struct.Struct("<" + fields.replace("A", "6s"))
        self.element_size = {"N": 1, "n": 1, "R": 4, "L": _TABLE_ENTRY.size}.get(self.counted_type, 0)

    def decode(self, body: bytes) -> Any:
        """Decodes the body of a record; raises ValueError if its length does not match the layout."""
        if len(body) < self.fixed.size:
            raise ValueError(f"{self.record_type.__name__} has {len(body)} bytes, needs {self.fixed.size}")
        values = self.fixed.unpack_from(body)
        count = values[-1] if self.counted_type else 0
        if len(body) != self.fixed.size + count * self.element_size:
            raise ValueError(
                f"{self.record_type.__name__} has {len(body)} bytes, "
                f"its fields take {self.fixed.size + count * self.element_size}"
            )
        if not self.counted_type:
            return self.record_type(*values)
        counted_bytes = body[self.fixed.size :]
        counted: Any = counted_bytes
        if self.counted_type == "R":
            counted = struct.unpack(f"<{count}f", counted_bytes)
        elif self.counted_type == "L":
            counted = tuple(TableEntry(*entry) for entry in _TABLE_ENTRY.iter_unpack(counted_bytes))
        return self.record_type(*values[:-1], counted)

    def encode(self, record: Any) -> bytes:
        """Encodes a record without its header."""
        if not self.counted_type:
            return self.fixed.pack(*record)
        counted = record[-1]
        body = self.fixed.pack(*record[:-1], len(counted))
        if self.counted_type == "R":
            return body + struct.pack(f"<{len(counted)}f", *counted)
        if self.counted_type == "L":
            return body + b"".join(_TABLE_ENTRY.pack(*entry) for entry in counted)
        return body + bytes(counted)


_EVENT_LAYOUTS = {code: _Layout(code, *definition) for code, definition in _EVENTS.items()}
_ACTION_LAYOUTS = {code: _Layout(code, *definition) for code, definition in _ACTIONS.items()}
_LAYOUT_BY_TYPE = {
    layout.record_type: layout for layouts in (_EVENT_LAYOUTS, _ACTION_LAYOUTS) for layout in layouts.values()
}


class Batch(NamedTuple):
    """A batch of events from the simulator; `clock` is its time in ms."""

    clock: float
    serial: int
    records: list[Any]


def _decode_records(frame: bytes, offset: int, layouts: dict[int, _Layout], count: int | None) -> list[Any]:
    """Returns the records of a frame: `count` of them, or all up to its end."""
    records: list[Any] = []
    while offset < len(frame) if count is None else len(records) < count:
        index = len(records)
        if offset + _RECORD.size > len(frame):
            raise WireError("frame ends inside a record header", index, offset)
        code, size = _RECORD.unpack_from(frame, offset)
        layout = layouts.get(code)
        if layout is None:
            raise WireError(f"unknown record code {code}", index, offset)
        start = offset + _RECORD.size
        if start + size > len(frame):
            raise WireError(f"record length {size} runs past the frame's end", index, offset)
        try:
            records.append(layout.decode(frame[start : start + size]))
        except (ValueError, struct.error) as error:
            raise WireError(str(error), index, offset) from None
        offset = start + size
    if offset != len(frame):
        raise WireError(f"{len(frame) - offset} bytes after the last record", len(records), offset)
    return records


def _encode_records(records: list[Any]) -> bytes:
    parts = []
    for record in records:
        layout = _LAYOUT_BY_TYPE[type(record)]
        body = layout.encode(record)
        parts.append(_RECORD.pack(layout.code, len(body)) + body)
    return b"".join(parts)


def read_frame(stream: BinaryIO) -> bytes | None:
    """Returns the next whole frame, or None at the end of input.

    Raises WireError if the input ends inside one.
    """
    header = stream.read(4)
    if not header:
        return None
    if len(header) < 4:
        raise WireError(f"input ends after {len(header)} bytes of a length")
    size = int.from_bytes(header, "little")
    if size < _REPLY.size:
        raise WireError(f"impossible frame length {size}")
    rest = stream.read(size - 4)
    if len(rest) != size - 4:
        raise WireError(f"input ends after {len(rest) + 4} of {size} bytes", offset=len(rest) + 4)
    return header + rest


def decode_batch(frame: bytes) -> Batch:
    """Decodes a frame of events; raises WireError for malformed input."""
    if len(frame) < _BATCH.size:
        raise WireError(f"a batch of {len(frame)} bytes is shorter than its header")
    _, count, clock, serial = _BATCH.unpack_from(frame)
    return Batch(clock, serial, _decode_records(frame, _BATCH.size, _EVENT_LAYOUTS, count))


def encode_batch(batch: Batch) -> bytes:
    """Encodes a batch of events as a frame."""
    body = _encode_records(batch.records)
    return _BATCH.pack(_BATCH.size + len(body), len(batch.records), batch.clock, batch.serial) + body


def encode_reply(serial: int, records: list[Any]) -> bytes:
    """Encodes the actions that reply to the batch `serial` as a frame."""
    body = _encode_records(records)
    return _REPLY.pack(_REPLY.size + len(body), serial) + body


def decode_reply(frame: bytes) -> tuple[int, list[Any]]:
    """Decodes a reply and returns the serial of its batch and its actions.

    Raises WireError for malformed records.
    """
    _, serial = _REPLY.unpack_from(frame)
    return serial, _decode_records(frame, _REPLY.size, _ACTION_LAYOUTS, None)

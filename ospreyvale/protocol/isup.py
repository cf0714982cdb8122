"""Codec for the platform's binary protocol toward exchanges.

Its messages are named after those of ISUP (Q.763).

message   = length:2 type:1 call:8 parameters      length counts the bytes after it; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError

_HEAD = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")


class Type(IntEnum):
    """Message types; those of Q.763 have its values."""

    IAM = 1  # set-up
    ACM = 6  # progress
    ANM = 9  # answer
    REL = 12  # refusal, cancellation, or release of a standing call
    RLC = 16  # release complete
    GROUP = 43  # state of a circuit group
    TEST = 52  # probe of an exchange
    TESTED = 53  # its answer


_TYPES = frozenset(Type)


class Code(IntEnum):
    """Parameter codes."""

    CLASS = 180
    WAIT = 182  # how long the sender of a set-up waits for an answer, in milliseconds
    NUMBER = 188
    NOTE = 194
    BACK_OFF = 196  # the waiting time at a processor that is full, in milliseconds
    REPORT = 198
    CAUSE = 208  # one byte
    DESCRIPTION = 210


class Cause(IntEnum):
    """Q.850 causes, with the meaning that the platform gives them."""

    NORMAL = 16
    USER_BUSY = 17
    NO_CIRCUIT = 34
    TEMPORARY_FAILURE = 41
    RESOURCE_UNAVAILABLE = 47
    TIMER_EXPIRY = 102  # here: the set-up was never sent


@dataclass(slots=True)
class Message:
    """One message; `type` is a `Type`, `call` the call id, `parameters` the raw values by `Code`."""

    type: int
    call: int
    parameters: dict[int, bytes] = field(default_factory=dict)

    def text(self, code: int) -> str:
        """Returns a parameter as ASCII text, empty if it is absent; raises ProtocolError for other bytes."""
        try:
            return self.parameters.get(code, b"").decode("ascii")
        except UnicodeDecodeError:
            raise ProtocolError(f"parameter {int(code)} is not ASCII text") from None

    def number(self, code: int) -> float:
        """Returns a parameter that holds a number as text, 0 if it is absent.

        Raises ProtocolError for other text.
        """
        return _number(self.text(code) or "0", f"parameter {int(code)}")

    @property
    def cause(self) -> int:
        """The Q.850 cause; raises ProtocolError unless the parameter is one byte."""
        value = self.parameters.get(Code.CAUSE, b"")
        if len(value) != 1:
            raise ProtocolError("the cause is not one byte")
        return value[0]

    def report(self) -> dict[str, float]:
        """Parses the report parameter, such as `x0:12;x1:40;queue:3`.

        Raises ProtocolError if a value is not a number.
        """
        values = {}
        for part in filter(None, self.text(Code.REPORT).split(";")):
            name, _, text = part.partition(":")
            values[name] = _number(text, "a field of the report")
        return values


def _number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ProtocolError(f"{name} is not a number") from None
    if not abs(value) < 1e15:  # neither infinite nor NaN
        raise ProtocolError(f"{name} is out of range")
    return value


def encode(message: Message) -> bytes:
    """Encodes a message; raises ProtocolError if it is larger than MAX_MESSAGE_BYTES."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in message.parameters.items())
    if len(body) + _HEAD.size > MAX_MESSAGE_BYTES:
        raise ProtocolError("a message is larger than 16 KiB")
    return _HEAD.pack(len(body) + _HEAD.size - 2, message.type, message.call) + body


class Reader:
    """Splits a byte stream into messages, however the stream is segmented."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Adds bytes and yields every message that they complete.

        Raises ProtocolError if one is malformed.
        """
        self._buffer += data
        while len(self._buffer) >= 2:
            total = int.from_bytes(self._buffer[:2], "big") + 2
            if not _HEAD.size <= total <= MAX_MESSAGE_BYTES:
                raise ProtocolError(f"invalid message length {total - 2}")
            if len(self._buffer) < total:
                return
            message = bytes(self._buffer[:total])
            del self._buffer[:total]
            yield _decode(message)


def _decode(data: bytes) -> Message:
    _, message_type, call = _HEAD.unpack_from(data)
    if message_type not in _TYPES:
        # After a message of unknown type nothing on its connection could ever be parsed: the stream is out of
        # step.
        raise ProtocolError(f"unknown message type {message_type}")
    message = Message(message_type, call)
    offset = _HEAD.size
    while offset < len(data):
        if offset + _PARAMETER.size > len(data):
            raise ProtocolError("a message ends inside a parameter header")
        code, length = _PARAMETER.unpack_from(data, offset)
        offset += _PARAMETER.size + length
        if offset > len(data):
            raise ProtocolError(f"parameter {code} extends past the end of its message")
        if code in message.parameters:
            raise ProtocolError(f"parameter {code} is repeated")
        message.parameters[code] = data[offset - length : offset]
    return message

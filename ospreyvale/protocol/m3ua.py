"""Codec for M3UA (RFC 4666) over TCP and for the ISUP messages (Q.763) in its DATA messages.

    message   = version:1 reserved:1 class:1 type:1 length:4 parameters
    parameter = tag:2 length:2 value, padded to four bytes

Numbers are big-endian.  The length of a message is that of the whole message; the length of a parameter
includes its tag and length.

ISUP has no parameter for a description: it is carried in access transport (Q.763), 255 bytes at most.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError

_HEAD = struct.Struct(">BBBBI")
_PARAMETER = struct.Struct(">HH")
_LABEL = struct.Struct(">IIBBBB")  # OPC, DPC, SI, NI, MP, SLS
VERSION = 1
SI_ISUP = 5
NI_NATIONAL = 2
MAX_DESCRIPTION_BYTES = 255
# Values of the status parameter of NTFY (RFC 4666, 3.8.2).
AS_INACTIVE = b"\x00\x01\x00\x02"
AS_ACTIVE = b"\x00\x01\x00\x03"


class Kind(IntEnum):
    """Message class and type, as class * 256 + type (RFC 4666, 3.1)."""

    ERR = 0x0000
    NTFY = 0x0001
    DATA = 0x0101
    ASPUP = 0x0301
    ASPDN = 0x0302
    BEAT = 0x0303
    ASPUP_ACK = 0x0304
    ASPDN_ACK = 0x0305
    BEAT_ACK = 0x0306
    ASPAC = 0x0401
    ASPIA = 0x0402
    ASPAC_ACK = 0x0403
    ASPIA_ACK = 0x0404


class Tag(IntEnum):
    """Parameter tags (RFC 4666, 3.2 and 3.3)."""

    ROUTING_CONTEXT = 0x0006
    HEARTBEAT_DATA = 0x0009
    ERROR_CODE = 0x000C
    STATUS = 0x000D
    PROTOCOL_DATA = 0x0210


class ErrorCode(IntEnum):
    """Error codes (RFC 4666, 3.8.1)."""

    INVALID_VERSION = 0x01
    UNSUPPORTED_TYPE = 0x04
    UNEXPECTED_MESSAGE = 0x06
    MANAGEMENT_BLOCKING = 0x0D
    PROTOCOL_ERROR = 0x07


@dataclass(frozen=True, slots=True)
class Message:
    """One M3UA message."""

    kind: int
    parameters: tuple[tuple[int, bytes], ...] = ()

    def get(self, tag: int) -> bytes | None:
        """Returns the first parameter with this tag; None if it is absent."""
        return next((value for parameter_tag, value in self.parameters if parameter_tag == tag), None)


def encode(kind: int, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes a message from its class and type and its parameters, each a tag and a value."""
    body = b"".join(
        _PARAMETER.pack(tag, len(value) + _PARAMETER.size) + value + bytes(-len(value) % 4)
        for tag, value in parameters
    )
    return _HEAD.pack(VERSION, 0, kind >> 8, kind & 0xFF, _HEAD.size + len(body)) + body


def encode_error(code: ErrorCode) -> bytes:
    """Encodes an ERR message."""
    return encode(Kind.ERR, (Tag.ERROR_CODE, struct.pack(">I", code)))


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
        while len(self._buffer) >= _HEAD.size:
            version, _, message_class, message_type, length = _HEAD.unpack_from(self._buffer)
            if version != VERSION:
                raise ProtocolError(f"unsupported version {version}")
            if not _HEAD.size <= length <= MAX_MESSAGE_BYTES or length % 4:
                raise ProtocolError(f"invalid message length {length}")
            if len(self._buffer) < length:
                return
            body = bytes(self._buffer[_HEAD.size : length])
            del self._buffer[:length]
            yield Message(message_class << 8 | message_type, tuple(_parameters(body)))


def _parameters(body: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while offset < len(body):
        # Cannot fail: the body's length and the offset are multiples of four.
        tag, length = _PARAMETER.unpack_from(body, offset)
        if length < _PARAMETER.size or offset + length > len(body):
            raise ProtocolError(f"parameter {tag:#06x} extends past the end of its message")
        yield tag, body[offset + _PARAMETER.size : offset + length]
        offset += length + -length % 4


# ---- ISUP inside DATA ---------------------------------------------------------------------------


class IsupType(IntEnum):
    """ISUP message types (Q.763, table 4)."""

    IAM = 0x01
    ACM = 0x06
    ANM = 0x09
    REL = 0x0C
    RLC = 0x10


class Cause(IntEnum):
    """Q.850 causes used toward M3UA peers."""

    NORMAL = 16
    USER_BUSY = 17
    NO_ANSWER = 19
    NO_ROUTE = 3
    NO_CIRCUIT = 34
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    CIRCUIT_NOT_AVAILABLE = 44
    UNSPECIFIED = 31
    PROTOCOL_ERROR = 111
    TIMER_EXPIRY = 102


ACCESS_TRANSPORT = 0x03
_CALLING_PARTY_PRIORITY = 0x0B
_CALLING_PARTY_ORDINARY = 0x0A
_DIGITS = "0123456789ABCDEF"


@dataclass(frozen=True, slots=True)
class RoutingLabel:
    """The originating (OPC) and destination (DPC) point codes of a DATA message."""

    opc: int
    dpc: int


@dataclass(frozen=True, slots=True)
class IsupMessage:
    """One ISUP message: its circuit (CIC), type, and the fields in use here."""

    cic: int
    type: int
    digits: str = ""  # IAM: the called party number
    priority: bool = False  # IAM: the calling party's category
    cause: int = 0  # REL: the Q.850 cause
    description: bytes = b""  # IAM and ANM: access transport


def encode_data(routing_label: RoutingLabel, message: IsupMessage) -> bytes:
    """Encodes a DATA message that carries one ISUP message."""
    packed_label = _LABEL.pack(
        routing_label.opc, routing_label.dpc, SI_ISUP, NI_NATIONAL, 0, message.cic & 0x0F
    )
    return encode(Kind.DATA, (Tag.PROTOCOL_DATA, packed_label + _encode(message)))


def decode_data(message: Message) -> tuple[RoutingLabel, IsupMessage]:
    """Decodes the ISUP message in a DATA message, with its routing label.

    Raises ProtocolError if it is malformed.
    """
    body = message.get(Tag.PROTOCOL_DATA)
    if body is None or len(body) < _LABEL.size + 3:
        raise ProtocolError("DATA without complete protocol data")
    opc, dpc, service, *_ = _LABEL.unpack_from(body)
    if service != SI_ISUP:
        raise ProtocolError(f"service indicator {service} is not ISUP")
    return RoutingLabel(opc, dpc), _decode(body[_LABEL.size :])


def _encode(message: IsupMessage) -> bytes:
    head = struct.pack("<HB", message.cic & 0x0FFF, message.type)
    optional = b"\x00"
    if message.description:
        optional = bytes([ACCESS_TRANSPORT, len(message.description)]) + message.description + b"\x00"
    if message.type == IsupType.IAM:
        category = _CALLING_PARTY_PRIORITY if message.priority else _CALLING_PARTY_ORDINARY
        number = _number(message.digits)
        # nature of connection, forward call indicators, category, medium (speech); two pointers
        return head + bytes([0, 0x20, 0x01, category, 0, 2, 1 + len(number)]) + number + optional
    if message.type == IsupType.ACM:
        return head + b"\x16\x04\x00"  # backward call indicators; no optional part
    if message.type == IsupType.ANM:
        return head + b"\x01" + optional
    if message.type == IsupType.REL:
        return head + bytes([2, 0, 2, 0x84, 0x80 | message.cause])  # location: public network, local
    return head + b"\x00"


def _number(digits: str) -> bytes:
    codes = [_DIGITS.index(digit) for digit in digits]
    odd = len(codes) % 2
    pairs = [*codes, 0] if odd else codes
    packed = bytes(low | high << 4 for low, high in zip(pairs[::2], pairs[1::2], strict=True))
    return bytes([2 + len(packed), 0x80 * odd | 0x03, 0x10]) + packed  # national number, E.164


def _decode(body: bytes) -> IsupMessage:
    cic, message_type = struct.unpack_from("<HB", body)
    cic &= 0x0FFF
    try:
        if message_type == IsupType.IAM:
            number = _mandatory_parameter(body, 8)
            if len(number) < 2:
                raise ProtocolError("the called party number is too short")
            digits = "".join(_DIGITS[byte & 15] + _DIGITS[byte >> 4] for byte in number[2:])
            return IsupMessage(
                cic,
                message_type,
                digits[:-1] if number[0] & 0x80 else digits,
                body[6] == _CALLING_PARTY_PRIORITY,
                description=_access_transport(body, 9),
            )
        if message_type == IsupType.REL:
            cause = _mandatory_parameter(body, 3)
            if len(cause) < 2:
                raise ProtocolError("the cause indicators are too short")
            return IsupMessage(cic, message_type, cause=cause[1] & 0x7F)
        if message_type == IsupType.ANM:
            return IsupMessage(cic, message_type, description=_access_transport(body, 3))
    except IndexError:
        raise ProtocolError(f"an ISUP message of type {message_type} is truncated") from None
    return IsupMessage(cic, message_type)


def _mandatory_parameter(body: bytes, pointer: int) -> bytes:
    offset = pointer + body[pointer]
    value = body[offset + 1 : offset + 1 + body[offset]]
    if len(value) < body[offset]:
        raise ProtocolError("a mandatory parameter extends past the end of its message")
    return value


def _access_transport(body: bytes, pointer: int) -> bytes:
    """Returns the access transport parameter of the optional part; empty if it is absent."""
    offset = pointer + body[pointer]
    while body[pointer] and body[offset]:
        end = offset + 2 + body[offset + 1]
        if end > len(body):
            raise ProtocolError("an optional parameter extends past the end of its message")
        if body[offset] == ACCESS_TRANSPORT:
            return body[offset + 2 : end]
        offset = end
    return b""

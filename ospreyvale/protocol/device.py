"""Codec for the datagrams of the counter protocol between devices and the edge (docs/device-protocol.md).

A datagram consists of a fixed header, a CBOR body (RFC 8949) and a proof.

The codec holds no keys: `decode` returns the bytes that the proof covers, and the caller verifies it.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import cbor2

from ospreyvale.protocol.errors import ProtocolError

VERSION = 0xC1
MAX_DATAGRAM_BYTES = 1_200
OVERHEAD_BYTES = 30  # header and proof; a datagram has at least one byte more
PROOF_BYTES = 16
ID_BYTES = 8
_HEAD = struct.Struct(">BB8sI")
MAX_FIELDS = 16  # in one body
MAX_TEXT_CHARS = 64
MAX_DESCRIPTION_BYTES = 512


class Kind(IntEnum):
    """Datagram types."""

    HELLO = 1  # from a device: attaches it
    CHALLENGE = 2  # to an unauthenticated peer: the epoch and a cookie for its address
    WELCOME = 3  # answer to HELLO: the connection id
    CON = 4  # an operation, which the receiver acknowledges
    ACK = 5  # of the CON with that number; may carry the answer to a request
    PATH = 6  # to an address that is not validated yet: a probe
    PATH_BACK = 7  # returns the probe, which validates the address


class Field(IntEnum):
    """Keys of the CBOR map in a body; times are in milliseconds."""

    DEVICE = 1
    KEY = 2  # the key id
    EPOCH = 3  # of the edge's state
    COOKIE = 4
    COUNT = 5  # of the device's HELLOs, rising within an epoch
    PADDING = 6  # lengthens a HELLO, as a challenge is never longer than its cause
    CID = 7  # the connection id
    IDLE = 8  # silence after which an idle session ends
    NUMBER = 9  # of the datagram that is acknowledged
    PROBE = 10
    OP = 16
    REQUEST = 17  # the request id
    CLASS = 18
    EXCHANGE = 19
    CALLED = 20
    PATIENCE = 21  # how long the caller waits, from when it placed the call
    AGE = 22  # time between placing the call and sending the request
    WIDTH = 23  # circuits that the call takes
    DESCRIPTION = 24
    CUSTOMER = 25  # permitted, and not used by the edge
    FIRST_EPOCH = 26  # in which the request was first sent, if not the current one
    CAUSE = 27  # Q.850 cause of a release
    END = 28  # result of a request
    AWAY = 29  # in ANSWER: the back-off; in AWAY: when to reconnect
    ELSEWHERE = 30  # address to reconnect to


class Op(IntEnum):
    """Operations carried in CON and ACK."""

    CALL = 1  # a device requests a call
    CANCEL = 2  # a device gives up a request
    RELEASE = 3  # either side releases a standing call
    PING = 4  # a device asks for nothing but the acknowledgement
    ANSWER = 5  # result of a request
    AWAY = 6  # the edge tells a device to reconnect


_ID_FIELDS = (  # of `ID_BYTES` bytes
    Field.EPOCH,
    Field.COOKIE,
    Field.CID,
    Field.PROBE,
    Field.REQUEST,
    Field.FIRST_EPOCH,
)
_TEXT_FIELDS = (Field.DEVICE, Field.CLASS, Field.CALLED, Field.CUSTOMER, Field.ELSEWHERE)
# Largest values of these fields; other numeric fields are unsigned 32-bit integers.
_MAX_VALUES = {
    Field.KEY: 255,
    Field.EXCHANGE: 65_535,
    Field.CAUSE: 127,
    Field.END: 5,
    Field.OP: 6,
    Field.WIDTH: 255,
}
_FIELD_NUMBERS = frozenset(int(name) for name in Field)
_KINDS = frozenset(int(kind) for kind in Kind)
_REQUIRED_FIELDS: dict[Kind, tuple[Field, ...]] = {
    Kind.HELLO: (Field.DEVICE, Field.KEY, Field.EPOCH, Field.COOKIE, Field.COUNT),
    Kind.CHALLENGE: (Field.EPOCH, Field.COOKIE),
    Kind.WELCOME: (Field.EPOCH, Field.CID, Field.IDLE),
    Kind.CON: (Field.OP,),
    Kind.ACK: (Field.NUMBER,),
    Kind.PATH: (Field.PROBE,),
    Kind.PATH_BACK: (Field.PROBE,),
}
_REQUIRED_BY_OP: dict[Op, tuple[Field, ...]] = {
    Op.CALL: (Field.REQUEST, Field.CLASS, Field.EXCHANGE, Field.CALLED, Field.PATIENCE, Field.AGE),
    Op.CANCEL: (Field.REQUEST,),
    Op.RELEASE: (Field.REQUEST, Field.CAUSE),
    Op.PING: (),
    Op.ANSWER: (Field.REQUEST, Field.END),
    Op.AWAY: (Field.AWAY,),
}


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram; `covered` holds the bytes that its proof covers, besides the direction."""

    kind: Kind
    cid: bytes
    number: int
    body: Mapping[int, Any]
    covered: bytes = field(repr=False)
    proof: bytes = field(repr=False)

    def get(self, name: Field) -> Any:
        """Returns a field's value; None if it is absent."""
        return self.body.get(int(name))

    @property
    def op(self) -> Op | None:
        """The operation in the body; None if it has none."""
        value = self.body.get(int(Field.OP))
        return Op(value) if value is not None else None


def encode(kind: Kind, cid: bytes, number: int, body: Mapping[Field, Any]) -> bytes:
    """Encodes a datagram without its proof; fields that are None are left out."""
    fields = {int(name): value for name, value in body.items() if value is not None}
    return _HEAD.pack(VERSION, kind, cid, number) + cbor2.dumps(fields)


def read_cid(data: bytes) -> bytes:
    """Returns the connection id without decoding the datagram.

    The datagram has to be at least as long as its header.
    """
    return data[2:10]


def decode(data: bytes) -> Datagram:
    """Decodes a datagram without verifying its proof; raises only ProtocolError."""
    if not OVERHEAD_BYTES < len(data) <= MAX_DATAGRAM_BYTES or data[0] != VERSION:
        raise ProtocolError("not a counter protocol datagram")
    _, kind, cid, number = _HEAD.unpack_from(data)
    if kind not in _KINDS:
        raise ProtocolError(f"unknown datagram kind {kind}")
    covered = data[:-PROOF_BYTES]
    proof = data[-PROOF_BYTES:]
    try:
        body = cbor2.loads(covered[_HEAD.size :])
    except Exception as error:  # for odd values the library raises other types than its own
        raise ProtocolError(f"the body is not CBOR: {type(error).__name__}") from None
    if not isinstance(body, dict) or len(body) > MAX_FIELDS:
        raise ProtocolError("the body is not a map or has too many fields")
    for key, value in body.items():
        _check_field(key, value)
    if cbor2.dumps(body) != covered[_HEAD.size :]:  # repeated keys, tags, long encodings, trailing bytes
        raise ProtocolError("the body is not in CBOR's shortest form")
    required = _REQUIRED_FIELDS[Kind(kind)]
    if Field.OP in body:
        required += _REQUIRED_BY_OP[Op(body[Field.OP])]
    for name in required:
        if name not in body:
            raise ProtocolError(f"{name.name} is missing")
    return Datagram(Kind(kind), cid, number, body, covered, proof)


def _check_field(key: Any, value: Any) -> None:
    """Raises ProtocolError unless the key is known and the value has its type and is within its bounds."""
    if isinstance(key, bool) or not isinstance(key, int) or key not in _FIELD_NUMBERS:
        raise ProtocolError("unknown key in the body")
    name = Field(key)
    if name in _ID_FIELDS:
        is_valid = isinstance(value, bytes) and len(value) == ID_BYTES
    elif name in _TEXT_FIELDS:
        is_valid = isinstance(value, str) and 1 <= len(value) <= MAX_TEXT_CHARS
    elif name is Field.PADDING:
        is_valid = isinstance(value, bytes)
    elif name is Field.DESCRIPTION:
        is_valid = isinstance(value, bytes) and len(value) <= MAX_DESCRIPTION_BYTES
    else:
        minimum = 1 if name in (Field.OP, Field.END) else 0
        maximum = _MAX_VALUES.get(name, 2**32 - 1)
        is_valid = not isinstance(value, bool) and isinstance(value, int) and minimum <= value <= maximum
    if not is_valid:
        raise ProtocolError(f"{name.name} has an invalid value")

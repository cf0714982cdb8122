"""Fuzzes both datagram codecs with mutations of valid datagrams: `python -m lab.fuzz SECONDS [SEED]`.

Run by hand.  The exit status is 1 after any exception other than the codecs' ProtocolError, or when memory
grew by more than 16 MB after the first tenth of the time.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from typing import Any

from lab.sip_phone import SipPhone
from ospreyvale.devices.sip import parse_device_proof
from ospreyvale.protocol import sip
from ospreyvale.protocol.device import PROOF_BYTES, Field, Kind, Op, decode, encode
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.sip_datagram import parse_datagram, parse_via
from tests.rig import VirtualClock

MAX_MEMORY_GROWTH_BYTES = 16 * 2**20


def decode_all(data: bytes) -> bool:
    """Decodes a datagram of an unauthenticated sender with both codecs; returns whether one accepted it."""
    accepted = False
    try:
        decode(data)
        accepted = True
    except ProtocolError:
        pass
    try:
        message = parse_datagram(data)
        parse_via(message)
        parse_device_proof(message)
        sip.parse_trunk_info(message)
        accepted = accepted or bool(message.call)
    except ProtocolError:
        pass
    return accepted


def valid_datagrams() -> list[bytes]:
    """Returns HELLO, CON, ACK and PATH datagrams of the counter protocol and the requests of a SIP phone."""
    sent: list[bytes] = []
    phone = SipPhone(VirtualClock(), "phone", bytes(32), 1, sent.append)
    phone.attach()
    phone.hang_up(phone.call("item-hold", 2, 1_800.0))
    bodies: dict[Kind, dict[Field, Any]] = {
        Kind.HELLO: {
            Field.DEVICE: "phone",
            Field.KEY: 1,
            Field.EPOCH: bytes(8),
            Field.COOKIE: bytes(8),
            Field.COUNT: 1,
        },
        Kind.CON: {
            Field.OP: Op.CALL,
            Field.REQUEST: bytes(8),
            Field.CLASS: "x",
            Field.EXCHANGE: 1,
            Field.CALLED: "1",
            Field.PATIENCE: 9,
            Field.AGE: 0,
        },
        Kind.ACK: {Field.NUMBER: 7},
        Kind.PATH: {Field.PROBE: bytes(8)},
    }
    return sent + [encode(kind, bytes(8), 1, body) + bytes(PROOF_BYTES) for kind, body in bodies.items()]


def mutate(random_source: random.Random, corpus: list[bytes]) -> bytes:
    """Returns a valid datagram with one to six random changes."""
    data = bytearray(random_source.choice(corpus))
    for _ in range(random_source.randint(1, 6)):
        position = random_source.randrange(len(data) + 1)
        match random_source.randint(0, 4):
            case 0 if data:
                data[position % len(data)] = random_source.randrange(256)
            case 1:
                del data[position : position + random_source.randint(1, 20)]
            case 2:
                data[position:position] = random_source.randbytes(random_source.randint(1, 20))
            case 3:
                other = random_source.choice(corpus)
                data[position:] = other[random_source.randrange(len(other)) :]
            case 4 if data:
                data[position % len(data)] ^= 1 << random_source.randrange(8)
    return bytes(data)


def main() -> int:
    """Fuzzes for the time given on the command line; returns the exit status."""
    seconds = float(sys.argv[1])
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    random_source = random.Random(seed)
    corpus = valid_datagrams()
    started_at = time.monotonic()
    count = 0
    accepted = 0
    baseline_bytes = 0
    while (elapsed := time.monotonic() - started_at) < seconds:
        for _ in range(1_000):
            data = mutate(random_source, corpus)
            try:
                accepted += decode_all(data)
            except Exception as error:
                print(f"seed {seed}, datagram {count}: {type(error).__name__}: {error}: {data!r}")
                return 1
            count += 1
        if not baseline_bytes and elapsed > seconds / 10.0:
            baseline_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024
    growth_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024 - baseline_bytes
    print(
        f"seed {seed}: {count:,} datagrams, {accepted:,} accepted, no other exception; "
        f"{growth_bytes / 2**20:.1f} MB more memory"
    )
    return int(growth_bytes > MAX_MEMORY_GROWTH_BYTES)


if __name__ == "__main__":
    sys.exit(main())

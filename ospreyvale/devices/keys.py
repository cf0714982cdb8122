"""Device authentication: the keys of each device (two during a key change) and the proofs computed with them.

HMAC-SHA-256 (RFC 2104, FIPS 198-1) and the constant-time comparison come from `cryptography`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from cryptography.hazmat.primitives import constant_time, hashes, hmac

from ospreyvale.protocol.device import MAX_TEXT_CHARS, PROOF_BYTES

KEY_BYTES = 32
MAX_KEYS_PER_DEVICE = 2  # the one in use and its replacement
MAX_DEVICES = 1_000_000
_DEVICE_NAME = re.compile(r"[A-Za-z0-9._:@-]{1,64}\Z")
# Direction of a message, covered by its proof, so that a message cannot be reflected to its sender.
FROM_DEVICE = b"d"
FROM_EDGE = b"e"


class KeysError(ValueError):
    """An invalid key file; the message names the line."""


def hmac_sha256(key: bytes, *parts: bytes) -> bytes:
    """Returns the untruncated HMAC-SHA-256 of the concatenated parts."""
    mac = hmac.HMAC(key, hashes.SHA256())
    for part in parts:
        mac.update(part)
    return mac.finalize()


def compute_proof(key: bytes, direction: bytes, covered: bytes) -> bytes:
    """Returns the proof for the covered bytes of a message: their HMAC, truncated to `PROOF_BYTES`."""
    return hmac_sha256(key, direction, covered)[:PROOF_BYTES]


def verify_proof(key: bytes, direction: bytes, covered: bytes, received_proof: bytes) -> bool:
    """Returns whether the proof is valid, comparing in constant time."""
    return constant_time.bytes_eq(compute_proof(key, direction, covered), received_proof)


def derive_session_key(key: bytes, epoch: bytes, cid: bytes) -> bytes:
    """Derives the key that proves the datagrams of one counter protocol session from the device's key."""
    return hmac_sha256(key, b"session", epoch, cid)


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys of all devices, by device name and key id."""

    by_device: Mapping[str, Mapping[int, bytes]]

    def find(self, device: str, key_id: int) -> bytes | None:
        """Returns the device's key with this id, or None."""
        return self.by_device.get(device, {}).get(key_id)


def parse_keys(text: str, name: str) -> Keys:
    """Parses lines of a device name, a key id and 64 hex digits; `#` begins a comment.

    Raises KeysError for the first malformed line, repeated key id, third key of a device, or device beyond
    MAX_DEVICES.
    """
    keys_by_device: dict[str, dict[int, bytes]] = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        parts = line.partition("#")[0].split()
        if not parts:
            continue
        location = f"{name}: line {line_number}"
        if len(parts) != 3 or not _DEVICE_NAME.match(parts[0]):
            raise KeysError(
                f"{location}: not a name of 1 to {MAX_TEXT_CHARS} letters, digits or ._:@-, "
                "a key id and a key"
            )
        if not parts[1].isdecimal() or int(parts[1]) > 255:
            raise KeysError(f"{location}: the key id is not a whole number from 0 to 255")
        try:
            key = bytes.fromhex(parts[2])
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES:
            raise KeysError(f"{location}: the key is not {2 * KEY_BYTES} hex digits")
        device_keys = keys_by_device.setdefault(parts[0], {})
        if int(parts[1]) in device_keys:
            raise KeysError(f"{location}: {parts[0]} has key {parts[1]} twice")
        device_keys[int(parts[1])] = key
        if len(device_keys) > MAX_KEYS_PER_DEVICE:
            raise KeysError(f"{location}: {parts[0]} has more than {MAX_KEYS_PER_DEVICE} keys")
        if len(keys_by_device) > MAX_DEVICES:
            raise KeysError(f"{location}: more than {MAX_DEVICES} devices")
    return Keys(keys_by_device)

"""Index of requests by device and request id.

One request makes one call, on whichever transports it arrives.  Active requests, whose call is open or
stands, are never dropped.  The answers of finished requests are kept in two generations of plain dicts, keyed
by a 64-bit fingerprint: an answer that is added or looked up goes to the current generation, and each
rotation drops the previous one as a whole.  A million entries thus need no search and no timers.
docs/devices.md compares this with a dict and a heap.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Generic, TypeVar

# Of active requests and both generations; beyond it a new request is refused rather than an old one
# forgotten.
MAX_ENTRIES = 1_000_000


def fingerprint(salt: bytes, device: str, request_id: bytes) -> int:
    """Returns a 64-bit index key for a device's request.

    A million requests collide with probability 3 in 10^8.
    """
    return int.from_bytes(
        blake2b(device.encode() + b"\0" + request_id, digest_size=8, key=salt).digest(), "big"
    )


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer to a request."""

    content_digest: bytes  # of the request; empty if not known, as for one cancelled before it arrived
    result: int  # STANDS, REFUSED, FAILED, GIVEN_UP or CONFLICT of the request manager
    back_off_ms: int = 0  # how long the device should wait before a new request; 0: not given
    description: bytes = b""


RequestT = TypeVar("RequestT")


class RequestIndex(Generic[RequestT]):
    """Holds requests while they are active, then their `FinalAnswer` for one to two rotation periods."""

    def __init__(self, rotation_ms: float, max_entries: int = MAX_ENTRIES) -> None:
        self.rotation_ms = rotation_ms
        self.max_entries = max_entries
        self.rotated_at = 0.0
        self.active: dict[int, RequestT] = {}
        self.current: dict[int, FinalAnswer] = {}
        self.previous: dict[int, FinalAnswer] = {}

    def __len__(self) -> int:
        return len(self.active) + len(self.current) + len(self.previous)

    def find(self, key: int) -> RequestT | FinalAnswer | None:
        """Returns the active request or its final answer; None if the request is not known."""
        request = self.active.get(key)
        if request is not None:
            return request
        answer = self.current.get(key)
        if answer is None and (answer := self.previous.pop(key, None)) is not None:
            self.current[key] = answer  # repeated, and may be repeated once more
        return answer

    def add(self, key: int, request: RequestT) -> bool:
        """Adds a new request; returns False if the index is full."""
        if len(self) >= self.max_entries:
            return False
        self.active[key] = request
        return True

    def finish(self, key: int, answer: FinalAnswer) -> None:
        """Replaces the active request by its final answer."""
        self.active.pop(key, None)
        self.current[key] = answer

    def rotate(self, now: float) -> None:
        """Drops the previous generation once per rotation period.

        A clock that stepped back restarts the period.
        """
        elapsed = now - self.rotated_at
        if 0.0 <= elapsed < self.rotation_ms:
            return
        if elapsed >= self.rotation_ms:
            self.previous = self.current
            self.current = {}
        self.rotated_at = now

    def finished(self) -> Iterator[tuple[int, FinalAnswer]]:
        """Yields the key and final answer of each finished request, for a handover."""
        yield from self.previous.items()
        yield from self.current.items()

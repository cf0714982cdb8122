"""Rate limits for devices and unauthenticated peers.

Devices have token buckets, and a count-min sketch counts source addresses.  The count-min sketch (Cormode and
Muthukrishnan) has a fixed size and counts the cost of each address in the current and the previous window.
It may overestimate an address that shares cells with others but never underestimates, so a flood from many
addresses uses bounded memory and no single address can evade the limit.  An overestimate does not affect an
authenticated device: the sketch only limits challenges to unauthenticated peers; devices have buckets of
their own.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from zlib import crc32

# 64 KiB for each of the two windows.  At most 2% of addresses are overestimated by more than 0.07% of the
# total cost.
ROWS = 4  # of counters
COLUMNS = 4_096  # counters in a row
WINDOW_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Rates per second; each also allows a burst of one second's worth."""

    challenges: float = 200.0  # to all unauthenticated peers together
    challenges_address: float = 8.0  # to one address
    sessions: float = 100.0  # new sessions, of all devices together
    requests_device: float = 5.0  # new requests of one device
    bytes_device: float = 16_000.0  # received from one device
    requests: float = 300.0  # new requests of all devices together


class TokenBucket:
    """A token bucket with a burst of one second; a clock that steps back adds no tokens."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, now: float, rate: float) -> None:
        self.updated_at = now
        self.tokens = rate

    def consume(self, now: float, rate: float, cost: float = 1.0) -> bool:
        """Takes `cost` tokens, refilled at `rate` per second.

        Returns False, and takes none, if there are not enough.
        """
        self.tokens = min(rate, self.tokens + max(0.0, now - self.updated_at) / 1_000.0 * rate)
        self.updated_at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def wait_ms(self, rate: float, cost: float = 1.0) -> float:
        """Returns the milliseconds from the last `consume` until the bucket will hold `cost` tokens."""
        return max(0.0, (cost - self.tokens) / rate * 1_000.0)


class CountMinSketch:
    """Cost per address in the current and the previous window.

    The random `salt` keeps senders from choosing addresses that share the cells of another.
    """

    def __init__(self, salt: bytes) -> None:
        self.salts = [crc32(salt + bytes([row])) for row in range(ROWS)]
        self.window_began_at = 0.0
        self.current = array("I", bytes(4 * ROWS * COLUMNS))
        self.previous = array("I", bytes(4 * ROWS * COLUMNS))

    def add(self, now: float, address: bytes, cost: int = 1) -> int:
        """Adds the cost to the current window.

        Returns the address's cost in this window plus the weighted cost of the previous one.
        """
        self._rotate(now)
        cells = [row * COLUMNS + crc32(address, salt) % COLUMNS for row, salt in enumerate(self.salts)]
        for cell in cells:
            self.current[cell] += cost
        previous_weight = 1.0 - min(1.0, max(0.0, (now - self.window_began_at) / WINDOW_MS))
        return int(min(self.current[cell] + previous_weight * self.previous[cell] for cell in cells))

    def _rotate(self, now: float) -> None:
        elapsed = now - self.window_began_at
        if 0.0 <= elapsed < WINDOW_MS:
            return
        empty = array("I", bytes(4 * ROWS * COLUMNS))
        self.previous = self.current if 0.0 <= elapsed < 2.0 * WINDOW_MS else array("I", empty)
        self.current = empty
        self.window_began_at = now

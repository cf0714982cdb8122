"""What strangers and devices may ask for: token buckets, and a sketch where there is no end of addresses.

A count-min sketch (Cormode and Muthukrishnan) of fixed size counts what each address has cost in this and the last
window: it may count an address too high where others share its cells, never too low, so that a flood from many
addresses is bounded in memory and one address cannot hide.  A known device that is counted too high as an address
still has the bucket of its own: the sketch only stands before what strangers get.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from zlib import crc32

ROWS, COLUMNS = 4, 4_096  # 64 KiB for each of two windows; an error of 0.07% of all, but for 2% of addresses
WINDOW_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds a second, and how much may come at once is one second's."""

    challenges: float = 200.0  # in all, to strangers
    challenges_address: float = 8.0  # to one address
    sessions: float = 100.0  # new ones, in all
    requests_device: float = 5.0
    bytes_device: float = 16_000.0
    requests: float = 300.0  # in all


class Bucket:
    """A token bucket of one second's burst; the time is given, one that steps back adds nothing."""

    __slots__ = ("at", "level")

    def __init__(self, now: float, rate: float) -> None:
        self.at, self.level = now, rate

    def take(self, now: float, rate: float, cost: float = 1.0) -> bool:
        self.level = min(rate, self.level + max(0.0, now - self.at) / 1_000.0 * rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True

    def wait_ms(self, rate: float, cost: float = 1.0) -> float:
        """How long until there will be enough."""
        return max(0.0, (cost - self.level) / rate * 1_000.0)


class Sketch:
    """What each address has cost in this window and the last; `salt` keeps others from choosing their cells."""

    def __init__(self, salt: bytes) -> None:
        self.salts = [crc32(salt + bytes([row])) for row in range(ROWS)]
        self.now_ms = 0.0
        self.current = array("I", bytes(4 * ROWS * COLUMNS))
        self.last = array("I", bytes(4 * ROWS * COLUMNS))

    def add(self, now: float, address: bytes, cost: int = 1) -> int:
        """Count it; gives what the address has cost in this window and in what still counts of the last."""
        self._turn(now)
        cells = [row * COLUMNS + crc32(address, salt) % COLUMNS for row, salt in enumerate(self.salts)]
        for cell in cells:
            self.current[cell] += cost
        left = 1.0 - min(1.0, max(0.0, (now - self.now_ms) / WINDOW_MS))
        return int(min(self.current[cell] + left * self.last[cell] for cell in cells))

    def _turn(self, now: float) -> None:
        passed = now - self.now_ms
        if 0.0 <= passed < WINDOW_MS:
            return
        fresh = array("I", bytes(4 * ROWS * COLUMNS))
        self.last = self.current if 0.0 <= passed < 2.0 * WINDOW_MS else array("I", fresh)
        self.current, self.now_ms = fresh, now

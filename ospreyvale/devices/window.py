"""Replay protection: a window below the highest sequence number received (RFC 4303, 3.4.3).

The window is kept as one integer.
"""

from __future__ import annotations

WINDOW_BITS = 256
_MASK = (1 << WINDOW_BITS) - 1


class ReplayWindow:
    """Accepts each sequence number once; bit n of `bitmap` stands for the number `highest` - n."""

    __slots__ = ("bitmap", "highest")

    def __init__(self, highest: int = 0, bitmap: int = 0) -> None:
        self.highest = highest
        self.bitmap = bitmap

    def is_new(self, number: int) -> bool:
        """Returns whether the number has not been accepted yet and is not too old."""
        if number > self.highest:
            return True
        behind = self.highest - number
        return behind < WINDOW_BITS and not self.bitmap >> behind & 1

    def accept(self, number: int) -> bool:
        """Records the number; returns False if it is a repetition or too old.

        Only for datagrams whose proof has been verified, as a forged number would move the window.
        """
        if not self.is_new(number):
            return False
        if number > self.highest:
            ahead = number - self.highest
            self.bitmap = (self.bitmap << ahead | 1) & _MASK if ahead < WINDOW_BITS else 1
            self.highest = number
        else:
            self.bitmap |= 1 << self.highest - number
        return True

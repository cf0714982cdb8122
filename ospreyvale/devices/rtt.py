"""Retransmission time-outs: the round-trip estimate of RFC 6298 for one path."""

from __future__ import annotations

import math

# RFC 6298 has 1 s as the initial and the minimum time-out, which is too long within the deadline of a call.
INITIAL_TIMEOUT_MS = 500.0
MIN_TIMEOUT_MS = 80.0
MAX_TIMEOUT_MS = 2_000.0
# RFC 6298, section 2: gains of the smoothed round trip and its variation, and the factor of the variation in
# the time-out.
ALPHA = 1 / 8
BETA = 1 / 4
K = 4.0
# Largest share of the caller's remaining time that one time-out may take, so that there is time for three
# attempts.
MAX_SHARE_OF_REMAINING = 1 / 3


class RttEstimator:
    """Smoothed round-trip time of one path and its variation, in milliseconds.

    Both are NaN before the first sample.
    """

    __slots__ = ("back_off_count", "smoothed_ms", "variation_ms")

    def __init__(self) -> None:
        self.smoothed_ms = math.nan
        self.variation_ms = math.nan
        self.back_off_count = 0  # doublings of the time-out since anything was last received on the path

    def add_sample(self, sample_ms: float) -> None:
        """Adds the round trip of a message; the caller leaves out ambiguous ones (Karn's algorithm).

        A negative sample, from a clock that stepped back, is ignored.
        """
        if sample_ms < 0.0:
            return
        if math.isnan(self.smoothed_ms):
            self.smoothed_ms = sample_ms
            self.variation_ms = sample_ms / 2.0
        else:
            self.variation_ms += BETA * (abs(self.smoothed_ms - sample_ms) - self.variation_ms)
            self.smoothed_ms += ALPHA * (sample_ms - self.smoothed_ms)
        self.back_off_count = 0

    @property
    def base_timeout_ms(self) -> float:
        """The time-out in milliseconds, before any doubling."""
        return max(
            MIN_TIMEOUT_MS,
            INITIAL_TIMEOUT_MS
            if math.isnan(self.smoothed_ms)
            else self.smoothed_ms + max(1.0, K * self.variation_ms),
        )

    def timeout_ms(self, remaining_ms: float = math.inf) -> float:
        """Returns the time to wait for an acknowledgement, in milliseconds.

        It is at most a share of the remaining time.
        """
        wait_ms = min(MAX_TIMEOUT_MS, self.base_timeout_ms * 2.0 ** min(self.back_off_count, 5))
        return max(min(wait_ms, remaining_ms * MAX_SHARE_OF_REMAINING), MIN_TIMEOUT_MS / 2.0)

    def one_way_ms(self) -> float:
        """Returns half of the round-trip time in milliseconds, or 0 if there is no sample."""
        return 0.0 if math.isnan(self.smoothed_ms) else self.smoothed_ms / 2.0

"""Set-up times by call class, kind of route and exchange, which the planner learns from.

Each histogram is an HdrHistogram (Tene; the `hdrhistogram` package): a fixed table of counts with two
significant digits, where a sorted list would grow with the traffic (docs/timing.md compares both).  Two
windows are kept, the current and the previous one, so that the figures cover one to two windows.  At most
`MAX_KEYS` keys are kept; the least recently updated one is evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_TIME_MS = 16_000  # longer times are recorded as this
SIGNIFICANT_DIGITS = 2
WINDOW_MS = 300_000.0
MAX_KEYS = 96  # in each window; a key has up to three histograms
ENDS = ("stood", "refused", "in_doubt")  # how an attempt ended; in doubt: the set-up took at least this long


@dataclass(frozen=True, slots=True)
class HistogramKey:
    """Identifies the attempts whose times are recorded in the same histograms."""

    class_name: str
    kind: str  # "direct" or "transit"
    exchange: int  # the exchange that the set-up was sent to; the tandem for a transit call


class _KeyHistograms:
    """The histograms of one key and window, by how the attempt ended; each is created with its first time."""

    __slots__ = ("histograms",)

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def add(self, end: str, set_up_ms: float) -> None:
        """Adds one time, limited to the range of the histogram."""
        histogram = self.histograms.get(end)
        if histogram is None:
            histogram = self.histograms[end] = HdrHistogram(1, MAX_TIME_MS, SIGNIFICANT_DIGITS)
        histogram.record_value(min(max(1, round(set_up_ms)), MAX_TIME_MS))


class SetUpTimes:
    """The set-up times of the current and the previous window."""

    def __init__(self, window_ms: float = WINDOW_MS) -> None:
        self.window_ms = window_ms
        self.window_started_at = -window_ms
        self.current_window: OrderedDict[HistogramKey, _KeyHistograms] = OrderedDict()
        self.previous_window: OrderedDict[HistogramKey, _KeyHistograms] = OrderedDict()

    def add(
        self, now: float, class_name: str, direct: bool, exchange: int, end: str, set_up_ms: float
    ) -> None:
        """Records that an attempt ended after `set_up_ms`; `end` is one of `ENDS`."""
        self._rotate_windows(now)
        key = HistogramKey(class_name, "direct" if direct else "transit", exchange)
        histograms = self.current_window.get(key)
        if histograms is None:
            histograms = self.current_window[key] = _KeyHistograms()
            if len(self.current_window) > MAX_KEYS:
                self.current_window.popitem(last=False)
        else:
            self.current_window.move_to_end(key)
        histograms.add(end, set_up_ms)

    def as_dict(self, now: float) -> dict[str, Any]:
        """Returns all recorded times as an object for JSON.

        It has, by key and end, pairs of milliseconds and a count.
        """
        self._rotate_windows(now)
        rows = []
        for key in dict.fromkeys([*self.previous_window, *self.current_window]):
            row: dict[str, Any] = {"class": key.class_name, "kind": key.kind, "exchange": key.exchange}
            for end in ENDS:
                counts: dict[int, int] = {}
                for window in (self.previous_window, self.current_window):
                    histogram = window[key].histograms.get(end) if key in window else None
                    for bucket in histogram.get_recorded_iterator() if histogram is not None else ():
                        set_up_ms = int(bucket.value_iterated_to)
                        counts[set_up_ms] = counts.get(set_up_ms, 0) + bucket.count_at_value_iterated_to
                row[end] = sorted(counts.items())
            rows.append(row)
        return {"window_ms": self.window_ms, "times": rows}

    def _rotate_windows(self, now: float) -> None:
        """Starts a new window when the current one is over, or when the clock stepped back."""
        if 0.0 <= now - self.window_started_at < self.window_ms:
            return
        stale = not 0.0 <= now - self.window_started_at < 2.0 * self.window_ms
        self.previous_window = OrderedDict() if stale else self.current_window
        self.current_window = OrderedDict()
        self.window_started_at = now

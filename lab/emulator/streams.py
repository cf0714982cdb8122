"""Named random streams, one for each purpose.

An additional draw for one purpose does not change the draws for the others.

The generator is Philox (Salmon et al., 2011) as implemented by numpy.  It is counter-based, so streams of one
seed are independent when only their names differ.  Numbers are drawn in blocks because single draws cost ten
times as much.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

import numpy as np

BLOCK_SIZE = 512  # numbers drawn at once


class RandomStream:
    """One named stream of uniform random numbers, with the distributions derived from it."""

    def __init__(self, seed: int, name: str) -> None:
        seed_sequence = np.random.SeedSequence(seed, spawn_key=(crc32(name.encode()), len(name)))
        self._generator = np.random.Generator(np.random.Philox(seed_sequence))
        self._block: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Draws from the uniform distribution over [low, high)."""
        if not self._block:
            self._block = self._generator.random(BLOCK_SIZE).tolist()
        return low + (high - low) * self._block.pop()

    def exponential(self, mean: float) -> float:
        """Draws from the exponential distribution: the time between events of a Poisson process."""
        return -mean * float(np.log1p(-self.uniform()))

    def choose_index(self, weights: Sequence[float]) -> int:
        """Draws an index with a probability proportional to its weight."""
        remaining = self.uniform() * sum(weights)
        for index, weight in enumerate(weights):
            remaining -= weight
            if remaining < 0.0:
                return index
        return len(weights) - 1


class RandomStreams:
    """All random streams of one run, created on first use."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._streams: dict[str, RandomStream] = {}

    def __getitem__(self, name: str) -> RandomStream:
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = RandomStream(self.seed, name)
        return stream

"""A model of a poor link: decides for each packet whether and when it arrives.

Random losses and delays depend only on the seed, the direction and the packet's number, and stalls and
blackouts only on the seed and the time, so that a run can be repeated.  Loss bursts follow the two-state
model of Gilbert and Elliott, whose chain of states is drawn once for each direction.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

BURST_CHAIN_LENGTH = 65_536  # packets, after which the chain of states repeats


@dataclass(frozen=True, slots=True)
class Impairment:
    """The properties of one link.

    Probabilities are from 0 to 1, times in milliseconds since the start of the run.  The directions are "up"
    (to the edge) and "down" (to the device).
    """

    loss: float = 0.0  # probability of the loss of a packet, in each direction
    burst: float = 0.0  # probability that a burst begins at a packet; a burst loses 3 of 4 packets
    burst_end: float = 0.25  # probability that a burst ends at a packet
    delay_ms: float = 20.0
    jitter_ms: float = 0.0  # maximum of an additional random delay
    duplicate: float = 0.0  # probability of a second copy, which arrives delay_ms later
    reorder: float = 0.0  # probability of an additional delay of 3 * delay_ms
    stall_interval_ms: float = 0.0  # one stall in each interval, at a random time
    stall_ms: float = 2_000.0  # packets sent during a stall arrive after it
    stalls: tuple[tuple[float, float], ...] = ()  # additional stalls (from, to)
    blackouts: tuple[tuple[str, float, float], ...] = ()  # (direction, from, to): all packets are lost
    address_changes_at: tuple[float, ...] = ()  # times at which the device's address changes


@dataclass
class ImpairedLink:
    """The link of one device, with a packet counter for each direction."""

    model: Impairment
    seed: int
    started_at: float = 0.0
    sent_packets: dict[str, int] = field(default_factory=lambda: {"up": 0, "down": 0})
    _burst_chains: dict[str, list[bool]] = field(default_factory=dict)

    def arrival_times(self, direction: str, now: float) -> list[float]:
        """Returns the arrival times of a packet sent now: none if it is lost, two if it is duplicated."""
        number = self.sent_packets[direction]
        self.sent_packets[direction] += 1
        model = self.model
        at = now - self.started_at
        source = random.Random(f"{self.seed} {direction} {number}")
        loss_draw, duplicate_draw, reorder_draw, jitter = (source.random() for _ in range(4))
        if any(blocked == direction and start <= at < end for blocked, start, end in model.blackouts):
            return []
        if loss_draw < model.loss or (
            model.burst and self._is_in_burst(direction, number) and source.random() < 0.75
        ):
            return []
        delay_ms = (
            model.delay_ms
            + jitter * model.jitter_ms
            + (3.0 * model.delay_ms if reorder_draw < model.reorder else 0.0)
        )
        leaves_at = max([at, *(end for start, end in self._stalls(at) if start <= at < end)])
        arrivals = [self.started_at + leaves_at + delay_ms]
        if duplicate_draw < model.duplicate:
            arrivals.append(arrivals[0] + model.delay_ms)
        return arrivals

    def address_change_count(self, now: float) -> int:
        """Returns how often the device's address has changed."""
        return sum(change_at <= now - self.started_at for change_at in self.model.address_changes_at)

    def _stalls(self, at: float) -> list[tuple[float, float]]:
        stalls = list(self.model.stalls)
        if self.model.stall_interval_ms:
            current = int(at // self.model.stall_interval_ms)
            for interval in (current - 1, current):
                start = interval * self.model.stall_interval_ms + random.Random(
                    f"{self.seed} stall {interval}"
                ).random() * max(0.0, self.model.stall_interval_ms - self.model.stall_ms)
                if interval >= 0:
                    stalls.append((start, start + self.model.stall_ms))
        return stalls

    def _is_in_burst(self, direction: str, number: int) -> bool:
        chain = self._burst_chains.get(direction)
        if chain is None:
            source = random.Random(f"{self.seed} {direction} chain")
            in_burst = False
            chain = self._burst_chains[direction] = []
            for _ in range(BURST_CHAIN_LENGTH):
                in_burst = (
                    source.random() >= self.model.burst_end
                    if in_burst
                    else source.random() < self.model.burst
                )
                chain.append(in_burst)
        return chain[number % BURST_CHAIN_LENGTH]

"""Starts the program with connections that come up late, which loopback sockets do not do by themselves.

    python -m lab.faults.slow_dial SEED

One dial in three takes up to MAX_DELAY_MS; a delay beyond the program's time limit lets the dial fail.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Generator

from ospreyvale.program.app import main
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Signal
from ospreyvale.transport.network import Address, Network

SLOW_SHARE = 0.33  # of the dials
MAX_DELAY_MS = 600.0


def delay_dials(source: random.Random) -> None:
    """Replaces `Network.dial` by one that waits before it connects."""
    dial = Network.dial

    def dial_late(
        network: Network, address: Address, timeout_ms: float, high_priority: bool = False
    ) -> Generator[Signal, None, Link | None]:
        delay_ms = source.uniform(0.0, MAX_DELAY_MS) if source.random() < SLOW_SHARE else 0.0
        if delay_ms:
            yield from network.loop.sleep(min(delay_ms, timeout_ms))
        if delay_ms > timeout_ms:
            return None
        link = yield from dial(network, address, timeout_ms, high_priority)
        return link

    Network.dial = dial_late  # type: ignore[assignment, method-assign]


if __name__ == "__main__":
    delay_dials(random.Random(int(sys.argv[1])))
    sys.exit(main())

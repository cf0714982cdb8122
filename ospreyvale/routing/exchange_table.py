"""The table of exchanges of all kinds: the last report of each, and the port that reaches it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ospreyvale.routing import interface
from ospreyvale.routing.state import ExchangePort


@dataclass(slots=True)
class ExchangeEntry:
    """One exchange, the port that reaches it, and since when it has its condition."""

    exchange: interface.Exchange
    port: ExchangePort
    condition_since: float


class ExchangeTable:
    """The exchanges of several ports; a full list from one port leaves the entries of the others alone."""

    def __init__(self) -> None:
        self.entries: dict[bytes, ExchangeEntry] = {}

    def update(
        self, now: float, port: ExchangePort, full: bool, exchanges: tuple[interface.Exchange, ...]
    ) -> list[tuple[bytes, float]]:
        """Applies the exchanges that a port reports.

        Returns the address of each exchange whose process has ended, with the start time of its new process,
        or infinity if there is none.
        """
        listed = {exchange.address for exchange in exchanges}
        ended: list[tuple[bytes, float]] = []
        if full:
            for address, entry in list(self.entries.items()):
                if entry.port is port and address not in listed:
                    ended.append((address, math.inf))
                    del self.entries[address]
        for exchange in exchanges:
            former = self.entries.get(exchange.address)
            if exchange.condition is interface.Condition.GONE:
                # Entries that are gone are not kept, as exchanges come and go all day.  The decision module
                # drops them too: it gets the full list.
                if former:
                    ended.append((exchange.address, math.inf))
                    del self.entries[exchange.address]
                continue
            if former and exchange.started_ms > former.exchange.started_ms:
                ended.append((exchange.address, exchange.started_ms))
            since = (
                former.condition_since if former and former.exchange.condition is exchange.condition else now
            )
            self.entries[exchange.address] = ExchangeEntry(exchange, port, since)
        return ended

    def exchanges(self) -> tuple[interface.Exchange, ...]:
        """Returns all exchanges of the table."""
        return tuple(entry.exchange for entry in self.entries.values())

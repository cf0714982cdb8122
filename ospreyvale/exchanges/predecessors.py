"""Calls of exchanges that are no longer listed, by the network address that another exchange may take.

A new process may listen at the address of one that has ended before discovery tells of either.  Until then
it is taken for the former exchange, whose set-ups it gets.  Nothing on the wire tells the two apart, so the
calls are released there once the new exchange is known.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ospreyvale.transport.network import Address

KEEP_MS = 60_000.0  # discovery tells of an exchange within seconds
MAX_ADDRESSES = 4_096


@dataclass(slots=True)
class FormerCalls:
    """The calls of the exchanges that were listed at one network address."""

    removed_at: float  # Unix milliseconds
    calls: dict[int, None] = field(default_factory=dict)


class Predecessors:
    """The calls that were attributed to exchanges which have been removed from the list."""

    def __init__(self) -> None:
        self._by_address: OrderedDict[Address, FormerCalls] = OrderedDict()  # the latest last

    def add_calls(self, address: Address, calls: Iterable[int], now: float) -> None:
        """Adds the calls of an exchange that is removed from the list."""
        former = self._by_address.pop(address, FormerCalls(now))
        former.removed_at = now
        former.calls.update(dict.fromkeys(calls))
        if former.calls:
            self._by_address[address] = former
        if len(self._by_address) > MAX_ADDRESSES:
            self._by_address.popitem(last=False)

    def take_calls(self, address: Address, now: float) -> list[int]:
        """Removes and returns the calls that the new exchange at an address may hold."""
        while self._by_address and next(iter(self._by_address.values())).removed_at < now - KEEP_MS:
            self._by_address.popitem(last=False)
        former = self._by_address.pop(address, None)
        return list(former.calls) if former is not None else []

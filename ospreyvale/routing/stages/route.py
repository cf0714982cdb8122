"""Route: the exchange that the decision module chose, if the call may still be sent there."""

from __future__ import annotations

from ospreyvale.routing.context import Context
from ospreyvale.routing.exchange_table import ExchangeEntry
from ospreyvale.routing.invariant import invariant
from ospreyvale.routing.state import CallState


def find_route(context: Context, state: CallState, address: bytes) -> ExchangeEntry | None:
    """Returns the entry of the chosen exchange, or None if the set-up must not be sent.

    Rejects an action that was decided before the caller gave up, and a set-up after its deadline.
    """
    entry = context.exchange_table.entries.get(address)
    if not invariant(entry is not None, "exchange_known") or entry is None:
        return None
    off_destination = state.offer.transit and entry.exchange.number != state.offer.destination
    if not invariant(not off_destination, "transit_to_its_destination"):
        return None
    if state.final is not None or context.clock.now >= state.deadline_at:
        context.counters["set_ups_too_late"] += 1
        return None
    return entry if context.call_table.may_send(context.clock.now, state, entry) else None

"""Accept: an offered call gets its state and its deadline."""

from __future__ import annotations

from collections.abc import Callable

from ospreyvale.routing.context import Context
from ospreyvale.routing.state import CallerPort, CallState, Offer


def accept_call(
    context: Context, offer: Offer, caller: CallerPort, on_expiry: Callable[[CallState], None]
) -> CallState | None:
    """Returns the state of the new call, or None if its id is in use."""
    state = context.call_table.add(context.clock.now, offer, caller)
    if state is None:
        context.counters["offers_repeated"] += 1
        return None
    context.counters["calls_transit" if offer.transit else "calls_offered"] += 1
    state.timer = context.clock.call_at(state.deadline_at, lambda: on_expiry(state))
    return state

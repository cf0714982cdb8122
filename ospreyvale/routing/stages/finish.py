"""Finish: a call has ended; it is logged and removed from the call table."""

from __future__ import annotations

from ospreyvale.routing import interface
from ospreyvale.routing.context import Context
from ospreyvale.routing.state import CallState


def finish_call(
    context: Context,
    state: CallState,
    end: str,
    reason: interface.RefusalReason = interface.RefusalReason.UNSPECIFIED,
) -> None:
    """Removes the call and writes its log event; `reason` is that of a refusal or failure."""
    context.call_table.remove(state)
    context.log(
        "call",
        call=f"{state.call:016x}",
        end=end,
        why=reason.value,
        attempts=state.attempts,
        dest=state.offer.destination,
        service=state.offer.class_name,
        transit=state.offer.transit,
        ms=round(context.clock.now - state.accepted_at),
    )

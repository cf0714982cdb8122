"""Admit: the decision module gets the call; its decision comes back as actions."""

from __future__ import annotations

from ospreyvale.routing.context import Context
from ospreyvale.routing.state import CallState


def admit_call(context: Context, state: CallState) -> None:
    """Passes the call to the decision module."""
    context.notify_control(state.offer.to_event(state.earliest_send_at))

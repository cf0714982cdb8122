"""Send: an attempt is sent to an exchange, or cancelled."""

from __future__ import annotations

from collections.abc import Callable

from ospreyvale.routing import interface
from ospreyvale.routing.context import Context
from ospreyvale.routing.exchange_table import ExchangeEntry
from ospreyvale.routing.stages.relay import log_attempt_end, record_set_up_time
from ospreyvale.routing.state import CallState, SetUpOrder


def send_attempt(
    context: Context,
    state: CallState,
    entry: ExchangeEntry,
    timeout_ms: float,
    on_expiry: Callable[[CallState], None],
) -> None:
    """Sends the set-up to an exchange; the attempt times out at the caller's deadline at the latest."""
    now = context.clock.now
    attempt = context.call_table.start_attempt(now, state, entry)
    wait_ms = state.deadline_at - now
    if 0.0 < timeout_ms < wait_ms:
        wait_ms = timeout_ms
        attempt.timer = context.clock.call_at(now + wait_ms, lambda: on_expiry(state))
    context.counters["set_ups_sent"] += 1
    if attempt.number > 0:
        context.counters["set_ups_retried"] += 1
        context.log(
            "attempt_repeated",
            call=f"{state.call:016x}",
            attempt=attempt.number,
            exchange=entry.exchange.address.decode("latin-1"),
        )
    entry.port.set_up(SetUpOrder(state.offer, entry.exchange.address, wait_ms))


def cancel_attempt(context: Context, state: CallState, outcome: interface.Outcome) -> None:
    """Cancels the open attempt, which releases its circuits, and reports its end to the decision module."""
    now = context.clock.now
    attempt = context.call_table.end_attempt(now, state, outcome)
    attempt.port.cancel(state.call, attempt.exchange.address)
    log_attempt_end(context, state, attempt, outcome)
    record_set_up_time(context, state, attempt, "in_doubt")
    context.counters[f"attempts_{outcome.value}"] += 1
    context.notify_control(
        interface.Ended(
            state.call,
            attempt.number,
            attempt.exchange.address,
            outcome,
            now - attempt.sent_at,
            state.final is not None,
        )
    )

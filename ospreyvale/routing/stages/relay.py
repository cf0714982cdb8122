"""Relay: answers and ends are passed on between the exchange, the caller and the decision module."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ospreyvale.routing import interface
from ospreyvale.routing.call_table import IN_DOUBT
from ospreyvale.routing.context import Context
from ospreyvale.routing.stages.finish import finish_call
from ospreyvale.routing.state import Attempt, CallState, Final


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an exchange ended an attempt or a standing call."""

    outcome: interface.Outcome
    cause: interface.Cause = interface.Cause.NONE
    wait_ms: float = 0.0  # wait that a full processor advises
    report: tuple[float, ...] = ()  # free and all circuits of the group, where reported


def relay_answer(context: Context, state: CallState, description: bytes) -> None:
    """Passes on the answer of the exchange: the call stands."""
    attempt = state.attempt
    if attempt is None or not context.call_table.set_final(state, Final.STANDS):
        return
    if attempt.timer is not None:
        attempt.timer.cancel()
    # No attempt follows that would need it, and a call may stand for long.
    state.offer = replace(state.offer, description=b"")
    context.counters["answers_stands"] += 1
    context.counters[f"completed.{state.offer.class_name}"] += 1
    state.caller.answer(state.call, description)
    record_set_up_time(context, state, attempt, "stood")
    context.notify_control(
        interface.Standing(
            state.call, attempt.number, attempt.exchange.address, context.clock.now - attempt.sent_at
        )
    )


def relay_end(context: Context, state: CallState, end: AttemptEnd) -> None:
    """Passes on that the exchange ended the attempt or the standing call.

    The outcome OK of an unanswered attempt says that the call stood at the exchange and is over: it fails, as
    another attempt would run it twice.
    """
    stood = state.standing
    over_unanswered = not stood and end.outcome is interface.Outcome.OK
    now = context.clock.now
    attempt = context.call_table.end_attempt(now, state, end.outcome)
    context.counters[f"{'calls' if stood else 'attempts'}_{end.outcome.value}"] += 1
    if not stood:
        log_attempt_end(context, state, attempt, end.outcome, end.cause)
        if end.outcome not in (interface.Outcome.MOOT, interface.Outcome.OK):
            record_set_up_time(context, state, attempt, "in_doubt" if end.outcome in IN_DOUBT else "refused")
    if stood:
        state.caller.release(state.call, end.outcome)
        finish_call(context, state, end.outcome.value)
    elif over_unanswered:
        state.has_run = True
        relay_final(context, state, Final.FAILED, interface.RefusalReason.OVER_UNANSWERED)
    context.notify_control(
        interface.Ended(
            state.call,
            attempt.number,
            attempt.exchange.address,
            end.outcome,
            now - attempt.sent_at,
            stood or over_unanswered,
            end.cause,
            end.wait_ms,
            end.report,
        )
    )


def log_attempt_end(
    context: Context,
    state: CallState,
    attempt: Attempt,
    outcome: interface.Outcome,
    cause: interface.Cause = interface.Cause.NONE,
) -> None:
    """Logs the end of an attempt that was not answered."""
    context.log(
        "attempt_ended",
        call=f"{state.call:016x}",
        attempt=attempt.number,
        exchange=attempt.exchange.address.decode("latin-1"),
        outcome=outcome.value,
        cause=cause.name.lower(),
        ms=round(context.clock.now - attempt.sent_at),
    )


def record_set_up_time(context: Context, state: CallState, attempt: Attempt, end: str) -> None:
    """Records how long the attempt took, for the planner of attempt waits."""
    if context.set_up_times is not None:
        exchange = attempt.exchange
        context.set_up_times.add(
            context.clock.now,
            state.offer.class_name,
            exchange.number == state.offer.destination,
            exchange.number,
            end,
            context.clock.now - attempt.sent_at,
        )


def relay_final(
    context: Context,
    state: CallState,
    final: Final,
    reason: interface.RefusalReason,
    back_off_ms: float = 0.0,
) -> None:
    """Passes the refusal or failure on which the decision module decided to the caller."""
    if not context.call_table.set_final(state, final):
        return
    context.counters[f"answers_{final.value}"] += 1
    end = "rejected" if final is Final.REFUSED else "failed"
    context.counters[f"{end}.{state.offer.class_name}"] += 1
    if final is Final.REFUSED:
        state.caller.refuse(state.call, back_off_ms)
    else:
        state.caller.fail(state.call)
    finish_call(context, state, final.value, reason)


def relay_hang_up(context: Context, state: CallState) -> None:
    """Releases a standing call toward the exchange: its caller hung up."""
    now = context.clock.now
    attempt = context.call_table.end_attempt(now, state, interface.Outcome.CANCELLED)
    attempt.port.release(state.call, attempt.exchange.address)
    context.counters["calls_hung_up"] += 1
    finish_call(context, state, "hung_up")
    context.notify_control(
        interface.Ended(
            state.call,
            attempt.number,
            attempt.exchange.address,
            interface.Outcome.CANCELLED,
            now - attempt.sent_at,
            True,
        )
    )

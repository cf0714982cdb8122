"""What a release (REL) from an exchange means for a set-up that is out on the connection of the release.

A release names a call and not an attempt, so it may concern an earlier attempt of the call.
"""

from __future__ import annotations

from enum import Enum

from ospreyvale.exchanges.unconfirmed import UnconfirmedAttempts
from ospreyvale.protocol.isup import Cause, Code, Message
from ospreyvale.routing import interface
from ospreyvale.routing.stages.relay import AttemptEnd

# Outcome of a set-up that an exchange ends with REL.
OUTCOME_BY_CAUSE: dict[int, interface.Outcome] = {
    Cause.NO_CIRCUIT: interface.Outcome.FULL,
    Cause.USER_BUSY: interface.Outcome.ERROR,
    Cause.RESOURCE_UNAVAILABLE: interface.Outcome.ERROR,
    Cause.TIMER_EXPIRY: interface.Outcome.MOOT,
    Cause.TEMPORARY_FAILURE: interface.Outcome.RESET,
}
# Texts of the NOTE parameter in REL, which state why the set-up was refused.
CAUSE_BY_NOTE = {
    "all_trunks_busy": interface.Cause.NO_CIRCUIT,
    "via_said_no": interface.Cause.CRANKBACK,
    "far_cpu_full": interface.Cause.CRANKBACK_FULL,
    "cpu_full": interface.Cause.PROCESSOR_FULL,
    "number_busy": interface.Cause.LINES_BUSY,
}


class SetUpRelease(Enum):
    """What a release proves of the set-up."""

    ENDS_SET_UP = "ends_set_up"
    ENDS_CALL = "ends_call"  # the call stood and is over; its answer was lost or is late
    STALE = "stale"  # it concerns an earlier attempt
    AMBIGUOUS = "ambiguous"  # the set-up may have ended, or may be out


def interpret_release(
    message: Message, connection_number: int, unconfirmed: UnconfirmedAttempts
) -> SetUpRelease:
    """Returns what a release of a call proves of its set-up on the connection.

    Only the causes in OUTCOME_BY_CAUSE end a set-up.  The cause NORMAL ends a call that stood, and any other
    one may respond to a release from this side.  A refusal of an earlier attempt is sent on the connection of
    that attempt only, the end of a call on any.
    """
    call = message.call
    if message.cause not in OUTCOME_BY_CAUSE:
        if call in unconfirmed:
            return SetUpRelease.STALE
        return SetUpRelease.ENDS_CALL if message.cause == Cause.NORMAL else SetUpRelease.AMBIGUOUS
    may_be_of_earlier_attempt = (
        call in unconfirmed
        if message.cause == Cause.TEMPORARY_FAILURE
        else unconfirmed.was_on(call, connection_number)
    )
    return SetUpRelease.AMBIGUOUS if may_be_of_earlier_attempt else SetUpRelease.ENDS_SET_UP


def set_up_end(message: Message, meaning: SetUpRelease, report: tuple[float, ...]) -> AttemptEnd:
    """Returns how a release ends a set-up, which is in doubt if its meaning is AMBIGUOUS."""
    outcome = interface.Outcome.RESET
    if meaning is SetUpRelease.ENDS_SET_UP:
        outcome = OUTCOME_BY_CAUSE[message.cause]
    elif meaning is SetUpRelease.ENDS_CALL:
        outcome = interface.Outcome.OK
    return AttemptEnd(
        outcome,
        CAUSE_BY_NOTE.get(message.text(Code.NOTE), interface.Cause.NONE),
        message.number(Code.BACK_OFF),
        report,
    )

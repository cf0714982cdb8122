"""What a release proves of a set-up, and the register of attempts that the exchange has not confirmed."""

import pytest

from ospreyvale.exchanges.releases import SetUpRelease, interpret_release, set_up_end
from ospreyvale.exchanges.unconfirmed import MAX_UNCONFIRMED, UNCONFIRMED_MS, UnconfirmedAttempts
from ospreyvale.protocol.isup import Cause, Code, Message, Type
from ospreyvale.routing import interface

FIRST_CONNECTION = 7
SECOND_CONNECTION = 8
ENDS = SetUpRelease.ENDS_SET_UP
STALE = SetUpRelease.STALE
AMBIGUOUS = SetUpRelease.AMBIGUOUS
CALL_OVER = SetUpRelease.ENDS_CALL


@pytest.mark.parametrize(
    ("cause", "first_attempt", "after_loss", "after_give_up"),
    [
        (Cause.NO_CIRCUIT, ENDS, ENDS, AMBIGUOUS),
        (Cause.USER_BUSY, ENDS, ENDS, AMBIGUOUS),
        (Cause.RESOURCE_UNAVAILABLE, ENDS, ENDS, AMBIGUOUS),
        (Cause.TIMER_EXPIRY, ENDS, ENDS, AMBIGUOUS),
        (Cause.TEMPORARY_FAILURE, ENDS, AMBIGUOUS, AMBIGUOUS),
        (Cause.NORMAL, CALL_OVER, STALE, STALE),
        (31, AMBIGUOUS, STALE, STALE),
        (0, AMBIGUOUS, STALE, STALE),
        (255, AMBIGUOUS, STALE, STALE),
    ],
)
def test_what_a_release_proves(
    cause: int, first_attempt: SetUpRelease, after_loss: SetUpRelease, after_give_up: SetUpRelease
) -> None:
    """By cause, for a first attempt, one after a lost connection, and one after another on its connection."""
    message = Message(Type.REL, 1, {Code.CAUSE: bytes([cause])})
    unconfirmed = UnconfirmedAttempts()
    assert interpret_release(message, SECOND_CONNECTION, unconfirmed) is first_attempt
    unconfirmed.add(1, FIRST_CONNECTION, 0.0)
    assert interpret_release(message, SECOND_CONNECTION, unconfirmed) is after_loss
    assert interpret_release(message, FIRST_CONNECTION, unconfirmed) is after_give_up


def test_an_uncertain_end_is_in_doubt_and_keeps_its_cause() -> None:
    message = Message(
        Type.REL,
        1,
        {Code.CAUSE: b"\x22", Code.NOTE: b"cpu_full", Code.BACK_OFF: b"250", Code.REPORT: b"x0:1"},
    )
    certain = set_up_end(message, ENDS, (1.0,))
    assert (certain.outcome, certain.cause, certain.wait_ms) == (
        interface.Outcome.FULL,
        interface.Cause.PROCESSOR_FULL,
        250.0,
    )
    uncertain = set_up_end(message, AMBIGUOUS, (1.0,))
    assert uncertain.outcome is interface.Outcome.RESET
    assert (uncertain.cause, uncertain.wait_ms, uncertain.report) == (certain.cause, 250.0, (1.0,))


def test_the_last_attempt_of_a_call_counts() -> None:
    attempts = UnconfirmedAttempts()
    attempts.add(1, 7, 0.0)
    assert 1 in attempts and attempts.was_on(1, 7)
    attempts.add(1, 8, 10.0)
    assert attempts.was_on(1, 8) and not attempts.was_on(1, 7) and not attempts.was_on(2, 8)


def test_the_register_is_bounded_in_time_and_size() -> None:
    attempts = UnconfirmedAttempts()
    attempts.add(1, 7, 0.0)
    attempts.add(2, 7, UNCONFIRMED_MS)
    assert 1 in attempts and 2 in attempts
    attempts.add(3, 7, UNCONFIRMED_MS + 1.0)
    assert 1 not in attempts and 2 in attempts
    for call in range(10, 10 + 2 * MAX_UNCONFIRMED):
        attempts.add(call, 7, UNCONFIRMED_MS + 2.0)
    assert len(attempts) == MAX_UNCONFIRMED and 10 not in attempts

"""The register of attempts whose end the exchange has not confirmed."""

from ospreyvale.exchanges.unconfirmed import MAX_UNCONFIRMED, UNCONFIRMED_MS, UnconfirmedAttempts


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

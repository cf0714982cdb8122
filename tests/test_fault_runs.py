"""Short seeded fault runs of the real program, and the checker of these runs."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.faults.record import Attempt, Drain, LateTurn, ObservedCall, Record
from lab.faults.scenario import play

SEEDS = list(range(1, 11))  # longer runs: python -m lab.faults
DURATION_MS = 12_000.0
SEEDS_WITH_DELAY = [502, 503, 504, 505, 506]
CALL = 0xB1
NOW = 1_000_000.0


def test_no_rule_is_broken_under_faults(tmp_path: Path) -> None:
    """Guards against two attempts out at once, lost calls and crashes when faults of all kinds overlap."""
    results = play(SEEDS, DURATION_MS, tmp_path)
    assert [(result.seed, result.faults) for result in results if result.faults] == []
    assert all(result.calls > 50 and result.attempts > 50 for result in results)
    troubles = sum((result.troubles for result in results), start=results[0].troubles.__class__())
    assert {"hang", "reset_lines", "restart_exchange", "restart_program", "kill_program"} <= set(troubles)


def test_no_release_is_lost_on_paths_with_a_delay(tmp_path: Path) -> None:
    """Guards against dropping what an exchange has sent on a connection that the program stops using."""
    results = play(SEEDS_WITH_DELAY, DURATION_MS, tmp_path, delayed_paths=True)
    assert [(result.seed, result.faults) for result in results if result.faults] == []
    assert all(result.calls > 50 and result.attempts > 50 for result in results)


def attempt(arrived_ms: float, ended_ms: float, in_doubt: bool = False) -> Attempt:
    """Returns an attempt of CALL with its times after NOW; `ended_ms` 0 stands for one that is out."""
    ended_at = NOW + ended_ms if ended_ms else 0.0
    return Attempt(CALL, "s-00000001", NOW + arrived_ms, ended_at, "end", in_doubt)


@pytest.mark.parametrize(
    ("attempts", "rule"),
    [
        ([attempt(0.0, 50.0), attempt(49.0, 90.0)], "duplicate"),
        ([attempt(0.0, 0.0), attempt(400.0, 450.0)], "duplicate"),
        ([attempt(0.0, 50.0, in_doubt=True), attempt(290.0, 320.0)], "release"),
        ([attempt(0.0, 50.0, in_doubt=True), attempt(351.0, 390.0)], None),
        ([attempt(0.0, 50.0), attempt(51.0, 90.0)], None),
    ],
)
def test_the_checker_finds_attempts_at_once_and_too_soon(attempts: list[Attempt], rule: str | None) -> None:
    faults = Record(attempts=attempts).find_faults()
    assert [fault.split(":")[0] for fault in faults] == ([rule] if rule else [])


@pytest.mark.parametrize(
    ("call", "terminated_ms", "rule"),
    [
        (ObservedCall(CALL, NOW, 900.0), None, "lost"),
        (ObservedCall(CALL, NOW, 900.0, [(NOW + 5.0, 200), (NOW + 9.0, 200)]), None, "answers"),
        (ObservedCall(CALL, NOW, 900.0, [(NOW + 960.0, 504)]), None, "late"),
        (ObservedCall(CALL, NOW, 900.0, [(NOW + 940.0, 504)]), None, None),
        (ObservedCall(CALL, NOW, 900.0, given_up_at=NOW + 300.0), None, None),
        (ObservedCall(CALL, NOW, 900.0, lost_at=NOW + 400.0), None, "lost"),
        (ObservedCall(CALL, NOW, 900.0, lost_at=NOW + 40.0), None, None),
        (ObservedCall(CALL, NOW, 900.0, lost_at=NOW + 400.0), -600.0, "lost"),
        (ObservedCall(CALL, NOW, 900.0, lost_at=NOW + 400.0), -800.0, None),
    ],
)
def test_the_checker_finds_lost_late_and_repeated_answers(
    call: ObservedCall, terminated_ms: float | None, rule: str | None
) -> None:
    terminated_at = [NOW + terminated_ms] if terminated_ms is not None else []
    faults = Record(calls={CALL: call}, terminated_at=terminated_at).find_faults()
    assert [fault.split(":")[0] for fault in faults] == ([rule] if rule else [])


@pytest.mark.parametrize(("arrived_ms", "found"), [(290.0, False), (310.0, True), (900.0, False)])
def test_the_checker_finds_set_ups_after_a_drain(arrived_ms: float, found: bool) -> None:
    drain = Drain("s-00000001", NOW, NOW + 800.0)
    faults = Record(attempts=[attempt(arrived_ms, arrived_ms + 5.0)], drains=[drain]).find_faults()
    assert [fault.split(":")[0] for fault in faults] == (["drain"] if found else [])


@pytest.mark.parametrize(
    ("released_ms", "killed_ms", "found"),
    [(0.0, None, True), (1_540.0, None, False), (1_560.0, None, True), (0.0, 700.0, False)],
)
def test_the_checker_finds_calls_that_are_not_released_to_their_caller(
    released_ms: float, killed_ms: float | None, found: bool
) -> None:
    stood = attempt(1.0, 20.0)
    stood.answered = True
    stood.released_at = NOW + 500.0
    call = ObservedCall(CALL, NOW, 900.0, [(NOW + 21.0, 200)])
    call.released_at = NOW + released_ms if released_ms else 0.0
    killed_at = [NOW + killed_ms] if killed_ms is not None else []
    faults = Record(attempts=[stood], calls={CALL: call}, killed_at=killed_at).find_faults()
    assert [fault.split(":")[0] for fault in faults] == (["release to caller"] if found else [])


@pytest.mark.parametrize(
    ("turn_ended_ms", "turn_ms", "found"), [(49.0, 60.0, False), (49.0, 10.0, True), (30.0, 60.0, True)]
)
def test_the_checker_allows_for_a_late_record_of_the_end_of_an_attempt(
    turn_ended_ms: float, turn_ms: float, found: bool
) -> None:
    attempts = [attempt(0.0, 50.0, in_doubt=True), attempt(250.0, 290.0)]
    record = Record(attempts=attempts, late_turns=[LateTurn(NOW + turn_ended_ms, turn_ms)])
    assert [fault.split(":")[0] for fault in record.find_faults()] == (["release"] if found else [])

"""Checks the rules of call processing against the record of a run, without the program's own counters.

Each call has one final answer in each incarnation of its controller, before its caller gives up.  At most one
attempt is in progress; a new one starts only after the release time that follows an attempt in doubt, and
there are at most four, none after the answer.  No cold exchange is overloaded, no circuit stays seized, and
no set-up goes to an exchange more than 250 ms after the controller was notified that it is not ready.  A
crashed controller need not answer its calls.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

LATE_MS = 20.0  # allowed excess over the caller's patience, as the site grants it
RELEASE_MS = 300.0  # between an attempt in doubt and the next
MAX_ATTEMPTS = 4
DRAIN_GRACE_MS = 250.0  # in which an exchange that is no longer ready may still receive set-ups
# Ends after which the remote exchange may still set the call up.
IN_DOUBT = ("timeout", "reset", "cancelled")

Row = tuple[float, str, tuple[Any, ...]]


def check(rows: Iterable[Row]) -> list[str]:
    """Describes each violation, with its time and the call (exchange, incarnation, call id)."""
    violations: list[str] = []
    offered: dict[tuple[int, int, int], tuple[float, float]] = {}
    answers: dict[tuple[int, int, int], list[tuple[float, str]]] = defaultdict(list)
    given_up_at: dict[tuple[int, int, int], float] = {}
    in_progress: dict[tuple[int, int, int], bool] = {}
    in_doubt_at: dict[tuple[int, int, int], float] = {}
    attempts: dict[tuple[int, int, int], int] = defaultdict(int)
    not_ready_at: dict[tuple[int, int], dict[bytes, float]] = defaultdict(dict)
    listed: dict[tuple[int, int], set[bytes]] = defaultdict(set)
    crashed_at: dict[tuple[int, int], float] = {}
    list_received_at: dict[tuple[int, int], float] = {}
    end_at = 0.0
    for at, event, fields in rows:
        end_at = at
        controller = fields[:2]  # the exchange's number and the incarnation
        key = (*controller, fields[2]) if len(fields) > 2 else None
        match event:
            case "offered":
                offered[key] = at, fields[3]  # type: ignore[index]
            case "answer":
                answers[key].append((at, fields[3]))  # type: ignore[index]
            case "left":
                given_up_at[key] = at  # type: ignore[index]
            case "died":
                crashed_at[controller] = at
            case "told":
                # A new list: exchanges that are missing from it are not ready.
                if list_received_at.get(controller) != at:
                    for address in listed[controller]:
                        not_ready_at[controller].setdefault(address, at)
                    listed[controller] = set()
                    list_received_at[controller] = at
                listed[controller].add(fields[2])
                if fields[3] == "ready":
                    not_ready_at[controller].pop(fields[2], None)
                else:
                    not_ready_at[controller].setdefault(fields[2], at)
            case "out":
                assert key is not None
                if in_progress.get(key):
                    violations.append(f"{at:.0f}: {key}: two attempts out at once")
                if at < in_doubt_at.get(key, -math.inf) + RELEASE_MS:
                    violations.append(f"{at:.0f}: {key}: sent again after {at - in_doubt_at[key]:.0f} ms")
                attempts[key] += 1
                if attempts[key] == MAX_ATTEMPTS + 1:
                    violations.append(f"{at:.0f}: {key}: more than {MAX_ATTEMPTS} attempts")
                not_ready_since = not_ready_at[controller].get(fields[3])
                if not_ready_since is not None and at > not_ready_since + DRAIN_GRACE_MS:
                    violations.append(
                        f"{at:.0f}: {key}: sent to an exchange {at - not_ready_since:.0f} ms "
                        "after it was not ready"
                    )
                if key in answers:
                    violations.append(f"{at:.0f}: {key}: sent after its answer")
                in_progress[key] = True
            case "fell":
                violations.append(f"{at:.0f}: exchange {fields[0]} was overloaded while it was cold")
            case "circuits" if fields[2] != fields[3]:
                violations.append(
                    f"{at:.0f}: {fields[3] - fields[2]} circuits of {fields[:2]} are seized after all calls"
                )
            case "stood":
                in_progress[key] = False  # type: ignore[index]
            case "cancel" | "end":
                in_progress[key] = False  # type: ignore[index]
                if event == "cancel" or fields[3] in IN_DOUBT:
                    in_doubt_at[key] = at  # type: ignore[index]
    for key, (at, patience_ms) in offered.items():
        crash_at = crashed_at.get(key[:2], math.inf)
        due_at = at + patience_ms + LATE_MS
        call_answers = answers.get(key, [])
        if len(call_answers) > 1:
            violations.append(f"{at:.0f}: {key}: {len(call_answers)} answers")
        elif call_answers and call_answers[0][0] > due_at and not given_up_at.get(key, math.inf) < due_at:
            violations.append(f"{at:.0f}: {key}: answered after {call_answers[0][0] - at:.0f} ms")
        elif (
            not call_answers
            and min(crash_at, end_at) > due_at
            and not given_up_at.get(key, math.inf) < due_at
        ):
            violations.append(f"{at:.0f}: {key}: no answer")
    return violations

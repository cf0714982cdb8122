"""Invariants: asserted in debug mode, counted under `python -O`."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()


def invariant(condition: bool, name: str) -> bool:
    """Returns the condition; where it is false, the caller keeps the rule by not acting."""
    if not condition:
        violations[name] += 1
        assert condition, name
    return condition

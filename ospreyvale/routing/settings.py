"""Reads the settings of an instance; the same for the simulator's protocol and for the real program."""

from __future__ import annotations

import json
from typing import Any

from ospreyvale.routing import interface

_REPORT_FIELDS = {
    "outstanding": "in_work",
    "backlog": "queue",
    "utilization": "utilization",
    "recent_ms": "wait_ms",
    "allowed": "set_ups_per_s",
    "cut_by": "hold_back",
    "spare": "free",
    "total": "size",
}


class Params:
    """Typed access to a JSON object; a `ValueError` for a wrong type names the path of the value."""

    def __init__(self, values: Any, path: str = "Params") -> None:
        if not isinstance(values, dict):
            raise ValueError(f"{path} is not a table")
        self.values = values
        self.path = path

    def section(self, key: str) -> Params:
        """Returns a nested object; an empty one if it is missing."""
        return Params(self.values.get(key, {}), f"{self.path}.{key}")

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a number; it is an error if it is missing and there is no default."""
        value = self.values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"{self.path}.{key} is not a number")
        return float(value)

    def boolean(self, key: str) -> bool:
        """Returns a boolean; False if it is missing."""
        value = self.values.get(key, False)
        if not isinstance(value, bool):
            raise ValueError(f"{self.path}.{key} is not true or false")
        return value

    def list_of(self, key: str, kind: type | tuple[type, ...]) -> list[Any]:
        """Returns a list whose items are of a type; an empty one if it is missing."""
        value = self.values.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, kind) for item in value):
            raise ValueError(f"{self.path}.{key} is not a list of the expected kind")
        return value


def parse_settings(params: bytes, seed: int) -> interface.Settings:
    """Parses the settings from the JSON text of the simulator's protocol."""
    return build_settings(Params(json.loads(params)), seed)


def build_settings(top: Params, seed: int) -> interface.Settings:
    """Builds the settings from the object that the operators call 'the settings'."""
    limits = top.section("Limits")
    contract = top.section("Contract")
    specifics = top.section("Specifics")
    hold_ms = specifics.list_of("ClassHoldMs", (int, float))
    classes = []
    for index, service in enumerate(top.list_of("Services", dict)):
        entry = Params(service, f"{top.path}.Services[{index}]")
        classes.append(
            interface.CallClass(
                aim_ms=entry.number("AimMs"),
                deadline_ms=entry.number("DeadlineMs"),
                worth=entry.number("Credit"),
                late_worth=entry.number("LateWorth", 0.0),
                hold_ms=hold_ms[index] if index < len(hold_ms) else 0.0,
            )
        )
    pools = specifics.list_of("PoolsByClass", (list, type(None)))
    columns = top.section("Report").list_of("Columns", str)
    return interface.Settings(
        own_number=int(specifics.number("Here", -1)),
        instances=int(top.number("Siblings")),
        index=int(top.number("SelfIndex")),
        seed=seed,
        classes=tuple(classes),
        max_attempts=int(limits.number("MaxAttempts")),
        probing=limits.boolean("Probing"),
        peers=limits.boolean("Peers"),
        cancel=limits.boolean("Cancel"),
        release_ms=specifics.number("ReleaseMs", 0.0),
        resend_ms=specifics.number("ResendMs", 0.0),
        answer_grace_ms=contract.number("GraceToAnswerMs", 0.0),
        max_retry_after_ms=limits.number("MaxRetryAfterMs", 0.0) if limits.boolean("RetryAfter") else 0.0,
        cold_start_share=contract.number("ColdFrom"),
        cold_ms=contract.number("ColdMs"),
        cold_overload_multiple=contract.number("FallMultiple"),
        cold_overload_ms=contract.number("TipAfterMs"),
        report_fields=tuple(_REPORT_FIELDS.get(name, name) for name in columns),
        pools_by_class=tuple(tuple(entry or ()) for entry in pools),
    )

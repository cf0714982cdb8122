"""Parses incident scripts in KDL and schedules them in a fleet; contains a library of named incidents.

incident "half-die" {
    at "12s" controllers share=0.48 away="4s"
    at "15s" stall exchange=3 for="8s"
}
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from lab.emulator.fleet import Fleet
from ospreyvale.routing import interface
from ospreyvale.routing.stages.relay import AttemptEnd
from ospreyvale.settings.document import DocumentError, NodeReader, parse_document

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")

LIBRARY = """
incident "calm" {
}
incident "half-die" { // 48% of the controllers crash at once and restart without state
    at "12s" controllers share=0.48 away="4s"
}
incident "cold-at-peak" { // an exchange is replaced by a cold one
    at "14s" replace exchange=1
}
incident "stall-and-cold" { // the stall of one exchange overlaps the cold start of another
    at "12s" stall exchange=2 for="8s"
    at "15s" replace exchange=1
}
incident "cut" { // half of the standing calls are cut
    at "15s" cut share=0.5
}
incident "rolling" { // one exchange after the other drains, stops and is replaced
    at "8s" drain exchange=1
    at "12s" replace exchange=1
    at "16s" drain exchange=2
    at "20s" replace exchange=2
    at "24s" drain exchange=3
    at "28s" replace exchange=3
}
incident "late-bus" { // the list of exchanges is 7 s late while an exchange is replaced
    at "2s" bus late="7s"
    at "10s" replace exchange=2
}
incident "slow" { // a third of the exchanges are 2.5 times slower
    at "10s" slow exchange=1 times=2.5 for="15s"
    at "10s" slow exchange=2 times=2.5 for="15s"
}
"""


@dataclass(frozen=True, slots=True)
class IncidentStep:
    """One action of an incident; `at_ms` counts from the start of the run, `text` goes into the record."""

    at_ms: float
    text: str
    apply: Callable[[Fleet], None]


def parse_incidents(text: str = LIBRARY, file: str = "library") -> dict[str, list[IncidentStep]]:
    """Parses the incidents of a document by name; raises DocumentError with all problems."""
    top, problems = parse_document(text, file)
    incidents: dict[str, list[IncidentStep]] = {}
    for node in top.children("incident"):
        name = node.argument("a name")
        if not isinstance(name, str) or name in incidents:
            node.add_problem("has no unique name")
            continue
        incidents[name] = [step for child in node.children("at") if (step := _parse_step(child)) is not None]
        node.reject_unknown()
    top.reject_unknown()
    problems.raise_if_any()
    return incidents


def schedule_incident(fleet: Fleet, steps: list[IncidentStep]) -> None:
    """Schedules all steps of an incident on the fleet's clock."""
    started_at = fleet.clock.now
    for step in steps:
        fleet.clock.at(started_at + step.at_ms, lambda step=step: _apply_step(fleet, step))  # type: ignore[misc]


def _apply_step(fleet: Fleet, step: IncidentStep) -> None:
    fleet.record("incident", -1, 0, step.text)
    step.apply(fleet)


def _parse_step(node: NodeReader) -> IncidentStep | None:
    at_ms = _parse_duration(node, node.argument('a time, as "12s"'))
    action = node.argument("an action")
    apply: Callable[[Fleet], None] | None = None
    match action:
        case "controllers":
            share = node.number("share", 0.0, 1.0)
            away_ms = _parse_duration(node, node.text("away", "0s"))
            apply = lambda fleet: _crash_controllers(fleet, share, away_ms)  # noqa: E731
        case "stall":
            number = node.integer("exchange", 0, 255)
            duration_ms = _parse_duration(node, node.text("for"))
            apply = lambda fleet: fleet.exchanges[number].processor.set_speed(  # noqa: E731
                stalled_until=fleet.clock.now + duration_ms
            )
        case "slow":
            number = node.integer("exchange", 0, 255)
            slowdown = node.number("times", 1.0, 100.0)
            duration_ms = _parse_duration(node, node.text("for"))
            apply = lambda fleet: _slow_down(fleet, number, slowdown, duration_ms)  # noqa: E731
        case "replace":
            number = node.integer("exchange", 0, 255)
            apply = lambda fleet: _replace_exchange(fleet, number)  # noqa: E731
        case "drain":
            number = node.integer("exchange", 0, 255)
            apply = lambda fleet: _start_drain(fleet, number)  # noqa: E731
        case "cut":
            share = node.number("share", 0.0, 1.0)
            apply = lambda fleet: _cut_calls(fleet, share)  # noqa: E731
        case "bus":
            delay_ms = _parse_duration(node, node.text("late"))
            apply = lambda fleet: setattr(fleet, "bus_ms", delay_ms)  # noqa: E731
        case _:
            node.add_problem(
                "is not a known action; allowed: controllers, stall, slow, replace, drain, cut, bus"
            )
    node.reject_unknown()
    return IncidentStep(at_ms, f"{action} {dict(node.node.properties)}", apply) if apply is not None else None


def _parse_duration(node: NodeReader, text: str | int | None) -> float:
    match = _DURATION.match(text) if isinstance(text, str) else None
    if match is None:
        node.add_problem(f'"{text}" is not a time; allowed: as "12s" or "300ms"')
        return 0.0
    return float(match[1]) * (1_000.0 if match[2] == "s" else 1.0)


def _crash_controllers(fleet: Fleet, share: float, away_ms: float) -> None:
    count = round(share * fleet.size)
    stream = fleet.streams["incidents"]
    running = [controller for controller in fleet.controllers if controller.running]
    for _ in range(min(count, len(running))):
        controller = running.pop(int(stream.uniform() * len(running)))
        controller.crash()
        fleet.clock.at(fleet.clock.now + away_ms, controller.start)


def _slow_down(fleet: Fleet, number: int, slowdown: float, duration_ms: float) -> None:
    processor = fleet.exchanges[number].processor
    processor.set_speed(slowdown=slowdown)
    fleet.clock.at(fleet.clock.now + duration_ms, lambda: processor.set_speed(slowdown=1.0))


def _start_drain(fleet: Fleet, number: int) -> None:
    exchange = fleet.exchanges[number]
    fleet.draining[exchange.address] = interface.Exchange(
        number, exchange.address, interface.Condition.DRAINING, exchange.started_ms, exchange.zone
    )
    fleet.publish_exchange_list()


def _replace_exchange(fleet: Fleet, number: int) -> None:
    """Replaces an exchange's machine by a cold one; calls and attempts through the old machine are reset."""
    exchange = fleet.exchanges[number]
    old_address = exchange.address
    fleet.exchange_by_address.pop(old_address, None)
    fleet.draining.pop(old_address, None)
    exchange.replace()
    fleet.exchange_by_address[exchange.address] = exchange
    for controller in fleet.controllers:
        for attempt in list(controller.attempts.values()):
            if attempt.address == old_address:
                fleet.end_attempt(attempt, AttemptEnd(interface.Outcome.RESET))
    fleet.publish_exchange_list()


def _cut_calls(fleet: Fleet, share: float) -> None:
    stream = fleet.streams["incidents"]
    for controller in fleet.controllers:
        for attempt in list(controller.attempts.values()):
            if attempt.state == "stands" and stream.uniform() < share:
                fleet.end_attempt(attempt, AttemptEnd(interface.Outcome.RESET))


__all__ = ["LIBRARY", "DocumentError", "parse_incidents", "schedule_incident"]

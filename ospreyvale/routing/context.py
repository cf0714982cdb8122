"""What the stages share: clock, tables, access to the decision module, counters and log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ospreyvale.routing import interface
from ospreyvale.routing.call_table import CallTable
from ospreyvale.routing.exchange_table import ExchangeTable
from ospreyvale.routing.state import Clock

Log = Callable[..., None]  # called with the name of an event, and its fields as keyword arguments


class SetUpTimeRecorder(Protocol):
    """Records how long set-ups take."""

    def add(
        self, now: float, class_name: str, direct: bool, exchange: int, end: str, set_up_ms: float
    ) -> None:
        """Records one attempt: its class and route, how it ended, and how long it took in milliseconds."""
        ...

    def as_dict(self, now: float) -> dict[str, Any]:
        """Returns what was recorded, as an object for JSON."""
        ...


@dataclass(slots=True)
class Context:
    """Passed to every stage, along with the state of the call."""

    clock: Clock
    call_table: CallTable
    exchange_table: ExchangeTable
    notify_control: Callable[[interface.Event], None]  # queues an event for the decision module
    log: Log
    counters: Counter[str] = field(default_factory=Counter)
    set_up_times: SetUpTimeRecorder | None = None  # recorded only if a timing policy needs them

"""The metrics of one process, as the admin interface, the log and OTLP report them.

The routing stages and the fronts do the counting; this module only reads the counters.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from ospreyvale.routing.core import Core
from ospreyvale.routing.invariant import violations

CALL_RESULTS = ("completed", "rejected", "failed")
# Names of the metrics that are current values; all others only increase.
GAUGES = frozenset({"unanswered", "standing", "members", "members_unavailable"})


class ProcessMetrics:
    """The counters since the start of the process, and gauges of its current state."""

    def __init__(self, core: Core, class_names: tuple[str, ...], counters: Counter[str]) -> None:
        self.core = core
        self.class_names = class_names
        self.counters = counters

    def as_flat_dict(self) -> dict[str, int]:
        """Returns every counter and gauge by name, for the log and OTLP."""
        call_table = self.core.context.call_table
        return {
            **self.counters,
            **{f"broken_{name}": count for name, count in violations.items()},
            "unanswered": call_table.unanswered,
            "standing": call_table.standing,
            "members": len(self.core.context.exchange_table.entries),
            "members_unavailable": self.core.control.count_unavailable(),
        }

    def as_admin_response(self) -> dict[str, Any]:
        """Returns the body of `GET /v1/metrics`."""
        values = Counter(self.as_flat_dict())
        return {
            "downstream_requests": {
                name: {result: values[f"{result}.{name}"] for result in CALL_RESULTS}
                for name in self.class_names
            },
            "upstream_requests": values["upstream_requests"],
            "pending": len(self.core.context.call_table.calls),  # includes standing calls
            "members": values["members"],
            "members_unavailable": values["members_unavailable"],
        }

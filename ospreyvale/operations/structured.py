"""The event log through structlog, for installations whose edge document has a `log` node.

Writes the same lines with the same bounded queue as `EventLog`, and adds levels, extra fields on every line,
and suppressed events.  The default start does not use structlog; docs/design.md has its cost.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, MutableMapping
from typing import Any

import orjson
import structlog

from ospreyvale.operations.eventlog import EventLog
from ospreyvale.settings.edge import LOG_LEVELS, LogConfig

# Levels of the events that are not logged at info.
LEVEL_OF: Mapping[str, str] = {
    "call": "debug",
    "attempt_ended": "debug",
    "attempt_repeated": "debug",
    "fault": "error",
    "reload_refused": "warning",
    "timing_refused": "warning",
    "slow_turn": "warning",
    "protocol_error": "warning",
    "bus_silent": "warning",
    "bus_unreachable": "warning",
    "otlp_failed": "warning",
    "handover_off": "warning",
    "timing_not_learned": "warning",
}


class StructuredLog(EventLog):
    """Writes the events at or above the configured level that are not suppressed."""

    def __init__(
        self, read_clock: Callable[[], float], name: str, config: LogConfig, fd: int | None = None
    ) -> None:
        super().__init__(read_clock, name, fd)
        self.min_level = LOG_LEVELS.index(config.level)
        self.suppressed_events = config.suppressed_events
        # structlog wraps this object: the bytes from the last processor go to `self.write`.
        self.structlog_logger = structlog.wrap_logger(
            self,
            processors=[self._add_level, self._add_timestamp, self._render],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(node=name, **dict(config.extra_fields))

    def __call__(self, event: str, **fields: Any) -> None:
        """Queues the line of an event, unless the event is suppressed or below the configured level."""
        if (
            event not in self.suppressed_events
            and LOG_LEVELS.index(LEVEL_OF.get(event, "info")) >= self.min_level
        ):
            self.structlog_logger.write(event, **fields)

    @staticmethod
    def _add_level(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        line["level"] = LEVEL_OF.get(line["event"], "info")
        return line

    def _add_timestamp(self, _: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        line["ts"] = round(self.read_clock())
        return line

    @staticmethod
    def _render(_: Any, __: str, line: MutableMapping[str, Any]) -> bytes:
        return orjson.dumps(dict(line), default=str, option=orjson.OPT_APPEND_NEWLINE)

"""The operators' HTTP interface: readiness, metrics, timing policy, devices, and draining."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import orjson

from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.http import Reply, Routes
from ospreyvale.operations.metrics import ProcessMetrics
from ospreyvale.operations.timing import TimingService

BASE_PATH = b"/v1/session-controller"


class DeviceStatusProvider(Protocol):
    """What the admin interface needs of the device front."""

    def statistics(self) -> dict[str, Any]:
        """Returns the counts of the device front."""
        ...

    def describe_device(self, name: str) -> dict[str, Any] | None:
        """Returns the state of one device; None if it has no session."""
        ...


class Admin:
    """Answers the requests of the admin interface; `routes` lists them."""

    def __init__(
        self,
        metrics: ProcessMetrics,
        drain: Drain,
        timing: TimingService,
        devices: DeviceStatusProvider | None,
        is_ready: Callable[[], bool],
    ) -> None:
        self.metrics = metrics
        self.drain = drain
        self.devices = devices
        self.is_ready = is_ready
        self.routes: Routes = {
            b"/v1/readyz": {b"GET": self._get_ready},
            b"/v1/metrics": {b"GET": lambda _: Reply(200, orjson.dumps(metrics.as_admin_response()))},
            b"/v1/timing": {b"GET": timing.get_policy, b"PUT": timing.put_policy},
            b"/v1/timing/figures": {b"GET": timing.get_figures},
            b"/v1/devices": {b"GET": self._get_devices},
            BASE_PATH + b"/drain": {b"PUT": self._begin_drain},
            BASE_PATH + b"/activate": {b"PUT": self._end_drain},
        }

    def _get_ready(self, _: bytes) -> Reply:
        """Returns 200 if this process accepts callers, and 503 otherwise.

        It accepts callers if it has started and is not draining.
        """
        accepting = self.is_ready() and not self.drain.active
        return Reply(200 if accepting else 503, b'{"ready":true}' if accepting else b'{"ready":false}')

    def _get_devices(self, query: bytes) -> Reply:
        """Returns the counts of the device front, or the state of one device for the query `?NAME`."""
        if self.devices is None:
            return Reply(404, b'{"devices":"off"}')
        name = query.decode("utf-8", "replace").strip()
        status = self.devices.describe_device(name) if name else self.devices.statistics()
        return Reply(404, b'{"session":false}') if status is None else Reply(200, orjson.dumps(status))

    def _begin_drain(self, _: bytes) -> Reply:
        self.drain.begin()
        return Reply(200, b'{"state":"draining"}')

    def _end_drain(self, _: bytes) -> Reply:
        self.drain.end()
        return Reply(200, b'{"state":"active"}')

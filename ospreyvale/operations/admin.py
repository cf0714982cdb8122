"""Where the operators call: readiness, the figures, and sending clients away."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.http import Reply, Routes
from ospreyvale.operations.figures import Figures
from ospreyvale.operations.timing import TimingDesk

BASE = b"/v1/session-controller"


class Admin:
    """The calls of the admin front."""

    def __init__(self, figures: Figures, drain: Drain, timing: TimingDesk, ready: Callable[[], bool]) -> None:
        self.figures, self.drain, self.ready = figures, drain, ready
        self.routes: Routes = {
            b"/v1/readyz": {b"GET": self._ready},
            b"/v1/metrics": {b"GET": lambda _: Reply(200, orjson.dumps(figures.metrics()))},
            b"/v1/timing": {b"GET": timing.show, b"PUT": timing.put},
            b"/v1/timing/figures": {b"GET": timing.figures},
            BASE + b"/drain": {b"PUT": self._drain},
            BASE + b"/activate": {b"PUT": self._activate}}

    def _ready(self, _: bytes) -> Reply:
        """Whether this process takes clients: not before it is ready, and not while they are sent away."""
        taking = self.ready() and not self.drain.on
        return Reply(200 if taking else 503, b'{"ready":true}' if taking else b'{"ready":false}')

    def _drain(self, _: bytes) -> Reply:
        self.drain.begin()
        return Reply(200, b'{"state":"draining"}')

    def _activate(self, _: bytes) -> Reply:
        self.drain.end()
        return Reply(200, b'{"state":"active"}')

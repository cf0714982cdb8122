"""The program: puts the parts together, runs them, and ends them on SIGTERM."""

from __future__ import annotations

import gc
import os
import resource
import signal
import socket
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from ospreyvale.program.admin import Admin
from ospreyvale.program.bus import BusFront
from ospreyvale.program.config import Config, ConfigError, read_config
from ospreyvale.program.drain import Drain
from ospreyvale.program.edge import Edge, read_edge
from ospreyvale.program.eventlog import EventLog
from ospreyvale.program.figures import Figures
from ospreyvale.program.http import HttpFront, OtlpExporter, Routes, counters_routes
from ospreyvale.program.isup_exchanges import IsupExchanges
from ospreyvale.program.m3ua_exchanges import M3uaExchanges
from ospreyvale.program.m3ua_front import M3uaFront
from ospreyvale.program.sip_front import SipFront
from ospreyvale.routing.core import Core
from ospreyvale.transport.loop import READ, Coroutine, Loop
from ospreyvale.transport.network import Address, Dialer, Link, Network

EDGE = Path("deploy/edge.toml")
LINGER_MS = 750.0  # set-ups may still come for 0.6 s after SIGTERM
CHECK_MS = 20.0
GC_OBJECTS = 50_000
SLOW_TURN_MS = 20.0


class Logger(Protocol):
    """What the program needs of its log."""

    dropped: int

    def __call__(self, event: str, **fields: Any) -> None: ...


class Edges(Dialer, Protocol):
    """What the program needs of the network."""

    def listen(self, address: Address, serve: Callable[[Link], Coroutine],
               make_room: Callable[[], bool], urgent: bool = False) -> Callable[[], None]: ...


class App:
    """One session controller."""

    def __init__(self, config: Config, edge: Edge, network: Edges, log: Logger,
                 reread: Callable[[], Config]) -> None:
        self.reread = reread
        self.config, self.loop, self.log = config, network.loop, log
        loop = network.loop
        self.core = Core(loop, config.settings, config.drain_grace_ms, log)
        self.counters = self.core.context.counters
        self.drain = Drain(loop, log)
        self.kept = Figures(self.core, config.classes, self.counters)
        patience_ms = tuple(kind.deadline_ms for kind in config.settings.classes)
        self.sip = SipFront(loop, self.core, config.name, config.classes, patience_ms, self.counters, log,
                            self.drain, config.customers, config.widest, config.sockets)
        self.core.home = self.sip
        self.exchanges = IsupExchanges(network, self.core, config.columns, config.connect_timeout_ms,
                                       self.counters, log)
        for event in config.known:
            self.exchanges.take(event)
        self.bus = BusFront(network, config.bus, config.connect_timeout_ms, config.offset,
                            self.exchanges.take, log)
        if edge.m3ua.exchanges:
            M3uaExchanges(network, self.core, edge.m3ua, config.connect_timeout_ms, self.counters, log)
        listens: list[tuple[Address, Callable[[Link], Coroutine]]] = [(config.listen, self.sip.serve)]
        if edge.m3ua.listen is not None:
            m3ua = M3uaFront(loop, self.core, edge.m3ua, config.classes, patience_ms, config.settings.seed,
                             self.counters, log, self.drain)
            listens.append((edge.m3ua.listen, m3ua.serve))
        if edge.otlp.endpoint is not None:
            OtlpExporter(network, edge.otlp, edge.otlp.endpoint, config.name, self.figures, self.counters,
                         log)
        self.stops = [network.listen(address, serve, self.sip.make_room) for address, serve in listens]
        self.stopping = False
        if edge.counters is not None:
            self._listen_http(network, edge.counters, counters_routes(self.figures))
        if config.admin is not None:
            self._listen_http(network, config.admin, Admin(self.kept, self.drain, lambda: True).routes)
        loop.on_fault = self._fault
        log("started", listen=f"{config.listen[0]}:{config.listen[1]}", exchanges=len(self.exchanges.far))

    def _listen_http(self, network: Edges, address: Address, routes: Routes) -> None:
        """A listener of its own, read first: no call there waits behind callers or for their descriptors."""
        front = HttpFront(network, routes, self.counters)
        self.stops.append(network.listen(address, front.serve,
                                         lambda: front.make_room() or self.sip.make_room(), urgent=True))

    def stop(self) -> None:
        """SIGTERM: take what still comes for a while, answer all of it, then end."""
        if not self.stopping:
            self.stopping = True
            self.log("stopping", unanswered=self.core.context.table.unanswered)
            self.loop.at(self.loop.now + LINGER_MS, self._end_when_answered)

    def reload(self) -> None:
        """SIGHUP: the file may name another bus; a bad file is logged, and what was told before holds.

        All else that it may change (limits, settings, what is known) is read at the next start.
        """
        try:
            config = self.reread()
        except (ConfigError, OSError) as error:
            self.counters["reloads_refused"] += 1
            self.log("reload_refused", why=str(error))
            return
        self.counters["reloads"] += 1
        self.log("reloaded", bus=f"{config.bus[0]}:{config.bus[1]}")
        self.bus.move(config.bus)

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.report()
        elif number == signal.SIGHUP:
            self.reload()
        else:
            self.stop()

    def report(self) -> None:
        """The counters, for the log."""
        self.log("counters", **self.figures(), longest_turn_ms=round(self.loop.longest_ms),
                 memory_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
                 descriptors=len(os.listdir("/proc/self/fd")))

    def figures(self) -> dict[str, int]:
        return {**self.kept.flat(), "log_dropped": self.log.dropped}

    def _end_when_answered(self) -> None:
        if self.core.context.table.unanswered:
            self.loop.at(self.loop.now + CHECK_MS, self._end_when_answered)
            return
        for stop in self.stops:
            stop()
        self.loop.running = False

    def _fault(self, fault: BaseException) -> None:
        self.counters["faults"] += 1
        self.log("fault", why=f"{type(fault).__name__}: {fault}",
                 at="".join(traceback.format_tb(fault.__traceback__)[-3:]))


class Signals:
    """Signals come through a socket pair, so that they are handled within a turn.

    Both ends are kept here: with the writing one collected, the other was readable for good, and the loop
    spun on it for a whole core.
    """

    def __init__(self, loop: Loop, act: Callable[[int], None]) -> None:
        self.act = act
        self.inside, self.outside = socket.socketpair()
        for end in (self.inside, self.outside):
            end.setblocking(False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.outside.fileno(), warn_on_full_buffer=False)
        loop.watch(self.inside.fileno(), READ, self._taken)

    def close(self) -> None:
        signal.set_wakeup_fd(-1)
        self.inside.close()
        self.outside.close()

    def _taken(self, _: int) -> None:
        for number in self.inside.recv(64):
            self.act(number)


def main() -> int:
    """Run until SIGTERM; 2, with one line, where the configuration is wrong."""
    try:
        environment = dict(os.environ)
        config = read_config(environment)
        # What the platform grants is what we see, so that running out is met as EMFILE, not as a breach.
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        granted = config.sockets if most == resource.RLIM_INFINITY else min(config.sockets, most)
        resource.setrlimit(resource.RLIMIT_NOFILE, (granted, most))
        loop = Loop()
        log = EventLog(loop.clock, config.name)
        app = App(config, read_edge(EDGE), Network(loop), log, lambda: read_config(environment))
    except (ConfigError, OSError) as error:
        print(f"ospreyvale: {error}", file=sys.stderr)
        return 2
    signals = Signals(loop, app.on_signal)
    # Full collections of the default pace took turns of their own; what calls leave is freed by count.
    gc.set_threshold(GC_OBJECTS, 20, 20)
    gc.freeze()
    longest = SLOW_TURN_MS
    while loop.running:
        loop.turn()
        if loop.longest_ms > longest:  # only ever longer ones: a few lines in all
            longest = loop.longest_ms
            log("slow_turn", ms=round(longest))
        log.flush()
    app.report()
    log("ended")
    log.flush()
    signals.close()
    return 0

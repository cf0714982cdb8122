"""The session controller process: builds its parts, runs the event loop, and handles signals."""

from __future__ import annotations

import gc
import math
import os
import random
import resource
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from ospreyvale.exchanges.discovery import DiscoveryClient
from ospreyvale.exchanges.isup import IsupExchanges
from ospreyvale.exchanges.m3ua import M3uaExchanges
from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.http import HttpFront, Routes
from ospreyvale.fronts.m3ua import M3uaFront
from ospreyvale.fronts.sip import CALLERS_DESCRIPTOR_DIVISOR, RESERVED_DESCRIPTORS, SipFront
from ospreyvale.operations.admin import Admin
from ospreyvale.operations.eventlog import EventLog
from ospreyvale.operations.handover import HandoverSource, HandoverTarget, ProcessParts
from ospreyvale.operations.metrics import ProcessMetrics
from ospreyvale.operations.otlp import OtlpExporter, counters_routes
from ospreyvale.operations.timing import TimingService
from ospreyvale.program.signals import SignalReceiver
from ospreyvale.routing.core import Core
from ospreyvale.settings.config import Config, ConfigError, read_config
from ospreyvale.settings.document import DocumentError
from ospreyvale.settings.edge import EdgeConfig, read_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.timing.policy import SiteRules
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Address, DatagramSocket, Dialer, ListeningSocket, Network
from ospreyvale.transport.unix_socket import connect_unix, listen_unix

if TYPE_CHECKING:
    from ospreyvale.fronts.devices import DeviceFront

SIP_TCP = "sip-tcp"
DEFAULT_EDGE_PATH = Path("deploy/edge.kdl")  # unless LB_EDGE names another file
LINGER_MS = 750.0  # callers may still send set-ups for 0.6 s after SIGTERM
# SIGKILL follows SIGTERM after KILL_DELAY_MS and the longest deadline of a call class, counted up to
# MAX_KILL_DEADLINE_MS.  The process ends KILL_MARGIN_MS before it.
KILL_DELAY_MS = 700.0
MAX_KILL_DEADLINE_MS = 3_000.0
KILL_MARGIN_MS = 600.0
MIN_SET_UP_TIME_MS = 400.0  # a set-up with less time before the end of the process is refused at once
CLOSE_DELAY_MS = 100.0  # between closing the listeners and the connections, and then before the process ends
END_CHECK_INTERVAL_MS = 20.0  # between checks whether the process can end
GC_THRESHOLD = 50_000  # container objects, net of freed ones, between collections of the youngest generation
SLOW_TURN_MS = 20.0  # shorter turns of the event loop are not logged


class Logger(Protocol):
    """What the program needs of the event log; see `EventLog`."""

    dropped: int

    def __call__(self, event: str, **fields: Any) -> None:
        """Logs an event."""
        ...


class AppNetwork(Dialer, Protocol):
    """What the program needs of the network; see `Network`."""

    free_outgoing: Callable[[], bool]  # closes an outgoing connection that can be spared

    def listen(
        self,
        address: Address,
        serve: Callable[[Link], Coroutine],
        free_descriptor: Callable[[], bool],
        high_priority: bool = False,
        fd: int | None = None,
    ) -> ListeningSocket:
        """Opens a listener at the address, or on `fd`, a listening socket from another process."""
        ...

    def open_datagram_socket(
        self, address: Address, on_datagram: Callable[[Address, bytes], None], fd: int | None = None
    ) -> DatagramSocket:
        """Opens a UDP socket at the address, or on `fd`, a socket from another process."""
        ...

    def adopt_connection(self, fd: int, serve: Callable[[Link], Coroutine]) -> None:
        """Starts `serve` on a connection from another process."""
        ...


class App:
    """One session controller: its fronts, exchanges, operator interfaces and handover."""

    def __init__(
        self,
        config: Config,
        edge: EdgeConfig,
        network: AppNetwork,
        log: Logger,
        load_config: Callable[[], Config],
        handover_directory: Path | None = None,
        load_edge: Callable[[SiteRules], EdgeConfig] | None = None,
    ) -> None:
        self.load_config = load_config
        self.load_edge = load_edge
        self.network = network
        self.config = config
        self.loop = network.loop
        self.log = log
        loop = network.loop
        self.core = Core(loop, config.settings, config.drain_grace_ms, log)
        self.counters = self.core.context.counters
        self.timing = TimingService(
            self.core, self._build_site_rules, random.Random(config.settings.seed).random, self.counters, log
        )
        self.m3ua_exchange_numbers = frozenset(exchange.number for exchange in edge.m3ua.exchanges)
        self.drain = Drain(loop, log)
        self.process_metrics = ProcessMetrics(self.core, config.class_names, self.counters)
        max_patience_ms = tuple(call_class.deadline_ms for call_class in config.settings.classes)
        self.sip = SipFront(
            loop,
            self.core,
            config.name,
            config.class_names,
            max_patience_ms,
            self.counters,
            log,
            self.drain,
            config.customers,
            config.max_circuits_per_call,
            config.max_sockets,
        )
        self.core.orphan_port = self.sip
        self.exchanges = IsupExchanges(
            network, self.core, config.report_columns, config.connect_timeout_ms, self.counters, log
        )
        self.sip.exchange_count = lambda: len(self.exchanges.remotes)
        network.free_outgoing = self.exchanges.supervisor.free_descriptor
        for event in config.known_events:
            self.exchanges.apply_event(event)
        self.discovery = DiscoveryClient(
            network,
            config.discovery_address,
            config.connect_timeout_ms,
            config.discovery_offset,
            self.exchanges.apply_event,
            log,
        )
        m3ua_exchanges = (
            M3uaExchanges(network, self.core, edge.m3ua, config.connect_timeout_ms, self.counters, log)
            if edge.m3ua.exchanges
            else None
        )
        self.serve_by_address: dict[Address, Callable[[Link], Coroutine]] = {config.listen: self.sip.serve}
        if edge.m3ua.listen is not None:
            m3ua_front = M3uaFront(
                loop,
                self.core,
                edge.m3ua,
                config.class_names,
                max_patience_ms,
                config.settings.seed,
                self.counters,
                log,
                self.drain,
            )
            self.serve_by_address[edge.m3ua.listen] = m3ua_front.serve
        if edge.otlp.endpoint is not None:
            OtlpExporter(
                network, edge.otlp, edge.otlp.endpoint, config.name, self.metrics, self.counters, log
            )
        self.devices = create_device_front(network, self, edge) if edge.devices is not None else None
        if self.devices is not None and edge.devices is not None and SIP_TCP in edge.devices.listen:
            self.serve_by_address[edge.devices.listen[SIP_TCP]] = self.devices.serve
        self.listeners: dict[Address, ListeningSocket] = {}  # for callers
        self.operator_listeners: list[ListeningSocket] = []  # for operators: admin and counters
        self.timing.apply(edge.timing_policy, "start")
        self.stopping = self.ignore_standing_calls = self.ready = False
        self.must_end_at = math.inf
        if edge.counters_listen is not None:
            self._listen_http(network, edge.counters_listen, counters_routes(self.metrics))
        if config.admin is not None:
            admin = Admin(
                self.process_metrics,
                self.drain,
                self.timing,
                self.devices,
                lambda: self.ready and not self.handover_source.handed_over,
            )
            self._listen_http(network, config.admin, admin.routes)
        loop.on_exception = self._on_exception
        self.handover_path = (
            handover_directory / f"{config.name}.handover" if handover_directory is not None else None
        )
        self.stop_handover_listener: Callable[[], None] = lambda: None
        parts = ProcessParts(
            loop,
            self.core,
            self.sip,
            self.exchanges,
            m3ua_exchanges,
            network,
            lambda: self.discovery.offset,
            self.listeners,
            self._listen_for_callers,
            self.drain,
            log,
            self.devices,
        )
        self.handover_source = HandoverSource(parts, self._shut_down)
        channel = connect_unix(loop, self.handover_path) if self.handover_path is not None else None
        if channel is None:
            self._start_serving()
        else:
            loop.spawn(HandoverTarget(parts, channel, self._start_serving).run())
        log(
            "started",
            listen=f"{config.listen[0]}:{config.listen[1]}",
            exchanges=len(self.exchanges.remotes),
            replaces=channel is not None,
        )

    def _listen_for_callers(self, address: Address, fd: int | None = None) -> None:
        """Listens for callers at the address, on the old process's listening socket if `fd` is given."""
        if address in self.serve_by_address:
            self.listeners[address] = self.network.listen(
                address, self.serve_by_address[address], self.sip.free_descriptor, fd=fd
            )
        elif fd is not None:
            os.close(fd)

    def _start_serving(self) -> None:
        """Starts serving callers, and waits for a process that replaces this one."""
        for address in self.serve_by_address:
            if address not in self.listeners:
                self._listen_for_callers(address)
        if self.devices is not None:
            self.devices.open()
        self.ready = True
        if self.handover_path is not None:
            try:
                self.stop_handover_listener = listen_unix(
                    self.loop, self.handover_path, self.handover_source.serve
                )
            except OSError as error:  # no such directory, or no permission: calls are served without handover
                self.log("handover_off", why=str(error))
        self.log("ready")

    def _listen_http(self, network: AppNetwork, address: Address, routes: Routes) -> None:
        """Opens an HTTP listener for operators.

        It has high priority and may close callers' connections, so that requests wait neither behind callers
        nor for a free descriptor.
        """
        front = HttpFront(network, routes, self.counters)
        self.operator_listeners.append(
            network.listen(
                address,
                front.serve,
                lambda: front.free_descriptor() or self.sip.free_descriptor(),
                high_priority=True,
            )
        )

    def stop(self) -> None:
        """Handles SIGTERM: still serves calls, and ends the process when none is left.

        The process waits for standing calls, as these are cut at its end and their callers receive no
        release.  After a second SIGTERM it waits for unanswered set-ups only.  The wait has a limit, because
        exchanges send calls in transit for as long as they are accepted, and SIGKILL then ended the process
        with some of them unanswered: all calls are answered and all connections closed well before SIGKILL
        may come.
        """
        if not self.stopping:
            self.stopping = True
            now = self.loop.now
            call_table = self.core.context.call_table
            longest_deadline_ms = max(call_class.deadline_ms for call_class in self.config.settings.classes)
            remaining_ms = max(
                min(longest_deadline_ms, MAX_KILL_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS,
                LINGER_MS + END_CHECK_INTERVAL_MS,
            )
            self.must_end_at = now + remaining_ms
            self.log("stopping", unanswered=call_table.unanswered, standing=call_table.standing)
            self.drain.begin(LINGER_MS, remaining_ms - MIN_SET_UP_TIME_MS)
            self.core.limit_deadlines(self.must_end_at)
            self.loop.call_at(now + LINGER_MS, self._end_when_idle)
        else:
            self.ignore_standing_calls = True

    def reload(self) -> None:
        """Handles SIGHUP.

        Applies the configuration's discovery address and the edge document's timing policy.  An invalid file
        is logged, and the former values stay in force.  All other settings are read at the next start only.
        """
        if self.load_edge is not None:
            try:
                self.timing.apply(self.load_edge(self._build_site_rules()).timing_policy, "reload")
            except DocumentError as error:
                self.timing.record_refusal("reload", error)
        try:
            config = self.load_config()
        except (ConfigError, OSError) as error:
            self.counters["reloads_refused"] += 1
            self.log("reload_refused", why=str(error))
            return
        self.counters["reloads"] += 1
        self.log("reloaded", bus=f"{config.discovery_address[0]}:{config.discovery_address[1]}")
        self.discovery.change_address(config.discovery_address)

    def _build_site_rules(self) -> SiteRules:
        """Returns the rules for checking a timing policy, with the exchanges that discovery lists now."""
        listed = {exchange.number for exchange in self.core.context.exchange_table.exchanges()}
        return build_site_rules(self.config, listed | self.m3ua_exchange_numbers)

    def on_signal(self, number: int) -> None:
        """Handles a Unix signal."""
        if number == signal.SIGUSR1:
            self.log_counters()
        elif number == signal.SIGHUP:
            self.reload()
        else:
            self.stop()

    def log_counters(self) -> None:
        """Writes all counters to the log."""
        self.log(
            "counters",
            **self.metrics(),
            longest_turn_ms=round(self.loop.longest_turn_ms),
            memory_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            descriptors=len(os.listdir("/proc/self/fd")),
        )

    def metrics(self) -> dict[str, int]:
        """Returns all counters and gauges by name."""
        return {**self.process_metrics.as_flat_dict(), "log_dropped": self.log.dropped}

    def _end_when_idle(self) -> None:
        """Closes the listeners when no call is left, or at `must_end_at`; checks again later otherwise."""
        now = self.loop.now
        call_table = self.core.context.call_table
        must_wait = (
            call_table.unanswered
            or self.sip.has_partial_request
            or (call_table.standing and not self.ignore_standing_calls)
        )
        if must_wait and now < self.must_end_at:
            self.loop.call_at(now + END_CHECK_INTERVAL_MS, self._end_when_idle)
            return
        self.drain.refuse_now()
        for listener in self.listeners.values():
            listener.close()
        self.loop.call_at(now + CLOSE_DELAY_MS, self._close_connections)

    def _close_connections(self) -> None:
        """Closes the callers' connections.

        Queued answers, such as refusals of the last set-ups, are still written.
        """
        self.sip.close()
        self.loop.call_at(self.loop.now + CLOSE_DELAY_MS, self._shut_down)

    def _shut_down(self) -> None:
        """Closes everything that listens and ends the loop."""
        for listener in [*self.listeners.values(), *self.operator_listeners]:
            listener.close()
        if self.devices is not None:
            self.devices.close()
        self.stop_handover_listener()
        self.loop.running = False

    def _on_exception(self, error: BaseException) -> None:
        """Counts and logs an exception that a task or a timer has raised."""
        self.counters["faults"] += 1
        self.log(
            "fault",
            why=f"{type(error).__name__}: {error}",
            at="".join(traceback.format_tb(error.__traceback__)[-3:]),
        )


def create_device_front(network: AppNetwork, app: App, edge: EdgeConfig) -> DeviceFront:
    """Creates the front for devices; its libraries are imported only if the document has a `devices` node."""
    from ospreyvale.fronts.devices import DeviceFront

    assert edge.devices is not None
    return DeviceFront(
        network,
        app.loop,
        app.core,
        edge.devices,
        app.config.class_names,
        app.config.settings,
        app.counters,
        app.log,
        app.drain,
    )


def create_event_log(loop: Loop, name: str, edge: EdgeConfig) -> EventLog:
    """Creates the event log; its library is imported only if the document has a `log` node."""
    if edge.log is None:
        return EventLog(loop.read_clock, name)
    try:
        from ospreyvale.operations.structured import StructuredLog
    except ImportError as error:
        raise ConfigError(f"a log node needs the log extra: {error}") from None
    return StructuredLog(loop.read_clock, name, edge.log)


def main() -> int:
    """Runs until SIGTERM and returns the exit status.

    For an invalid configuration, writes the reasons to standard error and returns 2.
    """
    try:
        environment = dict(os.environ)
        config = read_config(environment)
        # Sets RLIMIT_NOFILE to the platform's limit, so that running out of descriptors raises EMFILE here
        # and the process never exceeds the limit.
        hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        max_descriptors = (
            config.max_sockets
            if hard_limit == resource.RLIM_INFINITY
            else min(config.max_sockets, hard_limit)
        )
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
        loop = Loop()
        temporary_directory = environment.get("TMPDIR")
        path = Path(environment.get("LB_EDGE") or DEFAULT_EDGE_PATH)
        edge = read_edge_config(path, build_site_rules(config))
        log = create_event_log(loop, config.name, edge)
        network = Network(loop)
        network.max_outgoing_connections = max(
            1, max_descriptors - max_descriptors // CALLERS_DESCRIPTOR_DIVISOR - RESERVED_DESCRIPTORS
        )
        app = App(
            config,
            edge,
            network,
            log,
            lambda: read_config(environment),
            Path(temporary_directory) if temporary_directory else None,
            lambda site: read_edge_config(path, site),
        )
    except DocumentError as error:
        print(*(f"ospreyvale: {reason}" for reason in error.reasons), sep="\n", file=sys.stderr)
        return 2
    except (ConfigError, OSError) as error:
        print(f"ospreyvale: {error}", file=sys.stderr)
        return 2
    signals = SignalReceiver(loop, app.on_signal)
    # At the default thresholds, full garbage collections made turns of the loop long.  The objects of ended
    # calls are freed by reference counting and do not need them.
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    gc.freeze()
    logged_turn_ms = SLOW_TURN_MS
    while loop.running:
        loop.turn()
        # Logs a turn only if it is longer than all turns before, to limit the number of lines.
        if loop.longest_turn_ms > logged_turn_ms:
            logged_turn_ms = loop.longest_turn_ms
            log("slow_turn", ms=round(logged_turn_ms))
        log.flush()
    app.log_counters()
    log("ended")
    log.flush()
    signals.close()
    return 0

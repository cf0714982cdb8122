"""Runs of the real program between stand-in peers, with faults drawn from a seed."""

from __future__ import annotations

import math
import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from lab.addresses import free_address
from lab.faults.callers import DEADLINES_MS, Callers
from lab.faults.discovery import BusEvent, EventBus
from lab.faults.exchange import ExchangeStandIn
from lab.faults.line import FaultRates
from lab.faults.program import Program, build_config
from lab.faults.record import Drain, LateTurn, Record
from ospreyvale.protocol import eventbus
from ospreyvale.protocol.eventbus import Target
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Network

MIN_CALLS_PER_S = 12.0
MAX_CALLS_PER_S = 30.0
MAX_START_MS = 30_000.0  # until the program has to be ready
START_CHECK_MS = 50.0
MIN_TROUBLE_GAP_MS = 150.0
MAX_TROUBLE_GAP_MS = 900.0
# From SIGTERM to SIGKILL: the longest deadline and this.
KILL_DELAY_MS = max(DEADLINES_MS) + 700.0
CROWD_FACTOR = 4.0
NOTICE_MS = (200.0, 1_500.0)  # from a change of an exchange to its event
MAX_CONCURRENT_RUNS = 5
ONE_WAY_MS = (4.0, 16.0)  # of a path with a delay
LATE_TURN_MS = 10.0  # a turn of the peers' loop as long as this delays what they observe


@dataclass(frozen=True, slots=True)
class RunResult:
    """What one run found."""

    seed: int
    faults: list[str]
    calls: int
    attempts: int
    troubles: Counter[str] = field(default_factory=Counter)


def draw_rates(source: random.Random) -> FaultRates:
    """Draws the probabilities of faults of one exchange; half of the exchanges have none."""
    if source.random() < 0.5:
        return FaultRates()
    return FaultRates(
        spoilt=source.uniform(0.0, 0.15),
        closed=source.uniform(0.0, 0.1),
        reset=source.uniform(0.0, 0.1),
        stalled=source.uniform(0.0, 0.03),
        repeated=source.uniform(0.0, 0.1),
        pieces=source.uniform(0.0, 0.1),
        mute_line=source.uniform(0.0, 0.1),
    )


class Run:
    """One program with its peers, and the troubles that befall them."""

    def __init__(
        self, network: Network, seed: int, duration_ms: float, directory: Path, delayed_paths: bool = False
    ) -> None:
        self.network = network
        self.loop = network.loop
        self.seed = seed
        self.duration_ms = duration_ms
        self.directory = directory / f"seed-{seed}"
        self.source = random.Random(seed)
        self.record = Record()
        self.troubles: Counter[str] = Counter()
        self.result: RunResult | None = None
        self.path_source = random.Random(seed + 2) if delayed_paths else None
        names = [f"s-{seed & 0xFFFF:04x}{number:04x}" for number in range(self.source.randint(3, 5))]
        self.exchanges = [self._create_exchange(name) for name in names]
        self.started_ms = [0] * len(names)
        self.replacement_count = 0
        self.ended_exchanges: list[ExchangeStandIn] = []
        self.bus = EventBus(
            network,
            free_address(),
            tuple(self._target(number, eventbus.READY) for number in range(len(names))),
            self._on_event_sent,
        )
        self.listen_address = free_address()
        self.callers = Callers(
            network,
            self.listen_address,
            self.record,
            random.Random(seed + 1),
            range(1, len(names)),
            self.source.uniform(MIN_CALLS_PER_S, MAX_CALLS_PER_S),
        )
        # In every second run, connections of the program come up late.
        self.slow_dial_seed = seed if seed % 2 else None
        self.program = self._start_program()
        self.expected_to_run = True
        self.loop.spawn(self._play())

    def _create_exchange(self, name: str) -> ExchangeStandIn:
        return ExchangeStandIn(
            self.network,
            free_address(),
            name,
            self.record,
            draw_rates(self.source),
            random.Random(name),
            self.path_source.uniform(*ONE_WAY_MS) if self.path_source is not None else 0.0,
        )

    def _start_program(self) -> Program:
        for event in self.bus.events:  # the configuration tells of all of them
            self._on_event_sent(event)
        config = build_config(self.listen_address, self.bus, len(self.exchanges))
        return Program(config, self.directory, self.slow_dial_seed)

    def _target(self, number: int, state: int) -> Target:
        exchange = self.exchanges[number]
        uid = int(exchange.name.removeprefix("s-"), 16)
        return Target(uid, exchange.address, state, 0, number, self.started_ms[number])

    def _on_event_sent(self, event: BusEvent) -> None:
        """Records the notice of a drain, or its end."""
        for target in event.targets:
            current = [
                drain
                for drain in self.record.drains
                if drain.exchange == target.name and drain.ended_at == math.inf
            ]
            if target.state == eventbus.READY:
                for drain in current:
                    drain.ended_at = self.loop.now
            elif not current:
                self.record.drains.append(Drain(target.name, self.loop.now))

    # ---- the run ----

    def _play(self) -> Coroutine:
        yield from self._wait_until_ready()
        self.callers.start()
        ends_at = self.loop.now + self.duration_ms
        while self.loop.now < ends_at:
            yield from self.loop.sleep(self.source.uniform(MIN_TROUBLE_GAP_MS, MAX_TROUBLE_GAP_MS))
            yield from self._cause_trouble()
            self._check_process()
        yield from self._terminate()
        self.callers.stopped = True
        yield from self.loop.sleep(200.0)
        self._finish()

    def _wait_until_ready(self) -> Coroutine:
        gives_up_at = self.loop.now + MAX_START_MS
        while self.loop.now < gives_up_at:
            link = yield from self.network.dial(self.listen_address, 100.0)
            if link is not None:
                link.close()
                return
            yield from self.loop.sleep(START_CHECK_MS)
        self.record.crashes.append("start: the program did not become ready")

    def _cause_trouble(self) -> Coroutine:
        """Causes one trouble; the more frequent ones stand in the list more than once."""
        instant: list[Callable[[], None]] = [
            self._reset_lines,
            self._refuse_connections,
            self._hang,
            self._hang,
            self._restart_exchange,
            self._restart_exchange,
            self._drain,
            self._replace_exchange,
            self._silence_bus,
            self._stop_bus,
            self._crowd,
            self._reload,
        ]
        lasting: list[Callable[[], Coroutine]] = [
            self._pause_program,
            self._restart_program,
            self._kill_program,
        ]
        choice = self.source.randrange(len(instant) + len(lasting))
        if choice < len(instant):
            self.troubles[instant[choice].__name__.strip("_")] += 1
            instant[choice]()
        else:
            trouble = lasting[choice - len(instant)]
            self.troubles[trouble.__name__.strip("_")] += 1
            yield from trouble()

    def _check_process(self) -> None:
        if self.expected_to_run and not self.program.running:
            self.expected_to_run = False
            self.record.crashes.append(f"crash: exit status {self.program.process.returncode}")

    def _finish(self) -> None:
        self.program.kill()
        for event in self.program.events("fault"):
            self.record.crashes.append(f"crash: {event['why']}")
        self.bus.stop()
        for exchange in [*self.exchanges, *self.ended_exchanges]:
            exchange.die()
        self.result = RunResult(
            self.seed,
            self.record.find_faults(),
            len(self.record.calls),
            len(self.record.attempts),
            self.troubles,
        )

    # ---- troubles ----

    def _any_exchange(self) -> ExchangeStandIn:
        return self.source.choice(self.exchanges)

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        self.loop.call_at(self.loop.now + delay_ms, action)

    def _reset_lines(self) -> None:
        self._any_exchange().reset_lines()

    def _refuse_connections(self) -> None:
        exchange = self._any_exchange()
        exchange.refuse()

        def accept() -> None:
            if exchange in self.exchanges:
                exchange.start()

        self._later(self.source.uniform(50.0, 600.0), accept)

    def _hang(self) -> None:
        self._any_exchange().hang(self.source.uniform(60.0, 1_500.0))

    def _restart_exchange(self) -> None:
        number = self.source.randrange(len(self.exchanges))
        exchange = self.exchanges[number]
        away_ms = self.source.uniform(20.0, 900.0)
        exchange.die()

        def start() -> None:
            if self.exchanges[number] is not exchange:
                return  # it has been replaced
            exchange.start()
            self.started_ms[number] = int(self.loop.now)
            self._later(
                self.source.uniform(*NOTICE_MS),
                lambda: self.bus.publish(self._target(number, eventbus.READY)),
            )

        self._later(away_ms, start)

    def _replace_exchange(self) -> None:
        """Another machine takes the number of an exchange: the old one drains and then ends."""
        number = self.source.randrange(1, len(self.exchanges))
        former = self.exchanges[number]
        former_target = self._target(number, eventbus.DRAINING)
        self.replacement_count += 1
        name = f"s-{self.seed & 0xFFFF:04x}{0xFF00 - self.replacement_count:04x}"
        self.exchanges[number] = self._create_exchange(name)
        self.ended_exchanges.append(former)
        self.started_ms[number] = int(self.loop.now)
        self.bus.publish(former_target)
        self.bus.publish(self._target(number, eventbus.READY))

        def end() -> None:
            former.die()
            self.bus.publish(replace(former_target, state=eventbus.GONE))

        self._later(self.source.uniform(100.0, 1_500.0), end)

    def _drain(self) -> None:
        number = self.source.randrange(1, len(self.exchanges))
        self.bus.publish(self._target(number, eventbus.DRAINING))
        self._later(
            self.source.uniform(300.0, 2_000.0),
            lambda: self.bus.publish(self._target(number, eventbus.READY)),
        )

    def _silence_bus(self) -> None:
        self.bus.set_silent(True)
        self._later(self.source.uniform(500.0, 3_000.0), lambda: self.bus.set_silent(False))

    def _stop_bus(self) -> None:
        self.bus.stop()
        self._later(self.source.uniform(200.0, 2_000.0), self.bus.start)

    def _crowd(self) -> None:
        self.callers.crowd_factor = CROWD_FACTOR
        self._later(self.source.uniform(300.0, 1_200.0), self._end_crowd)

    def _end_crowd(self) -> None:
        self.callers.crowd_factor = 1.0

    def _reload(self) -> None:
        self.program.send_signal(signal.SIGHUP)

    def _pause_program(self) -> Coroutine:
        pause_ms = self.source.uniform(20.0, 150.0)
        self.record.pauses_ms += pause_ms + 10.0
        self.program.send_signal(signal.SIGSTOP)
        yield from self.loop.sleep(pause_ms)
        self.program.send_signal(signal.SIGCONT)

    def _restart_program(self) -> Coroutine:
        yield from self._terminate()
        self.program = self._start_program()
        yield from self._wait_until_ready()
        self.expected_to_run = True

    def _kill_program(self) -> Coroutine:
        self.expected_to_run = False
        self.record.killed_at.append(self.loop.now)
        self.program.kill()
        yield from self.loop.sleep(self.source.uniform(10.0, 500.0))
        self.program = self._start_program()
        yield from self._wait_until_ready()
        self.expected_to_run = True

    def _terminate(self) -> Coroutine:
        """Sends SIGTERM, now and then twice, and SIGKILL as soon as it may come; callers go on meanwhile."""
        self._check_process()
        self.expected_to_run = False
        self.record.terminated_at.append(self.loop.now)
        self.program.send_signal(signal.SIGTERM)
        if self.source.random() < 0.3:
            self._later(self.source.uniform(5.0, 400.0), lambda: self.program.send_signal(signal.SIGTERM))
        yield from self.loop.sleep(KILL_DELAY_MS)
        if not self.program.running and self.program.process.returncode != 0:
            self.record.crashes.append(f"crash: exit status {self.program.process.returncode} after SIGTERM")
        self.program.kill()


def play(
    seeds: list[int],
    duration_ms: float,
    directory: Path,
    concurrent: int = MAX_CONCURRENT_RUNS,
    delayed_paths: bool = False,
) -> list[RunResult]:
    """Plays one run for each seed, several at a time, and returns their results in the order of the seeds.

    With `delayed_paths`, messages between the program and the exchanges take some milliseconds.
    """
    network = Network(Loop())
    waiting = list(reversed(seeds))
    active: list[Run] = []
    results: dict[int, RunResult] = {}
    longest_turn_ms = 0.0
    try:
        while waiting or active:
            while waiting and len(active) < concurrent:
                active.append(Run(network, waiting.pop(), duration_ms, directory, delayed_paths))
            network.loop.turn()
            turn_ms = network.loop.read_clock() - network.loop.now
            if turn_ms > LATE_TURN_MS:
                longest_turn_ms = max(longest_turn_ms, turn_ms)
                for run in active:
                    run.record.late_turns.append(LateTurn(network.loop.now + turn_ms, turn_ms))
            results |= {run.seed: run.result for run in active if run.result is not None}
            active = [run for run in active if run.result is None]
    finally:  # also after a fault of a stand-in
        for run in active:
            run.program.kill()
    if longest_turn_ms:
        print(f"the peers' loop was late by up to {longest_turn_ms:.0f} ms")
    return [results[seed] for seed in seeds]

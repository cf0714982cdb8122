"""Measures costs and gains of the timing policy: `python -m benchmarks.timing [cost|times|plan|start|log]`.

The seeds are fixed.  Costs are ratios of times: medians over alternating runs in one process, or for `start`
the ratio of the medians over new processes; never absolute times.
"""

from __future__ import annotations

import bisect
import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ospreyvale.operations.eventlog import EventLog
from ospreyvale.routing import interface
from ospreyvale.routing.control import Control
from ospreyvale.routing.state import SetUpOrder
from ospreyvale.settings.edge import LogConfig
from ospreyvale.settings.timing import parse_policy_document
from ospreyvale.timing.engine import NO_TIMING_POLICY, NoTimingPolicy, TimingEngine
from ospreyvale.timing.learned import SetUpTimes
from ospreyvale.timing.policy import Policy, SiteCallClass, SiteRules
from ospreyvale.timing.proposal import format_proposals, propose
from tests.rig import SETTINGS, Rig, address

ROOT = Path(__file__).resolve().parent.parent
SITE = SiteRules(
    (  # name, aim_ms, deadline_ms, worth, late_worth
        SiteCallClass("stock-check", 1500.0, 9000.0, 1.0, 0.25),
        SiteCallClass("item-hold", 1000.0, 6000.0, 5.0, 0.25),
    ),
    300.0,  # release_ms
    4,  # max_attempts
    20.0,  # answer_grace_ms
    ("sofia", "plovdiv", "varna"),
    (0, 1, 2, 3, 4),  # exchanges
    2,  # max_tandems
    50.0,  # timer_tick_ms
)
POLICY = """timing {
    class "item-hold" gives-up-ms=1800 {
        route "direct" { attempt wait-ms=400; attempt wait-ms=500 gap-ms=300; }
        route "transit" { attempt wait-ms=700; }
        route "transit" via="varna" { attempt wait-ms=900; }
        back-off first-ms=100 most-ms=1500 factor=2.0 jitter=0.2
        budget retries-per-second=5 share=0.1
    }
    class "stock-check" { attempt wait-ms=2000; second-copy after-ms=2400; }
}"""


def parse_policy(text: str) -> Policy:
    """Parses a timing document that is known to be valid."""
    policy = parse_policy_document(text, "benchmark", SITE)
    assert policy is not None
    return policy


def measure_ratio(
    base: Callable[[], Any], other: Callable[[], Any], rounds: int = 15
) -> tuple[float, float, float]:
    """Returns the median, minimum and maximum over the rounds of the time of `other` over that of `base`."""
    ratios = []
    for _ in range(rounds):
        times = []
        for function in (base, other):
            started_at = time.perf_counter()
            function()
            times.append(time.perf_counter() - started_at)
        ratios.append(times[1] / times[0])
    return statistics.median(ratios), min(ratios), max(ratios)


def format_ratio(ratios: tuple[float, float, float], digits: int = 2) -> str:
    """Formats a median with its minimum and maximum."""
    median, low, high = (f"{value:.{digits}f}" for value in ratios)
    return f"  {median} ({low} to {high})"


def run_calls(timing: TimingEngine | NoTimingPolicy, count: int) -> Control:
    """Passes calls through a new decision module; each is set up, stands and ends before the next."""
    control = Control(SETTINGS, timing)
    now = 1_000_000.0
    control.handle(
        now,
        interface.Roster(
            True, tuple(interface.Exchange(n, address(n), interface.Condition.READY, 0.0) for n in range(5))
        ),
    )
    for number in range(1, 5):
        control.handle(now, interface.Probed(address(number), interface.Outcome.OK, 0.0, (30.0, 30.0)))
    for call in range(1, count + 1):
        exchange = 1 + call % 4
        now += 12.0
        control.handle(now, interface.Call(call, exchange, call, 1_800.0, 1, -1, call % 2))
        control.handle(now + 5.0, interface.Standing(call, 0, address(exchange), 5.0))
        control.handle(
            now + 10.0,
            interface.Ended(
                call, 0, address(exchange), interface.Outcome.OK, 10.0, True, report=(30.0, 30.0)
            ),
        )
    return control


def print_cost() -> None:
    """Prints the time of a call and of a document check with the policy, over the time without it."""
    timing_engine = TimingEngine(parse_policy(POLICY), SITE, random.Random(1).random)
    print(
        "cost of a call in the decision module with the policy, over without one "
        "(median, min, max of 15 rounds):"
    )
    print(
        format_ratio(
            measure_ratio(
                lambda: run_calls(NO_TIMING_POLICY, 3_000), lambda: run_calls(timing_engine, 3_000)
            ),
            2,
        )
    )

    def run_core(timing: TimingEngine | NoTimingPolicy) -> None:
        rig = Rig(lambda order: ("answer", 5.0), free=30.0, timing=timing)
        rig.run(100.0)
        for call in range(1, 1_001):
            rig.offer(call, 1 + call % 4, call % 2, 1_800.0)
            rig.run(40.0)

    print("the same in the whole core, with simulated callers and exchanges:")
    print(format_ratio(measure_ratio(lambda: run_core(NO_TIMING_POLICY), lambda: run_core(timing_engine)), 2))
    text = POLICY
    policy = parse_policy(POLICY)
    print("checking the benchmark's document, over parsing its KDL alone:")
    import ckdl

    print(
        format_ratio(
            measure_ratio(
                lambda: [ckdl.parse(text) for _ in range(20)],
                lambda: [parse_policy_document(text, "b", SITE) for _ in range(20)],
            ),
            0,
        )
    )
    assert policy.classes


class SortedTimes:
    """The reference for the histograms: a sorted list of all times for each key."""

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, bool, int, str], list[float]] = {}

    def add(self, now: float, call_class: str, direct: bool, exchange: int, end: str, ms: float) -> None:
        """Adds one set-up time in milliseconds."""
        bisect.insort(self.by_key.setdefault((call_class, direct, exchange, end), []), ms)


def print_times() -> None:
    """Prints time and memory of the histograms of set-up times, over those of sorted lists."""
    print(
        "recording set-up times, HdrHistogram over a sorted list: time to add (median, min, max), bytes used"
    )
    for count in (1_000, 20_000, 200_000):
        source = random.Random(5)
        samples = [source.lognormvariate(4.6, 0.8) for _ in range(count)]

        def fill(store: Any, samples: list[float] = samples) -> Any:
            for index, ms in enumerate(samples):
                store.add(index * 0.1, "item-hold", True, index % 4, "stood", ms)
            return store

        ratios = measure_ratio(lambda fill=fill: fill(SortedTimes()), lambda fill=fill: fill(SetUpTimes()), 5)  # type: ignore[misc]
        histograms = fill(SetUpTimes())
        histogram_bytes = sum(
            sys.getsizeof(h.counts) + h.counts_len * 8
            for t in [*histograms.current_window.values(), *histograms.previous_window.values()]
            for h in t.histograms.values()
        )
        # 8 bytes for each counter of a histogram, 24 bytes for each float of a list.
        list_bytes = sum(
            sys.getsizeof(times) + 24 * len(times) for times in fill(SortedTimes()).by_key.values()
        )
        print(
            f"  {count:7,} times: {ratios[0]:.2f} ({ratios[1]:.2f} to {ratios[2]:.2f}), "
            f"{histogram_bytes:,} over {list_bytes:,} bytes"
        )


UNANSWERED_SHARES = {"direct": 0.12, "transit": 0.03}  # of set-ups, by route


def create_behavior(source: random.Random) -> Callable[[SetUpOrder], tuple[str, float]]:
    """Returns the behaviour of exchanges with a fast, lossy direct route and slow tandems with less loss.

    A lost set-up is never answered.
    """

    def behave(order: SetUpOrder) -> tuple[str, float]:
        direct = order.address[3] == order.offer.destination
        if source.random() < UNANSWERED_SHARES["direct" if direct else "transit"]:
            return "silent", 0.0
        return "answer", (
            source.lognormvariate(4.4, 0.35) if direct else 250.0 + source.lognormvariate(5.0, 0.4)
        )

    return behave


def simulate_traffic(
    text: str, seed: int, learn: bool = False
) -> tuple[float, float, dict[str, Any], list[str]]:
    """Simulates 2,500 calls with the timing document `text`, or without a policy if it is empty.

    Returns the share of the worth earned in time, the share that includes late worth, the learned set-up
    times (empty without `learn`) and the faults.
    """
    source = random.Random(seed)
    timing = TimingEngine(parse_policy(text), SITE, source.random) if text else NO_TIMING_POLICY
    rig = Rig(create_behavior(source), free=8.0, timing=timing)
    if learn:
        rig.core.context.set_up_times = SetUpTimes(1e9)
    rig.run(200.0)
    for call in range(1, 2_501):
        rig.offer(call, source.randint(1, 4), int(source.random() < 0.3), 1_800.0 if call % 2 else 2_400.0)
        rig.run(source.expovariate(1 / 160.0))
    rig.run(20_000.0)
    classes = SETTINGS.classes
    offered = sum(classes[call.call_class].worth for call in rig.observed.values())
    in_time = with_late = 0.0
    for observed in rig.observed.values():
        call_class = classes[observed.call_class]
        for at, outcome in observed.answers:
            if outcome == "stands":
                on_time = at - observed.offered_at <= call_class.aim_ms
                in_time += call_class.worth * on_time
                with_late += call_class.worth * (1.0 if on_time else call_class.late_worth)
    learned = (
        rig.core.context.set_up_times.as_dict(rig.clock.now)
        if learn and rig.core.context.set_up_times
        else {}
    )
    return in_time / offered, with_late / offered, learned, rig.faults()


def print_plan() -> None:
    """Prints the timing document proposed from learned times and its gain over the present values."""
    learned = simulate_traffic("", 100, learn=True)[2]
    gives_up = {"stock-check": 1_800.0, "item-hold": 1_800.0}
    text = format_proposals(propose(learned, SITE, gives_up, 0.5), gives_up, 0.5)
    print("learned with the present values on seed 100; the proposal with 0.5 retries per call:")
    print(text)
    print("share of the worth earned in time, then including late worth, on seeds 1 to 8:")
    gains = []
    for seed in range(1, 9):
        current = simulate_traffic("", seed)
        proposed = simulate_traffic(text, seed)
        assert current[3] == proposed[3] == [], (current[3], proposed[3])
        gains.append(proposed[0] - current[0])
        print(
            f"  seed {seed}: present {current[0]:.3f} {current[1]:.3f}, "
            f"proposal {proposed[0]:.3f} {proposed[1]:.3f}"
        )
    print(
        f"  gain in time: mean {statistics.mean(gains):+.3f}, "
        f"standard deviation {statistics.stdev(gains):.3f}"
    )


def print_start() -> None:
    """Prints import time, over that of plain Python, and peak memory of the program and of its libraries."""
    print("start-up: import time over plain python (median of 15), and peak memory, KiB")
    imports = [
        ("", "pass"),
        ("the program", "import ospreyvale.program.app"),
        ("ckdl", "import ckdl"),
        ("kdl-py", "import kdl"),
        ("click", "import click"),
        ("the command line", "import ospreyvale.program.cli"),
        ("structlog", "import structlog"),
        ("hdrhistogram", "import hdrh.histogram"),
    ]
    base = 0.0
    for name, code in imports:
        elapsed_s = []
        peak_memory_kib = []
        for _ in range(15):
            started_at = time.perf_counter()
            process = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    code + "\nfor line in open('/proc/self/status'):"
                    "\n if line.startswith('VmHWM'): print(line.split()[1])",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            elapsed_s.append(time.perf_counter() - started_at)
            peak_memory_kib.append(int(process.stdout or 0))
        base = base or statistics.median(elapsed_s)
        print(
            f"  {name or 'plain python':20} {statistics.median(elapsed_s) / base:.2f} "
            f"{statistics.median(peak_memory_kib):,.0f}"
        )


def print_log() -> None:
    """Prints the time of a structured log line, written or below its level, over that of the plain writer."""
    from ospreyvale.operations.structured import StructuredLog

    sink = os.open(os.devnull, os.O_WRONLY)
    plain = EventLog(time.time, "n0", sink)
    structured = StructuredLog(time.time, "n0", LogConfig("debug", frozenset(), ()), sink)
    quiet = StructuredLog(time.time, "n0", LogConfig("info", frozenset(), ()), sink)

    def write(log: EventLog) -> None:
        for n in range(2_000):
            log("call", call="7f3a9c21e0b4d655", end="ok", attempts=1, dest=2, service="item-hold", ms=n)
        log.flush()

    print("cost of a log line, structlog with orjson over the plain writer; and of one below its level:")
    print(format_ratio(measure_ratio(lambda: write(plain), lambda: write(structured)), 2))
    print(format_ratio(measure_ratio(lambda: write(plain), lambda: write(quiet)), 2))


def main() -> None:
    """Prints the measurements named on the command line, or all."""
    measurements = {
        "cost": print_cost,
        "times": print_times,
        "plan": print_plan,
        "start": print_start,
        "log": print_log,
    }
    for name in sys.argv[1:] or measurements:
        measurements[name]()


if __name__ == "__main__":
    main()

"""Known waiting times of queueing models, to verify the simulated processor.

The formulas are in Kleinrock, Queueing Systems, vol. 1.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor

from lab.emulator.clock import Clock
from lab.emulator.processor import Processor
from lab.emulator.streams import RandomStreams

# Many long runs, because at a load of 0.9 a relative error in the arrival rate is tenfold in the mean wait.
SEEDS = 24


def pollaczek_khinchine_wait(rate: float, mean_work: float, mean_square_work: float) -> float:
    """Returns the mean wait in ms of an M/G/1 queue by the Pollaczek-Khinchine formula.

    `rate` is the number of arrivals per ms, `mean_work` and `mean_square_work` are the first and the second
    moment of the work (ms and ms squared).  Raises ValueError when the load is not under 1.
    """
    load = rate * mean_work
    if not 0.0 <= load < 1.0:
        raise ValueError("the load must be under 1")
    return rate * mean_square_work / (2.0 * (1.0 - load))


def md1_wait(rate: float, work: float) -> float:
    """Returns the mean wait in ms of an M/D/1 queue with `rate` arrivals per ms and constant work in ms."""
    return pollaczek_khinchine_wait(rate, work, work * work)


def mm1_wait(rate: float, work: float) -> float:
    """Returns the mean wait in ms of an M/M/1 queue with `rate` arrivals per ms and a mean work in ms."""
    return pollaczek_khinchine_wait(rate, work, 2.0 * work * work)


def priority_waits(rates: Sequence[float], works: Sequence[float]) -> tuple[float, float]:
    """Returns the mean waits of two classes with constant work and non-preemptive priority of the first.

    The formula is by Cobham (1954); rates are arrivals per ms, works and waits are in ms.
    """
    residual = sum(rate * work * work for rate, work in zip(rates, works, strict=True)) / 2.0
    first_load = rates[0] * works[0]
    total_load = first_load + rates[1] * works[1]
    return residual / (1.0 - first_load), residual / ((1.0 - first_load) * (1.0 - total_load))


def simulate_waits(
    seed: int,
    rates: Sequence[float],
    works: Sequence[Callable[[RandomStreams], float]],
    jobs: int,
    answers_first: bool = False,
) -> list[float]:
    """Returns the mean waits in ms in the simulated processor by class.

    `rates` are arrivals per ms, `works` draw the work of one job in ms; the first class has priority with
    `answers_first`.  The first tenth and the last twentieth of the jobs are not counted.
    """
    clock = Clock()
    streams = RandomStreams(seed)
    processor = Processor(clock, answers_first)
    waits = [0.0] * len(rates)
    counts = [0] * len(rates)
    # In proportion to the rates, so that all classes end at about the same time.
    job_counts = [max(1, int(jobs * rate / sum(rates))) for rate in rates]

    def arrive(index: int, remaining: int) -> None:
        arrived_at = clock.now
        work = works[index](streams)

        def on_done() -> None:
            # Skips the start from an empty queue, and the end when the other class may have no jobs left.
            if job_counts[index] // 20 < remaining <= job_counts[index] - job_counts[index] // 10:
                waits[index] += clock.now - arrived_at - work
                counts[index] += 1

        processor.add(work, on_done, priority=index == 0)
        if remaining > 1:
            clock.at(
                clock.now + streams[f"arrivals {index}"].exponential(1.0 / rates[index]),
                lambda: arrive(index, remaining - 1),
            )

    for index in range(len(rates)):
        clock.at(0.0, lambda index=index: arrive(index, job_counts[index]))  # type: ignore[misc]
    clock.run()
    return [wait / count for wait, count in zip(waits, counts, strict=True)]


def _run_single_class(task: tuple[int, float, str]) -> float:
    seed, load, name = task
    work: Callable[[RandomStreams], float] = (
        (lambda _: 10.0) if name == "M/D/1" else (lambda streams: streams["work"].exponential(10.0))
    )
    return simulate_waits(seed, [load / 10.0], [work], 400_000)[0]


def _run_two_classes(seed: int) -> list[float]:
    return simulate_waits(seed, (0.03, 0.05), [lambda _: 4.0, lambda _: 11.0], 400_000, True)


def main() -> None:
    """Prints the results of long runs beside the theory: `python -m lab.emulator.theory`."""
    print(f"| line | load | theory ms | model ms (mean of {SEEDS} seeds) | off |")
    print("| --- | --- | --- | --- | --- |")
    for name, formula in (("M/D/1", md1_wait), ("M/M/1", mm1_wait)):
        for load in (0.3, 0.5, 0.7, 0.8, 0.9):
            expected = formula(load / 10.0, 10.0)
            with ProcessPoolExecutor() as pool:
                runs = list(pool.map(_run_single_class, [(seed, load, name) for seed in range(1, SEEDS + 1)]))
            mean_wait = statistics.mean(runs)
            print(
                f"| {name} | {load} | {expected:.2f} | {mean_wait:.2f} | {mean_wait / expected - 1.0:+.1%} |"
            )
    rates = (0.03, 0.05)
    works = (4.0, 11.0)
    with ProcessPoolExecutor() as pool:
        pairs = list(pool.map(_run_two_classes, range(1, SEEDS + 1)))
    for index, expected in enumerate(priority_waits(rates, works)):
        mean_wait = statistics.mean(pair[index] for pair in pairs)
        print(
            f"| two classes, {('first', 'second')[index]} | 0.67 | {expected:.2f} | {mean_wait:.2f} "
            f"| {mean_wait / expected - 1.0:+.1%} |"
        )


if __name__ == "__main__":
    main()

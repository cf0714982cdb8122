"""Command line of the emulator: `python -m lab.emulator incidents|compare|experiment|scale`."""

from __future__ import annotations

import resource
import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import numpy as np

from lab.emulator import experiment as experiments
from lab.emulator import report
from lab.emulator.checker import check
from lab.emulator.fleet import CLASS_NAMES, CLASSES, CUSTOMERS, Fleet
from lab.emulator.incidents import parse_incidents, schedule_incident
from ospreyvale.settings.document import DocumentError, read_document
from ospreyvale.settings.timing import parse_policy_document
from ospreyvale.timing.policy import SiteCallClass, SiteRules

DURATION_MS = 45_000.0  # time in which callers place calls in each run
BOOTSTRAP_SAMPLES = 5_000
SITE = SiteRules(
    tuple(
        SiteCallClass(
            name, call_class.aim_ms, call_class.deadline_ms, call_class.worth, call_class.late_worth
        )
        for name, call_class in zip(CLASS_NAMES, CLASSES, strict=True)
    ),
    300.0,  # release_ms
    4,  # max_attempts
    20.0,  # answer_grace_ms
    ("sofia", "plovdiv", "varna"),
    (),  # exchanges: any number
    2,  # max_tandems
    50.0,  # timer_tick_ms
)


def run_once(task: tuple[str, str, int, int, float, str]) -> dict[str, Any]:
    """Runs one incident with one seed, size, load and timing document; called in a worker process.

    The task is (script, incident, seed, size, load, timing document).  In the results, `spent` is processor
    time in s, `turns` the number of timers that fired, `memory` the peak memory of the process in MiB.
    """
    script, name, seed, size, load, document = task
    policy = parse_policy_document(document, "setting", SITE) if document else None
    fleet = Fleet(seed, size, load, policy=policy, site=SITE)
    schedule_incident(fleet, (parse_incidents() | (parse_incidents(script) if script else {}))[name])
    started_at = time.process_time()
    fleet.run(DURATION_MS)
    spent_s = time.process_time() - started_at
    return {
        "service": fleet.service(),
        "worst": fleet.worst_window_service(),
        "calls": len(fleet.requests),
        "spent": spent_s,
        **{
            name: fleet.service(lambda request, n=n: request.call_class == n)  # type: ignore[misc]
            for n, name in enumerate(CLASS_NAMES)
        },
        **{
            customer: fleet.service(lambda request, n=n: request.customer == n)  # type: ignore[misc]
            for n, customer in enumerate(CUSTOMERS)
        },
        "faults": check(fleet.record.rows),
        "digest": fleet.record.digest(),
        "turns": fleet.clock.fired_count,
        "memory": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024.0,
    }


def bootstrap_interval(
    values: list[float], statistic: Callable[[Any], Any] = np.mean, seed: int = 1
) -> tuple[float, float, float]:
    """Returns a statistic (by default the mean) and its 95% interval by bootstrap (Efron, 1979)."""
    generator = np.random.Generator(np.random.Philox(seed))
    data = np.asarray(values)
    estimates = statistic(data[generator.integers(0, len(data), (BOOTSTRAP_SAMPLES, len(data)))], axis=1)  # type: ignore[call-arg]
    return float(statistic(data)), float(np.percentile(estimates, 2.5)), float(np.percentile(estimates, 97.5))


def _run_all(tasks: list[tuple[str, str, int, int, float, str]]) -> list[dict[str, Any]]:
    with ProcessPoolExecutor() as pool:
        return list(pool.map(run_once, tasks))


@click.group(help="Simulate real controllers on modelled exchanges and a virtual clock.")
def main() -> None:
    """Groups the emulator's commands."""
    pass


@main.command(name="incidents", help="Run every incident of the library (or of --script) with several seeds.")
@click.option("--seeds", default=10, show_default=True)
@click.option("--size", default=5, show_default=True)
@click.option("--load", default=0.9, show_default=True)
@click.option("--script", type=click.Path(path_type=Path, exists=True))
def run_incidents(seeds: int, size: int, load: float, script: Path | None) -> None:
    """Prints the service under each incident; violated rules go to standard error."""
    text = script.read_text() if script is not None else ""
    try:
        names = list(parse_incidents(text, script.name) if script is not None else parse_incidents())
    except DocumentError as error:
        for reason in error.reasons:
            click.echo(reason, err=True)
        raise SystemExit(2) from None
    click.echo(
        "| incident | service (95% interval) | worst 10 s | "
        + " | ".join([*CLASS_NAMES, *CUSTOMERS])
        + " | rules broken |\n"
        + "| --- " * (4 + len(CLASS_NAMES) + len(CUSTOMERS))
        + "|"
    )
    for name in names:
        results = _run_all([(text, name, seed, size, load, "") for seed in range(1, seeds + 1)])
        mean, low, high = bootstrap_interval([run["service"] for run in results])
        cells = [
            f"{statistics.mean(run[column] for run in results):.3f}"
            for column in ("worst", *CLASS_NAMES, *CUSTOMERS)
        ]
        click.echo(
            f"| {name} | {mean:.3f} ({low:.3f} to {high:.3f}) | "
            + " | ".join(cells)
            + f" | {sum(len(run['faults']) for run in results)} |"
        )
        for run in results:
            for fault in run["faults"][:3]:
                click.echo(f"  {fault}", err=True)


@main.command(help="Compare two settings, paired by seed: two timing documents, or one with none (-).")
@click.argument("first", type=click.Path(path_type=Path))
@click.argument("second", type=click.Path(path_type=Path))
@click.option("--incident", default="calm", show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option("--size", default=5, show_default=True)
@click.option("--load", default=0.9, show_default=True)
def compare(first: Path, second: Path, incident: str, seeds: int, size: int, load: float) -> None:
    """Compares two settings, paired by seed; the path `-` means no timing document."""
    texts = ["" if str(path) == "-" else path.read_text() for path in (first, second)]
    results = [
        _run_all([("", incident, seed, size, load, text) for seed in range(1, seeds + 1)]) for text in texts
    ]
    for column in ("service", "worst", *CLASS_NAMES):
        gains = [
            second_run[column] - first_run[column] for first_run, second_run in zip(*results, strict=True)
        ]
        mean, low, high = bootstrap_interval(gains)
        verdict = "no verdict" if low <= 0.0 <= high else "better" if mean > 0.0 else "worse"
        click.echo(f"{column}: {mean:+.4f} ({low:+.4f} to {high:+.4f}) over {seeds} seeds: {verdict}")


@main.command(help="Run an experiment plan; an interrupted one resumes where it stopped.")
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), default=Path("results"), show_default=True
)
def experiment(plan: Path, out: Path) -> None:
    """Runs what is left of a plan and writes the tables, the charts and the HTML page."""
    from rich.console import Console
    from rich.progress import Progress

    try:
        parsed_plan = experiments.parse_plan(read_document(plan), plan.name, plan.parent)
    except DocumentError as error:
        for reason in error.reasons:
            click.echo(reason, err=True)
        raise SystemExit(2) from None
    out.mkdir(parents=True, exist_ok=True)
    store = experiments.Store(out / "runs.sqlite")
    revision = experiments.revision(Path(__file__).parent)
    with Progress(disable=not sys.stderr.isatty(), console=Console(stderr=True)) as bar:
        progress_task = bar.add_task(parsed_plan.name)
        run_count = experiments.run(
            parsed_plan,
            store,
            revision,
            run_once,
            lambda done, total: bar.update(progress_task, completed=done, total=total),
        )
    results = store.results(parsed_plan, revision)
    comparisons = list(experiments.compare_pairs(parsed_plan, results, bootstrap_interval))
    chart_paths = report.draw_charts(parsed_plan, results, out)
    (out / f"{parsed_plan.name}.html").write_text(
        report.render_page(parsed_plan, revision, results, comparisons, chart_paths[-1])
    )
    text = (
        report.format_markdown(report.MEANS_COLUMNS, report.mean_rows(parsed_plan, results))
        + "\n"
        + report.format_markdown(report.GAINS_COLUMNS, report.gain_rows(comparisons))
    )
    (out / f"{parsed_plan.name}.md").write_text(text)
    click.echo(f"{run_count} runs made, {len(results)} in all\n\n{text}", nl=False)


@main.command(help="Measure processor time and memory by fleet size.")
@click.option("--sizes", default="1,2,4,8,16,32,64", show_default=True)
def scale(sizes: str) -> None:
    """Prints processor time and peak memory of one run for each fleet size."""
    click.echo(
        "| controllers and exchanges | calls | events | processor s | times real time | MiB |\n"
        + "| --- " * 6
        + "|"
    )
    for size in map(int, sizes.split(",")):
        with ProcessPoolExecutor(1) as pool:  # a new process each, to measure its peak memory
            run = pool.submit(run_once, ("", "calm", 1, size, 0.8, "")).result()
        click.echo(
            f"| {size} | {run['calls']:,} | {run['turns']:,} | {run['spent']:.1f} "
            f"| {(DURATION_MS + 120_000.0) / 1_000.0 / run['spent']:.0f} | {run['memory']:.0f} |"
        )


if __name__ == "__main__":
    main()

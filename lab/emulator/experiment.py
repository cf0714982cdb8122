"""Runs experiments (settings x incidents x sizes x loads x seeds) from a plan in KDL on all processor cores.

    experiment "waits" seeds=20 {
        setting "none"
        setting "planned" timing="planned.kdl"
        incident "calm"
        incident "stall-and-cold"
        size 5
        load 0.9
        baseline "none"
    }

Each finished run is stored as one row of an SQLite file in its own transaction, so that an interrupted
experiment resumes without repeating runs.  The row's key contains the parts of the plan, the digest of the
setting and the code revision, so that results of another setting or revision are never used.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
import subprocess
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lab.emulator.incidents import parse_incidents
from ospreyvale.settings.document import DocumentError, NodeReader, parse_document, read_document

RESULT_COLUMNS = ("service", "worst", "stock-check", "item-hold", "moda-rila", "obuvki-struma", "detski-dom")
MAX_RUNS = 100_000
SCHEMA = """
CREATE TABLE IF NOT EXISTS run (
    experiment TEXT NOT NULL, setting TEXT NOT NULL, digest TEXT NOT NULL, revision TEXT NOT NULL,
    incident TEXT NOT NULL, size INTEGER NOT NULL, load REAL NOT NULL, seed INTEGER NOT NULL, results TEXT NOT NULL,
    PRIMARY KEY (experiment, setting, digest, revision, incident, size, load, seed)) WITHOUT ROWID;
"""  # noqa: E501 (stored text)


@dataclass(frozen=True, slots=True)
class Task:
    """The parameters of one run."""

    setting: str
    document: str
    incident: str
    size: int
    load: float
    seed: int

    @property
    def digest(self) -> str:
        """A short digest of the timing document."""
        return hashlib.sha256(self.document.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Plan:
    """A parsed experiment plan."""

    name: str
    seeds: int  # number of seeds, counted from 1
    settings: dict[str, str]  # timing documents by name; empty for none
    script: str  # incidents in addition to the library
    incidents: tuple[str, ...]
    sizes: tuple[int, ...]
    loads: tuple[float, ...]
    baseline: str

    def tasks(self) -> Iterator[Task]:
        """Yields all runs, grouped by seed, so that an interrupted experiment has complete pairs."""
        for seed in range(1, self.seeds + 1):
            for incident in self.incidents:
                for size in self.sizes:
                    for load in self.loads:
                        for name, document in self.settings.items():
                            yield Task(name, document, incident, size, load, seed)


def parse_plan(text: str, file: str, folder: Path) -> Plan:
    """Parses a plan; raises DocumentError with all problems."""
    top, problems = parse_document(text, file)
    node = top.child("experiment")
    if node is None:
        raise DocumentError([f"{file}: has no experiment node"])
    name = node.argument("a name")
    seeds = node.integer("seeds", 2, 10_000, 20)
    script = read_document(folder / node.text("script")) if node.has_property("script") else ""
    settings = {}
    for child in node.children("setting"):
        setting = child.argument("a name")
        document = child.text("timing", "-")
        child.reject_unknown()
        if not isinstance(setting, str) or setting in settings:
            child.add_problem("has no unique name")
        else:
            settings[setting] = "" if document == "-" else read_document(folder / document)
    library = {**parse_incidents(), **(parse_incidents(script, "script") if script else {})}
    incident_names = [_read_name(child, "an incident") for child in node.children("incident")]
    for incident in incident_names:
        if incident not in library:
            node.add_problem(f'incident "{incident}" is not known; allowed: {", ".join(library)}')
    sizes = tuple(int(_read_number(child, 1, 256)) for child in node.children("size")) or (5,)
    loads = tuple(_read_number(child, 0.05, 5.0) for child in node.children("load")) or (0.9,)
    baseline_node = node.child("baseline")
    baseline = (
        _read_name(baseline_node, "a setting") if baseline_node is not None else next(iter(settings), "")
    )
    if baseline not in settings:
        node.add_problem(f'baseline "{baseline}" is not a setting; allowed: {", ".join(settings) or "none"}')
    node.reject_unknown()
    top.reject_unknown()
    plan = Plan(
        str(name), seeds, settings, script, tuple(incident_names) or ("calm",), sizes, loads, baseline
    )
    if sum(1 for _ in zip(range(MAX_RUNS + 1), plan.tasks(), strict=False)) > MAX_RUNS:
        node.add_problem(f"has more than {MAX_RUNS:,} runs")
    problems.raise_if_any()
    return plan


def _read_name(node: NodeReader, allowed: str) -> str:
    name = node.argument(allowed)
    node.reject_unknown()
    return str(name)


def _read_number(node: NodeReader, low: float, high: float) -> float:
    value: object = node.node.args[0] if node.node.args else None
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        node.add_problem(f"{value} stands where a number from {low:g} to {high:g} is allowed")
        return low
    return float(value)


def revision(folder: Path) -> str:
    """Returns the abbreviated commit of the code, with a digest of uncommitted changes if there are any."""

    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", *arguments], cwd=folder, capture_output=True, text=True, check=False
        ).stdout

    changes = git("diff", "HEAD", "--", "ospreyvale", "lab")
    return git("rev-parse", "--short=12", "HEAD").strip() + (
        "+" + hashlib.sha256(changes.encode()).hexdigest()[:8] if changes else ""
    )


class Store:
    """The results of finished runs in an SQLite file."""

    def __init__(self, path: Path) -> None:
        self.connection = sqlite3.connect(path, isolation_level=None)
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.executescript(SCHEMA)

    def finished_keys(self, plan: Plan, revision: str) -> set[tuple[str, str, str, int, float, int]]:
        """Returns the keys of all finished runs of a plan and a revision."""
        return set(
            self.connection.execute(
                "SELECT setting, digest, incident, size, load, seed FROM run WHERE experiment = ? "
                "AND revision = ?",
                (plan.name, revision),
            )
        )

    def add(self, plan: Plan, revision: str, task: Task, results: dict[str, Any]) -> None:
        """Stores the results of one run."""
        self.connection.execute(
            "INSERT OR IGNORE INTO run VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                plan.name,
                task.setting,
                task.digest,
                revision,
                task.incident,
                task.size,
                task.load,
                task.seed,
                json.dumps(results),
            ),
        )

    def results(self, plan: Plan, revision: str) -> dict[Task, dict[str, Any]]:
        """Returns the stored results of a plan by task."""
        tasks = {
            (task.setting, task.digest, task.incident, task.size, task.load, task.seed): task
            for task in plan.tasks()
        }
        return {
            tasks[tuple(row[:6])]: json.loads(row[6])
            for row in self.connection.execute(
                "SELECT setting, digest, incident, size, load, seed, results FROM run WHERE experiment = ? "
                "AND revision = ?",
                (plan.name, revision),
            )
            if tuple(row[:6]) in tasks
        }


def task_key(task: Task) -> tuple[str, str, str, int, float, int]:
    """Returns the key of a task as it is stored, without the experiment and the revision."""
    return task.setting, task.digest, task.incident, task.size, task.load, task.seed


def run(
    plan: Plan,
    store: Store,
    revision: str,
    run_task: Callable[[Any], dict[str, Any]],
    on_progress: Callable[[int, int], None],
    workers: int | None = None,
) -> int:
    """Runs all tasks without a stored result and returns their number.

    `on_progress` receives the number of finished runs and the total; `workers` is the number of processes, by
    default one for each processor core.
    """
    finished_keys = store.finished_keys(plan, revision)
    remaining = [task for task in plan.tasks() if task_key(task) not in finished_keys]
    total = len(remaining) + len(finished_keys)
    finished = len(finished_keys)
    on_progress(finished, total)
    with ProcessPoolExecutor(workers) as pool:
        futures = {
            pool.submit(
                run_task, (plan.script, task.incident, task.seed, task.size, task.load, task.document)
            ): task
            for task in remaining
        }
        for future in as_completed(futures):
            store.add(plan, revision, futures[future], future.result())
            finished += 1
            on_progress(finished, total)
    return len(remaining)


@dataclass(frozen=True, slots=True)
class PairedComparison:
    """The mean difference between a setting and the baseline in one column, paired by seed.

    `low` and `high` are the bounds of its 95% interval.
    """

    setting: str
    incident: str
    size: int
    load: float
    column: str
    pair_count: int
    gain: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Whether the setting is better or worse: only where the interval excludes zero."""
        if self.low <= 0.0 <= self.high:
            return "no verdict"
        return "better" if self.gain > 0.0 else "worse"


def compare_pairs(
    plan: Plan,
    results: dict[Task, dict[str, Any]],
    interval: Callable[[list[float]], tuple[float, float, float]],
) -> Iterator[PairedComparison]:
    """Compares each other setting with the baseline, by incident, size and load; needs at least two pairs.

    `interval` returns the mean of the differences and the bounds of its 95% interval.
    """
    by_run: dict[tuple[str, int, float, int], dict[str, dict[str, Any]]] = {}
    for task, result in results.items():
        by_run.setdefault((task.incident, task.size, task.load, task.seed), {})[task.setting] = result
    for setting in plan.settings:
        if setting == plan.baseline:
            continue
        for incident in plan.incidents:
            for size in plan.sizes:
                for load in plan.loads:
                    rows = [
                        pair
                        for (i, s, x, _), pair in by_run.items()
                        if (i, s, x) == (incident, size, load) and setting in pair and plan.baseline in pair
                    ]
                    for column in RESULT_COLUMNS if len(rows) > 1 else ():
                        gain, low, high = interval(
                            [pair[setting][column] - pair[plan.baseline][column] for pair in rows]
                        )
                        yield PairedComparison(
                            setting, incident, size, load, column, len(rows), gain, low, high
                        )

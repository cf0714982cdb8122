"""Reports the results of an experiment: Markdown tables, charts (SVG and PNG) and an HTML page with both."""

from __future__ import annotations

import base64
import html
import statistics
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from lab.emulator.experiment import RESULT_COLUMNS, PairedComparison, Plan, Task

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}"
    "th:first-child,td:first-child{text-align:left}"
    ".better{background:#dfd}.worse{background:#fdd}img{max-width:100%}"
)


def mean_rows(plan: Plan, results: dict[Task, dict[str, Any]]) -> Iterator[tuple[str, ...]]:
    """Yields a row for each incident and setting: the means and the number of violated rules."""
    for incident in plan.incidents:
        for setting in plan.settings:
            rows = [
                result
                for task, result in results.items()
                if (task.setting, task.incident) == (setting, incident)
            ]
            if rows:
                yield (
                    incident,
                    setting,
                    str(len(rows)),
                    *(f"{statistics.mean(r[c] for r in rows):.3f}" for c in RESULT_COLUMNS),
                    str(sum(len(r["faults"]) for r in rows)),
                )


def gain_rows(comparisons: Sequence[PairedComparison]) -> Iterator[tuple[str, ...]]:
    """Yields a row for each paired comparison."""
    for comparison in comparisons:
        yield (
            comparison.incident,
            comparison.setting,
            f"{comparison.size}",
            f"{comparison.load:g}",
            comparison.column,
            str(comparison.pair_count),
            f"{comparison.gain:+.4f}",
            f"{comparison.low:+.4f} to {comparison.high:+.4f}",
            comparison.verdict,
        )


MEANS_COLUMNS = ("incident", "setting", "runs", *RESULT_COLUMNS, "rules broken")
GAINS_COLUMNS = ("incident", "setting", "size", "load", "column", "pairs", "gain", "95% interval", "verdict")


def format_markdown(columns: Sequence[str], rows: Iterator[tuple[str, ...]]) -> str:
    """Formats a Markdown table with a heading row."""
    lines = ["| " + " | ".join(columns) + " |", "| --- " * len(columns) + "|"]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)]) + "\n"


def draw_charts(plan: Plan, results: dict[Task, dict[str, Any]], folder: Path) -> list[Path]:
    """Draws the service by incident and setting: a point for each run and a bar for the mean.

    Returns the paths of the SVG file and the PNG file, in this order.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = plan.name  # makes the SVG reproducible for the same runs
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(1.5 + 1.4 * len(plan.incidents), 4.2))
    bar_width = 0.8 / len(plan.settings)
    for setting_index, setting in enumerate(plan.settings):
        positions = []
        heights = []
        for incident_index, incident in enumerate(plan.incidents):
            points = [
                result["service"]
                for task, result in results.items()
                if (task.setting, task.incident) == (setting, incident)
            ]
            if points:
                x = incident_index + (setting_index - (len(plan.settings) - 1) / 2.0) * bar_width
                positions.append(x)
                heights.append(statistics.mean(points))
                axes.plot([x] * len(points), points, ".", color="black", alpha=0.35, markersize=3)
        axes.bar(positions, heights, bar_width * 0.9, label=setting)
    axes.set_xticks(range(len(plan.incidents)), plan.incidents, rotation=20, ha="right")
    axes.set_ylabel("service (share of worth in time)")
    axes.set_ylim(0.0, 1.02)
    axes.legend(loc="lower left")
    figure.tight_layout()
    paths = []
    for file_format in ("svg", "png"):
        path = folder / f"{plan.name}.{file_format}"
        figure.savefig(path, metadata={"Date": None} if file_format == "svg" else None)
        paths.append(path)
    pyplot.close(figure)
    return paths


def render_page(
    plan: Plan,
    revision: str,
    results: dict[Task, dict[str, Any]],
    comparisons: Sequence[PairedComparison],
    chart: Path,
) -> str:
    """Renders a self-contained HTML page; `chart` is a PNG file, which is embedded."""

    def table(columns: Sequence[str], rows: Iterator[tuple[str, ...]]) -> str:
        lines = ["<table><tr>" + "".join(f"<th>{html.escape(cell)}</th>" for cell in columns) + "</tr>"]
        for row in rows:
            css_class = f' class="{row[-1]}"' if row[-1] in ("better", "worse") else ""
            lines.append(
                f"<tr{css_class}>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
            )
        return "\n".join([*lines, "</table>"])

    image = base64.b64encode(chart.read_bytes()).decode()
    settings = "".join(
        f"<h3>{html.escape(name)}</h3><pre>{html.escape(text) or 'no document'}</pre>"
        for name, text in plan.settings.items()
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(plan.name)}</title><style>{STYLE}</style>"
        f"<h1>{html.escape(plan.name)}</h1><p>{len(results)} runs, {plan.seeds} seeds, "
        f"revision {html.escape(revision)}. Differences are paired by seed; a verdict only where "
        f"the 95% interval excludes zero.</p>"
        f'<img alt="service by incident and setting" src="data:image/png;base64,{image}">'
        f"<h2>Means</h2>{table(MEANS_COLUMNS, mean_rows(plan, results))}"
        f"<h2>Against {html.escape(plan.baseline)}</h2>{table(GAINS_COLUMNS, gain_rows(comparisons))}"
        f"<h2>Settings</h2>{settings}"
    )

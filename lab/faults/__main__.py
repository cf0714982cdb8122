"""Command line: plays seeds of the fault runs and prints what each broke.

python -m lab.faults --seeds 50 --first 1 --seconds 20 --out /tmp/faults
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from lab.faults.scenario import MAX_CONCURRENT_RUNS, play


@click.command()
@click.option("--seeds", default=50, show_default=True, help="Number of runs.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seconds", default=20.0, show_default=True, help="Duration of the troubles in a run.")
@click.option("--concurrent", default=MAX_CONCURRENT_RUNS, show_default=True, help="Runs at a time.")
@click.option("--delayed-paths", is_flag=True, help="Messages to and from exchanges take some milliseconds.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Folder for the logs; a temporary one if not given."
)
def main(
    seeds: int, first: int, seconds: float, concurrent: int, delayed_paths: bool, out: Path | None
) -> None:
    """Plays runs of the real program with faults; exits with status 1 if a rule was broken."""
    directory = out if out is not None else Path(tempfile.mkdtemp(prefix="faults-"))
    results = play(list(range(first, first + seeds)), seconds * 1_000.0, directory, concurrent, delayed_paths)
    for result in results:
        click.echo(f"seed {result.seed}: {result.calls} calls, {result.attempts} attempts")
        for fault in result.faults:
            click.echo(f"  {fault}")
    broken = sum(bool(result.faults) for result in results)
    click.echo(f"{len(results) - broken} passed, {broken} failed; logs in {directory}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()

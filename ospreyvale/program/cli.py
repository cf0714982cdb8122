"""The command line.

`python -m ospreyvale` without arguments starts the program without importing this module.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from ospreyvale.settings.config import Config, ConfigError, read_config
from ospreyvale.settings.document import DocumentError
from ospreyvale.settings.edge import EdgeConfig, read_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.timing.checker import timelines
from ospreyvale.timing.policy import Policy, SiteRules

EXIT_INVALID_INPUT = 2
FILE_PATH = click.Path(path_type=Path, dir_okay=False)
settings_option = click.option(
    "--settings",
    "settings",
    type=FILE_PATH,
    required=True,
    metavar="CONFIG.json",
    help="The platform's configuration, as LB_CONFIG names it.",
)
class_option = click.option("--class", "class_name", metavar="NAME", help="Only this call class.")


def _exit_with_reasons(reasons: list[str]) -> None:
    """Writes every reason on a line of standard error and exits with status 2."""
    for reason in reasons:
        click.echo(reason, err=True)
    sys.exit(EXIT_INVALID_INPUT)


def _load_config(path: Path) -> Config:
    """Reads the configuration; exits with status 2 if it is not valid."""
    try:
        return read_config({"LB_CONFIG": str(path)})
    except ConfigError as error:
        _exit_with_reasons([f"{path.name}: {error}"])
        raise


def _load_edge_config(path: Path, settings: Path) -> tuple[EdgeConfig, SiteRules]:
    """Reads the edge document and checks it against the settings; exits with status 2 if it is refused."""
    site = build_site_rules(_load_config(settings))
    try:
        return read_edge_config(path, site), site
    except DocumentError as error:
        _exit_with_reasons(error.reasons)
        raise


def _load_policy(path: Path, settings: Path) -> tuple[Policy, SiteRules]:
    """Reads the timing policy of the edge document; exits with status 2 if there is none."""
    edge, site = _load_edge_config(path, settings)
    if edge.timing_policy is None:
        _exit_with_reasons([f"{path.name}: has no timing node; the default timing applies"])
        raise AssertionError
    return edge.timing_policy, site


@click.group(help="A session controller for a mesh of exchanges.")
def main() -> None:
    """The group of all commands."""
    pass


@main.command(help="Run one session controller, as `python -m ospreyvale` without arguments does.")
@click.option("--config", type=FILE_PATH, metavar="CONFIG.json", help="Used instead of LB_CONFIG.")
@click.option(
    "--edge", type=FILE_PATH, metavar="EDGE.kdl", help="Used instead of LB_EDGE, or of deploy/edge.kdl."
)
def serve(config: Path | None, edge: Path | None) -> None:
    """Starts the program with the given files in the environment."""
    for variable, value in (("LB_CONFIG", config), ("LB_EDGE", edge)):
        if value is not None:
            os.environ[variable] = str(value)
    from ospreyvale.program.app import main as run

    sys.exit(run())


@main.command(help="Check a document: exits with 0, or with 2 and one reason per line on standard error.")
@click.argument("file", type=FILE_PATH)
@settings_option
def check(file: Path, settings: Path) -> None:
    """Checks a document against the settings and prints the digest of its timing policy."""
    edge, _ = _load_edge_config(file, settings)
    click.echo(
        f"{file.name}: good"
        + (f", timing {edge.timing_policy.digest}" if edge.timing_policy else ", no timing")
    )


@main.command(
    help="The exchange emulator (docs/rehearsal.md), in a checkout of the repository.",
    add_help_option=False,
    context_settings={"ignore_unknown_options": True},
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def lab(words: tuple[str, ...]) -> None:
    """Passes the remaining arguments to the emulator."""
    try:
        from lab.emulator.__main__ import main as emulator
    except ImportError as error:
        _exit_with_reasons(
            [f"the emulator or its libraries (requirements-extra.txt) are not installed: {error}"]
        )
        raise
    emulator.main(list(words), prog_name="ospreyvale lab")


@main.group(help="The timing policy of a document.")
def timing() -> None:
    """The group of the commands on timing policies."""
    pass


@timing.command(help="Print every class and route with its inherited values, as JSON.")
@click.argument("file", type=FILE_PATH)
@settings_option
def show(file: Path, settings: Path) -> None:
    """Prints the timing policy of a document as JSON."""
    import orjson

    from ospreyvale.operations.timing import policy_as_dict

    policy, _ = _load_policy(file, settings)
    click.echo(orjson.dumps(policy_as_dict(policy), option=orjson.OPT_INDENT_2).decode())


@timing.command(help="Print the worst-case timeline of each order in which the routes can be tried.")
@click.argument("file", type=FILE_PATH)
@settings_option
@class_option
def explain(file: Path, settings: Path, class_name: str | None) -> None:
    """Prints the worst-case timelines of one class, or of all."""
    policy, site = _load_policy(file, settings)
    for class_timing in policy.classes:
        if class_name not in (None, class_timing.name):
            continue
        if not class_timing.bounded:
            click.echo(f"{class_timing.name}: has no timing of its own; the default timing applies")
            continue
        ordered = sorted(timelines(policy, site, class_timing), key=lambda timeline: -timeline.answered_ms)
        click.echo(f"{class_timing.name}: {len(ordered)} route orders, the latest answer first")
        for timeline in ordered:
            click.echo(f"  {timeline.text()}")


def _parse_gives_up(_: click.Context, __: click.Parameter, values: tuple[str, ...]) -> dict[str, float]:
    """Parses the values of --gives-up; returns the time by class name."""
    gives_up_ms = {}
    for value in values:
        name, _separator, milliseconds = value.partition("=")
        try:
            gives_up_ms[name] = float(milliseconds)
        except ValueError:
            raise click.BadParameter(f"{value} is not NAME=MS") from None
    return gives_up_ms


@timing.command(help="Propose the attempt timeouts with the highest expected worth that the rules allow.")
@click.option(
    "--from",
    "source",
    type=FILE_PATH,
    required=True,
    metavar="FIGURES.json",
    help="The response of GET /v1/timing/figures.",
)
@settings_option
@click.option(
    "--retries",
    type=click.FloatRange(0.0, 4.0),
    default=0.1,
    show_default=True,
    help="Maximum expected number of retries per call.",
)
@click.option(
    "--gives-up",
    multiple=True,
    callback=_parse_gives_up,
    metavar="CLASS=MS",
    help="When callers of a class stop waiting, where that is before its deadline.",
)
def plan(source: Path, settings: Path, retries: float, gives_up: dict[str, float]) -> None:
    """Prints the schedules proposed from the learned times in a file."""
    from ospreyvale.timing.proposal import format_proposals, propose

    site = build_site_rules(_load_config(settings))
    unknown = sorted(set(gives_up) - {call_class.name for call_class in site.classes})
    if unknown:
        _exit_with_reasons([f"--gives-up: {name} is not a class of the settings" for name in unknown])
    try:
        figures: Any = json.loads(source.read_text())
        proposals = propose(figures if isinstance(figures, dict) else {}, site, gives_up, retries)
    except (OSError, ValueError) as error:
        _exit_with_reasons([f"{source.name}: {error}"])
        raise
    click.echo(format_proposals(proposals, gives_up, retries), nl=False)

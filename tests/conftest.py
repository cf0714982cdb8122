"""The option --known-red: leaves out exactly the tests that KNOWN-RED.txt names, and prints them.

A line `Test: PATH::NAME` of that file names one test.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

TEST_LINE = re.compile(r"^\s*Test: (tests/\S+)\s*$", re.MULTILINE)
KNOWN_RED = pytest.StashKey[list[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red", metavar="FILE", help="leave out the tests that FILE names, and print them"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.getoption("--known-red")
    if path is None:
        return
    names = TEST_LINE.findall(Path(path).read_text())
    unknown = set(names) - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(f"{path} names tests that do not exist: {', '.join(sorted(unknown))}")
    config.stash[KNOWN_RED] = names
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in names])
    items[:] = [item for item in items if item.nodeid not in names]


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for name in config.stash.get(KNOWN_RED, []):
        terminalreporter.write_line(f"known red, left out: {name}")

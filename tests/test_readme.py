"""The README's example runs as printed."""

import re
from pathlib import Path

from example import try_it
from ospreyvale.protocol import sip

ROOT = Path(__file__).resolve().parent.parent


def test_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    names: dict[str, object] = {}
    exec(compile(blocks[0], "README.md", "exec"), names)
    assert "actions" in names


def test_ci_runs_the_test_command_of_the_readme() -> None:
    command = re.search(r"```\n(python -m pytest.*)\n```", (ROOT / "README.md").read_text())
    assert command is not None
    assert command.group(1) in (ROOT / ".ci" / "run").read_text()


def test_the_examples_set_up_states_its_own_length() -> None:
    """It said 20 for a body of 21 bytes: a second request on the connection began with the last of them."""
    assert [message.body for message in sip.Reader().feed(try_it.INVITE * 2)] == [try_it.BODY] * 2

"""The program as a process of its own."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from lab.faults.callers import CLASS_NAMES, DEADLINES_MS
from lab.faults.discovery import EventBus
from lab.faults.record import RELEASE_MS
from ospreyvale.transport.network import Address

ROOT = Path(__file__).resolve().parent.parent.parent
MAX_ATTEMPTS = 4


def build_config(listen: Address, bus: EventBus, controllers: int) -> dict[str, Any]:
    """Returns the configuration of the program: short deadlines, and no second copies."""
    services = [
        {"Name": name, "AimMs": deadline_ms, "DeadlineMs": deadline_ms, "Credit": 1.0, "LateWorth": 0.25}
        for name, deadline_ms in zip(CLASS_NAMES, DEADLINES_MS, strict=True)
    ]
    return {
        "name": "n0",
        "listen": f"{listen[0]}:{listen[1]}",
        "seed": "1",
        "bus": f"{bus.address[0]}:{bus.address[1]}",
        "known": {
            "offset": bus.events[-1].offset,
            "batch": [event.to_json() for event in bus.events],
        },
        "settings": {
            "Contract": {
                "ColdFrom": 0.33,
                "ColdMs": 14000.0,
                "DrainGraceMs": 250.0,
                "FallMultiple": 3.0,
                "GraceToAnswerMs": 20.0,
                "TipAfterMs": 1000.0,
            },
            "Limits": {
                "Cancel": True,
                "ConnectTimeoutMs": 500.0,
                "MaxAttempts": MAX_ATTEMPTS,
                "MaxRetryAfterMs": 2000.0,
                "Peers": False,
                "Probing": True,
                "RetryAfter": True,
            },
            "Realms": [],
            "Report": {"Columns": ["spare", "total", "cut_by", "recent_ms"]},
            "SelfIndex": 0,
            "Siblings": controllers,
            "Services": services,
            "Specifics": {
                "ClassHoldMs": [330.0, 330.0],
                "Here": 0,
                "ReleaseMs": RELEASE_MS,
                "ResendMs": 0.0,
            },
            "Zones": ["sofia"],
        },
    }


class Program:
    """One process of the program, started with a configuration; its log goes to a file.

    With a seed for slow dials, its connections come up late (`lab.faults.slow_dial`).
    """

    def __init__(self, config: dict[str, Any], directory: Path, slow_dial_seed: int | None = None) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        config_path = directory / "config.json"
        config_path.write_text(json.dumps(config))
        self.log_path = directory / "log.jsonl"
        environment = os.environ | {"LB_CONFIG": str(config_path), "LB_NAME": config["name"]}
        environment.pop("TMPDIR", None)  # no handover: a restarted program starts from nothing
        module = ["ospreyvale"] if slow_dial_seed is None else ["lab.faults.slow_dial", str(slow_dial_seed)]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", *module],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once and waits for it."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the logged events of that name, of all processes that wrote to this log."""
        lines = self.log_path.read_bytes().splitlines()
        parsed = (json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}"))
        return [event for event in parsed if event["event"] == name]

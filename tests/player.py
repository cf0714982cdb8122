"""Plays recorded byte exchanges from text files against the whole program.

The clock advances only by `after`, and all connections are in memory, so a script has only one possible
result.  The lines of a script are:

    edge KDL               a line of deploy/edge.kdl (first lines only)
    config JSON            changes to CONFIG (first lines only)
    listen ADDRESS NAME    dials to the address succeed from now on; the connection is called NAME
    refuse ADDRESS         dials to the address fail from now on
    delay ADDRESS MS       dials to the address take so long from now on
    connect NAME ADDRESS   a peer connects to a listener of the program
    NAME > BYTES           the peer sends                NAME < BYTES     the program sent exactly these
    end NAME               the peer closes its side      reset NAME       the connection is reset
    gone NAME              the program closed it         quiet            no peer has unread data
    ended NAME             the program ended its side only and still reads
    after MS               time passes                   count NAME N     value of a counter of the program
    mute NAME              the peer answers no probes there from now on
    term                   SIGTERM                       over             the program has ended
    reload JSON            SIGHUP, with a configuration file that now has these changes to CONFIG

BYTES are Python bytes literals, as many as the line and the indented ones after it hold; SIP(...) adds the
length to a SIP message, M(...) frames one of the platform's ISUP messages, U(...) an M3UA message, and D(...)
ISUP in M3UA DATA.
They build frames without the program's codecs.  The player itself answers the program's probes (TEST and
BEAT).
"""

from __future__ import annotations

import json
import signal
import struct
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any

from ospreyvale.program.app import App
from ospreyvale.settings.config import parse_config
from ospreyvale.settings.edge import parse_edge_config
from ospreyvale.settings.timing import build_site_rules
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop, Signal
from ospreyvale.transport.network import Address, DatagramSocket, ListeningSocket

START_MS = 1_000_000.0
DIAL_MS = 1.0


def target(number: int, state: str = "Ready", boot_ms: int = 0) -> dict[str, Any]:
    """Returns an exchange's entry in the topology, as the bus sends it."""
    return {
        "uid": f"s-0000000{number}",
        "endpoint": f"127.1.0.{number}:5070",
        "az": "sofia",
        "model": "std",
        "pod_group": number,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": boot_ms,
    }


SETTINGS = {
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
        "MaxAttempts": 4,
        "MaxRetryAfterMs": 2000.0,
        "Peers": False,
        "Probing": True,
        "RetryAfter": True,
    },
    "Realms": [{"Fraction": 1.0, "Name": "moda-rila", "QuotaPerS": 45.0}],
    "Report": {"Columns": ["spare", "total", "cut_by", "recent_ms"]},
    "SelfIndex": 0,
    "Siblings": 3,
    "Services": [
        {"AimMs": 1500.0, "Credit": 1.0, "DeadlineMs": 9000.0, "LateWorth": 0.25, "Name": "stock-check"},
        {"AimMs": 1000.0, "Credit": 5.0, "DeadlineMs": 6000.0, "LateWorth": 0.25, "Name": "item-hold"},
    ],
    "Specifics": {"ClassHoldMs": [11000.0, 5500.0], "Here": 0, "ReleaseMs": 300.0, "ResendMs": 0.0},
    "Zones": ["sofia", "plovdiv", "varna"],
}
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:5070",
    "seed": "8c1f30d27a5be964",
    "bus": "127.2.0.1:4222",
    "known": {
        "offset": 3,
        "batch": [
            {"offset": 3, "topology": {"rev": 1, "all": True, "targets": [target(0), target(1), target(2)]}}
        ],
    },
    "settings": SETTINGS,
}


def frame_sip(head: bytes, body: bytes = b"") -> bytes:
    """Returns a SIP message with CRLF line ends and Content-Length."""
    return head.replace(b"\n", b"\r\n") + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def frame_isup(kind: int, call: int, **parameters: bytes) -> bytes:
    """Returns one of the platform's ISUP messages; a parameter's name is a letter and its code."""
    body = struct.pack(">BQ", kind, call) + b"".join(
        struct.pack(">BH", int(code[1:]), len(value)) + value for code, value in parameters.items()
    )
    return struct.pack(">H", len(body)) + body


def frame_m3ua(kind: int, *parameters: tuple[int, bytes]) -> bytes:
    """Returns an M3UA message."""
    body = b"".join(
        struct.pack(">HH", tag, 4 + len(value)) + value + bytes(-len(value) % 4) for tag, value in parameters
    )
    return struct.pack(">HHI", 0x0100, kind, 8 + len(body)) + body


def frame_isup_data(opc: int, dpc: int, message: bytes) -> bytes:
    """Returns an ISUP message in M3UA DATA."""
    label = struct.pack(">IIBBBB", opc, dpc, 5, 2, 0, message[0] & 15)
    return frame_m3ua(0x0101, (0x0210, label + message))


class NoPoller:
    """A poller on which no descriptor is ever ready, as all input comes from the script.

    It has the methods of `select.epoll` that the loop uses.
    """

    def register(self, fd: int, eventmask: int) -> None: ...
    def modify(self, fd: int, eventmask: int) -> None: ...
    def unregister(self, fd: int) -> None: ...
    def poll(self, timeout: float) -> list[tuple[int, int]]:
        return []


class MemoryLink:
    """A connection of the program whose peer is the script; answers the program's probes itself."""

    write_blocked = ignores_probes = peer_gone = False

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.closed = False
        self.was_reset = False
        self.inbox = bytearray()
        self.sent = bytearray()
        self.peer_ended = self.write_ended = False
        self.readable = Signal()

    def receive(self) -> Generator[Signal, None, bytes]:
        """Waits for data and returns it; returns b"" once the connection has ended."""
        while not (self.inbox or self.peer_ended or self.closed):
            yield self.readable
        data = bytes(self.inbox)
        self.inbox.clear()
        return data

    @property
    def peer_ending(self) -> bool:
        """Whether the script has ended the peer's side."""
        return self.peer_ended

    def wait_closed(self) -> Coroutine:
        """Waits until the connection is closed."""
        while not self.closed:
            yield self.readable

    def send(self, data: bytes) -> bool:
        """Answers a probe and records other data; returns False once the connection is closed."""
        if self.closed or self.write_ended:
            return False
        # Message type 0x34 is TEST of the platform's ISUP; class 3, type 3 is BEAT of M3UA.
        if self.ignores_probes and (data[2:3] == b"\x34" or data[:4] == b"\x01\x00\x03\x03"):
            pass
        elif data[2:3] == b"\x34":
            self.inbox += frame_isup(53, int.from_bytes(data[3:11], "big"), p208=b"\x01")
        elif data[:4] == b"\x01\x00\x03\x03":
            self.inbox += data[:3] + b"\x06" + data[4:]
        else:
            self.sent += data
        self.loop.fire(self.readable)
        return True

    def write_eof(self) -> None:
        """Ends the program's side, after which it sends nothing more."""
        self.write_ended = True

    def close(self) -> None:
        """Closes the connection and wakes its reader."""
        self.closed = True
        self.loop.fire(self.readable)

    def detach(self) -> tuple[int, bytes] | None:
        """Returns None, as there is no descriptor that could be handed over."""
        return None


class MemoryListener:
    """A listener that accepts nothing by itself."""

    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def close(self) -> None: ...

    def fileno(self) -> int:
        """Returns -1, as there is no descriptor."""
        return -1


class MemoryNetwork:
    """A network on which the script is the only peer."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.serve_by_address: dict[Address, Callable[[Link], Coroutine]] = {}
        self.name_by_address: dict[Address, str] = {}
        self.links: dict[str, MemoryLink] = {}
        self.dial_ms_by_address: dict[Address, float] = {}
        self.free_outgoing: Callable[[], bool] = lambda: False

    def listen(
        self,
        address: Address,
        serve: Callable[[Link], Coroutine],
        free_descriptor: Callable[[], bool],
        high_priority: bool = False,
        fd: int | None = None,
    ) -> ListeningSocket:
        """Records what serves a connection to the address."""
        self.serve_by_address[address] = serve
        return MemoryListener()

    def open_datagram_socket(
        self, address: Address, on_datagram: Callable[[Address, bytes], None], fd: int | None = None
    ) -> DatagramSocket:
        """Raises NotImplementedError: scripts use connections only."""
        raise NotImplementedError

    def adopt_connection(self, fd: int, serve: Callable[[Link], Coroutine]) -> None:
        """Raises NotImplementedError: there is no other process that hands connections over."""
        raise NotImplementedError

    def dial(
        self, address: Address, timeout_ms: float, high_priority: bool = False
    ) -> Generator[Signal, None, Link | None]:
        """Connects after a delay if the script listens on the address; returns None if it does not."""
        yield from self.loop.sleep(self.dial_ms_by_address.get(address, DIAL_MS))
        if address not in self.name_by_address:
            return None
        link = MemoryLink(self.loop)
        self.links[self.name_by_address[address]] = link
        return link


class RecordedLog(list[tuple[str, dict[str, Any]]]):
    """A log that keeps its events in memory."""

    dropped = 0

    def __call__(self, event: str, **fields: Any) -> None:
        self.append((event, fields))


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Player:
    """One run of a script against the program; the program starts with the first line that needs it."""

    def __init__(self, edge: str = "") -> None:
        self.now = START_MS
        self.loop = Loop(lambda: self.now, NoPoller())
        self.network = MemoryNetwork(self.loop)
        self.log = RecordedLog()
        self.edge = edge  # text of the edge file (KDL)
        self.app: App | None = None
        self.changes: dict[str, Any] = {}  # to CONFIG

    def start(self) -> App:
        """Starts the program, unless it runs already."""
        if self.app is None:
            config = parse_config({**CONFIG, **self.changes})
            self.app = App(
                config,
                parse_edge_config(self.edge, "edge", build_site_rules(config)),
                self.network,
                self.log,
                lambda: parse_config({**CONFIG, **self.changes}),
                load_edge=lambda site: parse_edge_config(self.edge, "edge", site),
            )
            self.loop.on_exception = None  # an exception fails the test
        return self.app

    def advance(self, duration_ms: float) -> None:
        """Advances the clock by so many milliseconds, with a turn of the loop for each."""
        end = self.now + duration_ms
        while self.now < end:
            self.now = min(self.now + 1.0, end)
            self.loop.turn()

    def step(self, line: str) -> None:
        """Plays one line; raises AssertionError if the program did something else."""
        command, _, rest = line.partition(" ")
        if command == "listen":
            address, name = rest.split()
            self.network.name_by_address[_parse_address(address)] = name
            return
        app = self.start()
        self.loop.turn()
        links = self.network.links
        if command == "refuse":
            self.network.name_by_address.pop(_parse_address(rest), None)
        elif command == "delay":
            address, dial_ms = rest.split()
            self.network.dial_ms_by_address[_parse_address(address)] = float(dial_ms)
        elif command == "connect":
            name, address = rest.split()
            links[name] = MemoryLink(self.loop)
            self.loop.spawn(self.network.serve_by_address[_parse_address(address)](links[name]))
        elif command == "end":
            links[rest].peer_ended = True
            self.loop.fire(links[rest].readable)
        elif command == "reset":
            links[rest].was_reset = True
            links[rest].close()
        elif command == "mute":
            links[rest].ignores_probes = True
        elif command == "gone":
            assert links[rest].closed, f"{rest} is still open"
        elif command == "ended":
            assert links[rest].write_ended, f"the program still sends on {rest}"
            assert not links[rest].closed, f"the program has closed {rest}"
        elif command == "quiet":
            sent = {name: bytes(link.sent) for name, link in links.items() if link.sent and not link.closed}
            assert not sent, f"unexpected data was sent: {sent}"
        elif command == "reload":
            self.changes = json.loads(rest)
            app.on_signal(signal.SIGHUP)
        elif command == "term":
            app.on_signal(signal.SIGTERM)
        elif command == "over":
            assert not self.loop.running, "the program has not ended"
        elif command == "after":
            self.advance(float(rest))
        elif command == "count":
            name, expected = rest.split()
            assert app.metrics().get(name, 0) == int(expected), f"{name} is {app.metrics().get(name, 0)}"
        else:
            self._transfer_bytes(links[command], *rest.split(" ", 1))
        self.loop.turn()

    def _transfer_bytes(self, link: MemoryLink, direction: str, literals: str) -> None:
        data = eval(
            f"({literals})", {"SIP": frame_sip, "M": frame_isup, "U": frame_m3ua, "D": frame_isup_data}
        )
        assert isinstance(data, bytes)
        if direction == ">":
            link.inbox += data
            self.loop.fire(link.readable)
            return
        sent = bytes(link.sent)
        link.sent = bytearray(link.sent[len(data) :])
        assert sent[: len(data)] == data, f"sent {sent!r}\ninstead of {data!r}"


def play(path: Path) -> Player:
    """Plays a file; raises AssertionError with the number of the line that failed."""
    lines: list[tuple[int, str]] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if line.startswith(" ") and lines:
            lines[-1] = (lines[-1][0], lines[-1][1] + " " + line.strip())
        elif line and not line.startswith("#"):
            lines.append((number, line))
    player = Player()
    for number, line in lines:
        if line.startswith("edge "):
            player.edge += line[5:] + "\n"
            continue
        if line.startswith("config "):
            player.changes = json.loads(line[7:])
            continue
        try:
            player.step(line)
        except AssertionError as error:
            raise AssertionError(f"{path.name}:{number}: {error}") from None
    return player

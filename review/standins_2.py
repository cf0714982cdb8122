"""Stand-ins of the second review: discovery, exchanges, callers, and the program under test.

They follow the operators' pages.  Every address is a loopback address, every port a free one.  Times are Unix
milliseconds.  A case imports this module, and its `run` ends with 0 (rule held), 1 (broken) or 2 (no verdict).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0

IAM, ACM, ANM, REL, RLC, GROUP, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 180, 182, 188, 194, 198, 208, 210
READY, DRAINING, GONE = 0, 1, 2
STATE_NAMES = ("Ready", "Terminating", "Gone")


class CannotRun(Exception):
    """The case has no verdict: its preparation failed."""


def now_ms() -> float:
    """Returns the Unix time in milliseconds."""
    return time.time() * 1000.0


_reserved: list[socket.socket] = []


def free_port() -> int:
    """Returns a free port, which stays reserved for a listener with SO_REUSEPORT, as the program's is."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = now_ms()
        self.say(f"TROUBLE={int(TROUBLE)}")

    def say(self, text: str) -> None:
        """Writes one line with the seconds since the beginning."""
        self.file.write(f"{(now_ms() - self.began) / 1000.0:8.3f} {text}\n")
        self.file.flush()


# ---- the event bus ----


class Bus:
    """Discovery: keeps the numbered events and sends each connection those after the number it names.

    `turn_s` is how long a new connection waits for its turn, as at a slow or crowded service; from then on it
    gets every frame at once.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.turn_s = 0.0
        self.told_at: dict[int, float] = {}
        self.connections: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, whole: bool, targets: list[dict[str, Any]]) -> int:
        """Adds an event; returns its number."""
        number = len(self.events) + 1
        self.events.append({"offset": number, "all": whole, "targets": targets})
        self.told_at[number] = now_ms()
        self.record.say(f"bus event {number} {[(t['uid'], STATE_NAMES[t['state']]) for t in targets]}")
        self.changed.set()
        self.changed = asyncio.Event()
        return number

    def known(self) -> dict[str, Any]:
        """Returns the events so far in the form of the configuration."""
        return {
            "offset": len(self.events),
            "batch": [
                {
                    "offset": event["offset"],
                    "topology": {
                        "rev": event["offset"],
                        "all": event["all"],
                        "targets": [
                            {
                                "uid": f"s-{t['uid']:08x}",
                                "endpoint": f"127.0.0.1:{t['port']}",
                                "az": "sofia",
                                "model": "single-core",
                                "pod_group": t["cell"],
                                "state": STATE_NAMES[t["state"]],
                                "capacity_hint": 1,
                                "boot_ms": 0,
                            }
                            for t in event["targets"]
                        ],
                    },
                }
                for event in self.events
            ],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record.say(f"bus connection after event {last}, served in {self.turn_s} s")
            ended = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([ended], timeout=self.turn_s)
            if not ended.done():
                self.record.say("bus connection is served")
                writer.write(self._frame(last, 0, b""))
            while not ended.done():
                while last < len(self.events):
                    event = self.events[last]
                    last += 1
                    payload = b"".join(map(self._encode_target, event["targets"]))
                    writer.write(self._frame(last, 1 if event["all"] else 2, payload))
                changed = asyncio.ensure_future(self.changed.wait())
                await asyncio.wait([ended, changed], timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                if not changed.done():
                    changed.cancel()
                    writer.write(self._frame(last, 0, b""))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.record.say("bus connection ended")
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    def _encode_target(t: dict[str, Any]) -> bytes:
        address = socket.inet_aton("127.0.0.1")
        return struct.pack(">I4sHBBBHIQ", t["uid"], address, t["port"], t["state"], 0, 0, t["cell"], 1000, 0)

    @staticmethod
    def _frame(number: int, kind: int, payload: bytes) -> bytes:
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


# ---- exchanges ----


def encode(kind: int, call: int, parameters: dict[int, bytes]) -> bytes:
    """Encodes one binary message."""
    body = struct.pack(">BQ", kind, call) + b"".join(
        struct.pack(">BH", code, len(value)) + value for code, value in parameters.items()
    )
    return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> tuple[int, int, dict[int, bytes]]:
    """Decodes one binary message without its length."""
    kind, call = struct.unpack_from(">BQ", body)
    offset, parameters = 9, {}
    while offset < len(body):
        code, length = struct.unpack_from(">BH", body, offset)
        offset += 3
        parameters[code] = body[offset : offset + length]
        offset += length
    return kind, call, parameters


class Exchange:
    """One exchange.  A call stands from its answer until either side releases it; no connection owns it."""

    def __init__(self, record: Record, name: str, cell: int, circuits: int = 100) -> None:
        self.record = record
        self.name = name
        self.cell = cell
        self.circuits = circuits
        self.answer_ms = 20.0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.lines: list[asyncio.StreamWriter] = []
        self.open: dict[int, asyncio.StreamWriter] = {}  # set-ups that are out, with their connection
        self.standing: dict[int, asyncio.StreamWriter] = {}
        self.stood_at: dict[int, float] = {}
        self.over: dict[int, tuple[float, str]] = {}  # when a call that stood ended, and by whom
        self.arrivals: list[tuple[float, int]] = []
        self.unsent: list[int] = []  # releases to repeat on the next connection

    @property
    def target(self) -> dict[str, Any]:
        """The exchange as the bus lists it."""
        return {"uid": 0x1000 + self.cell, "port": self.port, "cell": self.cell, "state": READY}

    async def start(self, port: int = 0) -> None:
        """Listens; on a free port unless one is given."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def _report(self) -> bytes:
        free = max(0, self.circuits - len(self.open) - len(self.standing))
        return f"x0:{free};x1:{self.circuits};eps:0;latency_ms:1".encode()

    def tell_group(self) -> None:
        """Sends the state of the group on the open connections, as at each change of it."""
        for line in self.lines[:4]:
            line.write(encode(GROUP, 0, {REPORT: self._report()}))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines.append(writer)
        self.record.say(f"{self.name} connection up, {len(self.lines)} open")
        writer.write(encode(GROUP, 0, {REPORT: self._report()}))
        for call in self.unsent:
            self.record.say(f"{self.name} repeats release of {call:016x}")
            writer.write(encode(REL, call, {CAUSE: b"\x10"}))
        self.unsent.clear()
        try:
            while True:
                length = struct.unpack(">H", await reader.readexactly(2))[0]
                self._handle(writer, *decode(await reader.readexactly(length)))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.lines.remove(writer)
            writer.close()
            for call in [call for call, line in self.open.items() if line is writer]:
                del self.open[call]
                self.record.say(f"{self.name} gives up {call:016x}: its connection ended")
            self.record.say(f"{self.name} connection ended, {len(self.lines)} open")

    def _handle(self, line: asyncio.StreamWriter, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        if kind == TEST:
            line.write(encode(TESTED, call, {CAUSE: b"\x01", REPORT: self._report()}))
        elif kind == IAM:
            self.arrivals.append((now_ms(), call))
            self.record.say(f"{self.name} set-up {call:016x}")
            self.open[call] = line
            self.tell_group()
            asyncio.get_running_loop().call_later(self.answer_ms / 1000.0, self._answer, line, call)
        elif kind == REL:
            self.record.say(f"{self.name} gets release of {call:016x}")
            self.open.pop(call, None)
            if self.standing.pop(call, None) is not None:
                self.over[call] = now_ms(), "controller"
                line.write(encode(RLC, call, {}))
            self.tell_group()

    def _answer(self, line: asyncio.StreamWriter, call: int) -> None:
        if self.open.get(call) is not line:
            return
        del self.open[call]
        self.standing[call] = line
        self.stood_at[call] = now_ms()
        self.record.say(f"{self.name} answers {call:016x}")
        line.write(encode(ANM, call, {DESCRIPTION: f"{self.name} {call:016x}".encode()}))

    def end_call(self, call: int) -> None:
        """The far end hangs up: releases the call on its connection or any open one, and on the next one."""
        line = self.standing.pop(call, None)
        if line is None:
            return
        self.over[call] = now_ms(), "exchange"
        candidates = ([line] if line in self.lines else []) + self.lines
        self.record.say(f"{self.name} releases {call:016x}, {len(self.lines)} connections open")
        if candidates:
            candidates[0].write(encode(REL, call, {CAUSE: b"\x10"}))
        self.unsent.append(call)
        self.tell_group()


# ---- the network between the program and an exchange ----


class NetworkPath:
    """A proxy before one exchange: it passes bytes on, or is cut off, or forgets its idle connections.

    While it is cut off, open connections stay open and say nothing, and new ones never come up.  A connection
    that is forgotten ends at the exchange; the program hears nothing of it, and whatever it sends there is
    answered with a reset, as by a machine that knows no such connection.
    """

    def __init__(self, record: Record, exchange: Exchange, one_way_s: float = 0.0) -> None:
        self.record = record
        self.exchange = exchange
        self.one_way_s = one_way_s
        self.reset_at_set_up = False  # the next set-up that arrives meets a reset instead
        self.passing = asyncio.Event()
        self.passing.set()
        self.listener = socket.socket()
        self.port = 0
        self.fillers: list[socket.socket] = []
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self.last_byte_at = time.monotonic()
        self.forgotten: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Future[None]] = set()

    async def start(self) -> int:
        """Listens on a free port, and returns it."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self._accept)
        return int(self.port)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            sock, peer = self.listener.accept()
            if any(peer == filler for filler in self._filler_names()):
                sock.close()
                return
            task = asyncio.ensure_future(self._join(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _filler_names(self) -> list[Any]:
        return [filler.getsockname() for filler in self.fillers if filler.fileno() >= 0]

    async def _join(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.exchange.port)
        pair = writer, far_writer
        self.pairs.append(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, pair), self._pump(far_reader, writer, pair)
            )
        except OSError:
            for end in pair:
                end.transport.abort()
        finally:
            if pair in self.pairs:
                self.pairs.remove(pair)
            for end in pair:
                end.close()

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, pair: tuple[Any, Any]
    ) -> None:
        while True:
            data = await source.read(65536)
            await self.passing.wait()
            if pair[0] in self.forgotten:
                if sink is pair[0]:
                    return  # the exchange's end, which has ended: nothing reaches the program
                self.record.say(f"{self.exchange.name} path: {len(data)} bytes on a forgotten connection, reset")
                raise ConnectionResetError
            self.last_byte_at = time.monotonic()
            if self.one_way_s:
                asyncio.get_running_loop().call_later(self.one_way_s, self._deliver, data, sink, pair)
            else:
                self._deliver(data, sink, pair)
            if not data:
                await asyncio.sleep(self.one_way_s)
                return

    def _deliver(self, data: bytes, sink: asyncio.StreamWriter, pair: tuple[Any, Any]) -> None:
        if pair not in self.pairs:
            return  # reset while the bytes were on their way
        if self.reset_at_set_up and sink is pair[1] and data[2:3] == bytes([IAM]):
            self.reset_at_set_up = False
            self.reset(pair)
            return
        with contextlib.suppress(OSError):
            if data:
                sink.write(data)
            else:
                sink.write_eof()

    async def cut(self) -> None:
        """Cuts the exchange off."""
        self.passing.clear()
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
            await asyncio.sleep(0.05)
            if not filler.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                try:
                    filler.getpeername()
                except OSError:
                    self.record.say(f"{self.exchange.name} is cut off")
                    return  # it does not come up: nor will any other
        raise CannotRun("connections to a full backlog come up on this machine")

    def heal(self) -> None:
        """Ends the cut: what waited passes, and connections come up again."""
        self.record.say(f"{self.exchange.name} can be reached again")
        names = self._filler_names()
        while True:
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                break
            if peer in names:
                sock.close()
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self._accept)
        self.passing.set()

    def forget(self) -> None:
        """Forgets all connections: they end at the exchange, and the program hears nothing."""
        for near, far in list(self.pairs):
            if near not in self.forgotten:
                self.record.say(f"{self.exchange.name} forgets a connection, idle for "
                                f"{time.monotonic() - self.last_byte_at:.1f} s")
                self.forgotten.add(near)
                far.transport.abort()

    def reset(self, only: tuple[Any, Any] | None = None) -> None:
        """Resets connections on both sides, as a network does: what is on its way is lost."""
        for near, far in [only] if only is not None else list(self.pairs):
            self.pairs.remove((near, far))
            self.record.say(f"{self.exchange.name} path: connection reset")
            for end in (near, far):
                sock = end.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.transport.abort()


# ---- callers ----


class Caller:
    """A caller's connection, and its calls."""

    tasks: set[asyncio.Future[None]] = set()  # kept, as the loop itself holds them weakly
    ids = itertools.count(int.from_bytes(os.urandom(6), "big") << 16)

    def __init__(self, record: Record, name: str = "caller") -> None:
        self.record = record
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.answers: dict[tuple[int, str], asyncio.Future[int]] = {}
        self.customer = "moda-rila"
        self.finals: dict[int, list[int]] = {}  # final responses to each INVITE
        self.released: dict[int, float] = {}  # when a BYE for a call came
        self.bodies: dict[int, bytes] = {}
        self.task: asyncio.Future[None] | None = None
        self.closed_at = 0.0

    async def connect(self, port: int) -> None:
        """Connects, and reads from then on."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self._read())
        self.tasks.add(self.task)

    async def _read(self) -> None:
        assert self.reader is not None and self.writer is not None
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head[:-4].split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
                call = int(headers["call-id"], 16)
                if first.startswith("SIP/2.0"):
                    self._on_response(int(first.split()[1]), call, headers, body)
                elif first.startswith("BYE"):
                    self.record.say(f"{self.name} gets BYE {call:016x} {headers.get('reason', '')}")
                    self.released.setdefault(call, now_ms())
                    self.writer.write(
                        f"SIP/2.0 200 OK\r\nVia: {headers.get('via', '')}\r\nCall-ID: {call:016x}\r\n"
                        f"CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n".encode()
                    )
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.closed_at = now_ms()
        self.record.say(f"{self.name} connection ended")

    def _on_response(self, status: int, call: int, headers: dict[str, str], body: bytes) -> None:
        method = headers["cseq"].split()[1]
        if status < 200:
            return
        self.record.say(f"{self.name} gets {status} to {method} {call:016x}")
        if method == "INVITE":
            self.finals.setdefault(call, []).append(status)
            self.bodies[call] = body
            self._send("ACK", call, [])
        future = self.answers.get((call, method))
        if future is not None and not future.done():
            future.set_result(status)

    def _send(self, method: str, call: int, headers: list[str], body: bytes = b"", user: str = "") -> None:
        assert self.writer is not None
        lines = [
            f"{method} sip:{user or f'{call:016x}'}@net SIP/2.0",
            "Via: SIP/2.0/TCP peer",
            f"Call-ID: {call:016x}",
            f"CSeq: 1 {method}",
            *headers,
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        self.writer.write("\r\n".join(lines).encode() + body)

    def request(
        self, method: str, call: int, headers: list[str], body: bytes = b"", user: str = ""
    ) -> asyncio.Future[int]:
        """Sends a request; the result of the future is the status of its final response."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.answers[(call, method)] = future
        if method != "INVITE":
            self.record.say(f"{self.name} sends {method} {call:016x}")
        self._send(method, call, headers, body, user)
        return future

    def invite(
        self, destination: int, expires_ms: int = 3000, service: str = "stock-check", width: int = 1
    ) -> tuple[int, asyncio.Future[int]]:
        """Offers a call; returns its id, and a future with the status of its answer."""
        call = next(self.ids) & (1 << 64) - 1
        self.record.say(f"{self.name} sends INVITE {call:016x} to {destination}")
        return call, self.request(
            "INVITE",
            call,
            [
                f"Priority-Class: {service}",
                f"Expires-Ms: {expires_ms}",
                *([f"P-Customer: {self.customer}"] if self.customer else []),
                f"P-Trunk-Info: dest:{destination};width:{width};via:-1",
            ],
            f"{call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".encode(),
            os.urandom(8).hex(),
        )

    def bye(self, call: int) -> asyncio.Future[int]:
        """Hangs up a call that stands."""
        return self.request("BYE", call, ["Reason: Q.850;cause=16"])

    def options(self) -> asyncio.Future[int]:
        """Sends a test."""
        return self.request("OPTIONS", next(self.ids) & (1 << 64) - 1, [], b"", "ping")


# ---- the program under test ----


def settings(exchanges: int, **limits: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment, with the figures of the site trakiya-outlets."""
    return {
        "ClientHabits": {"MarksRetry": False},
        "Contract": {
            "ColdFrom": 0.33,
            "ColdMs": 14000.0,
            "DrainGraceMs": 250.0,
            "FallMultiple": 3.0,
            "GraceToAnswerMs": 20.0,
            "MustAskInMs": 10000.0,
            "TipAfterMs": 1000.0,
        },
        "HostTypes": ["single-core"],
        "KindOfService": "trunks",
        "Limits": {
            "Cancel": True,
            "ConnIdleMs": 600000.0,
            "ConnectTimeoutMs": 500.0,
            "MaxAttempts": 4,
            "MaxOpen": 20000,
            "MaxRetryAfterMs": 2000.0,
            "MayDuplicate": False,
            "Peers": False,
            "Probing": True,
            "RetryAfter": True,
            "StreamsPerConn": 1048576,
            **limits,
        },
        "MembershipMode": "push",
        "Realms": [{"Fraction": 1.0, "Name": "moda-rila", "QuotaPerS": 90.0}],
        "Report": {"Columns": ["spare", "total", "cut_by", "recent_ms"], "Source": "on_probe"},
        "SelfIndex": 0,
        "Siblings": exchanges,
        "Services": [
            {
                "AimMs": 1500.0,
                "Credit": 1.0,
                "DeadlineMs": 9000.0,
                "Effect": "read_like",
                "Group": "all",
                "LateWorth": 0.25,
                "Name": "stock-check",
                "Stream": True,
                "WindowMs": 5000.0,
            },
            {
                "AimMs": 1000.0,
                "Credit": 5.0,
                "DeadlineMs": 6000.0,
                "Effect": "read_like",
                "Group": "all",
                "LateWorth": 0.25,
                "Name": "item-hold",
                "Stream": True,
                "WindowMs": 5000.0,
            },
        ],
        "Specifics": {
            "Advice": False,
            "ClassHoldMs": [12300.0, 6200.0],
            "ClassWidth": [1, 1],
            "Here": 0,
            "Layout": "meshed",
            "PoolsByClass": [],
            "ReleaseMs": 300.0,
            "ResendMs": 0.0,
            "SaysWait": True,
        },
        "TickMs": 5.0,
        "Tier": 0,
        "Tiers": ["outlet-exchanges"],
        "Zone": 0,
        "Zones": ["sofia"],
    }


def scot_stock_net(values: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings with the figures of the site scot-stock-net, which allows no probes."""
    services = [
        {**values["Services"][0], "LateWorth": 0.1},
        {**values["Services"][0], "LateWorth": 0.1, "AimMs": 2000.0, "Credit": 2.0, "Name": "pallet-transfer"},
        {**values["Services"][1], "Credit": 6.0, "Name": "emergency-parcel"},
    ]
    contract = {"ColdFrom": 0.3, "ColdMs": 15000.0, "DrainGraceMs": 500.0, "FallMultiple": 2.0, "TipAfterMs": 3000.0}
    specifics = {"Advice": True, "ClassHoldMs": [11000.0, 14300.0, 5500.0], "ClassWidth": [1, 2, 1]}
    return {
        **values,
        "Contract": {**values["Contract"], **contract},
        "Limits": {**values["Limits"], "MaxAttempts": 5, "Probing": False, "RetryAfter": False},
        "Realms": [],
        "Report": {"Columns": ["spare", "total", "cut_by"], "Source": "inline"},
        "Services": services,
        "Specifics": {**values["Specifics"], **specifics, "ReleaseMs": 200.0, "ResendMs": 400.0},
        "Zones": ["central-belt", "highlands"],
    }


class Program:
    """The session controller, started with `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, port: int, edge: str = "") -> None:
        self.record = record
        self.folder = folder
        self.port = port
        self.edge = edge
        self.process: asyncio.subprocess.Process | None = None
        self.former: list[asyncio.subprocess.Process] = []  # beside which the present one was started
        self.starts = 0

    def write_config(self, bus: Bus, values: dict[str, Any]) -> None:
        """Writes the file that LB_CONFIG names, with the events of the bus up to now."""
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": os.urandom(8).hex(),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bus": f"127.0.0.1:{bus.port}",
                    "known": bus.known(),
                    "settings": values,
                }
            )
        )

    async def start(self, beside: bool = False) -> None:
        """Starts the program and waits until it passes a test.

        `beside`: as an operator replaces the process in service, with the same configuration and `$TMPDIR`.
        """
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.starts += 1
        if beside and self.process is not None:
            self.former.append(self.process)
        else:
            self.temporary = self.folder / f"tmp{self.starts}"
            self.temporary.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "LB_NAME": "n0",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.temporary),
        }
        if self.edge:
            (self.folder / "edge.kdl").write_text(self.edge)
            environment["LB_EDGE"] = str(self.folder / "edge.kdl")
        with (self.folder / f"log{self.starts}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.say(f"program started, start {self.starts}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"the program ended with {self.process.returncode}: {self.log()[-500:]}")
            tester = Caller(self.record, "front")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await tester.connect(self.port)
                if await asyncio.wait_for(tester.options(), 1.0) == 200:
                    assert tester.writer is not None
                    tester.writer.close()
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("the program passed no test within 30 s")

    def log(self, start: int = 0) -> str:
        """Returns the log of a start, the latest if none is given."""
        return (self.folder / f"log{start or self.starts}.txt").read_text(errors="replace")

    async def wait_for_line(self, event: str, wait_s: float) -> None:
        """Waits until the latest start has logged an event."""
        for _ in range(int(wait_s * 50)):
            if f'"event":"{event}"' in self.log():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"no {event} in the program's log")

    async def kill(self, number: int = signal.SIGKILL, wait_s: float = 10.0) -> None:
        """Sends the signal and waits for the end."""
        assert self.process is not None
        self.record.say(f"program gets signal {int(number)}")
        self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), wait_s)
        self.record.say(f"program ended with {self.process.returncode}")

    async def end(self) -> None:
        """Ends the program, and those that it has replaced, if they run."""
        for process in [*self.former, *([self.process] if self.process is not None else [])]:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


class World:
    """One deployment of a case: discovery, exchanges, the program, and what the case adds."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bus = Bus(self.record)
        self.exchanges: list[Exchange] = []
        self.program = Program(self.record, self.folder, free_port())

    async def start(
        self,
        count: int = 5,
        site: Callable[[dict[str, Any]], dict[str, Any]] = lambda values: values,
        in_front: dict[int, Callable[[Exchange], Awaitable[int]]] | None = None,
        edge: str = "",
        **limits: Any,
    ) -> None:
        """Starts everything; `in_front` puts a proxy before an exchange and returns the proxy's port."""
        await self.bus.start()
        self.exchanges = [Exchange(self.record, f"exchange-{cell}", cell) for cell in range(count)]
        targets = []
        for exchange in list(self.exchanges):
            await exchange.start()
            target = exchange.target
            if in_front and exchange.cell in in_front:
                target["port"] = await in_front[exchange.cell](exchange)
            targets.append(target)
        self.targets = targets
        self.bus.tell(True, targets)
        self.values = site(settings(count, **limits))
        self.program.edge = edge
        self.program.write_config(self.bus, self.values)
        await self.program.start()
        for _ in range(100):
            if all(exchange.lines for exchange in self.exchanges):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the program did not connect to all exchanges")
        await asyncio.sleep(0.5)

    async def end(self) -> None:
        """Ends the program, keeps its last log lines in the record, and removes the temporary folder."""
        await self.program.end()
        if self.program.starts:
            for start in range(1, self.program.starts + 1):
                self.record.say(f"last lines of the program's log, start {start}:")
                for line in self.program.log(start).splitlines()[-60:]:
                    self.record.say(f"    {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def stand(
    caller: Caller, exchange: Exchange, count: int, service: str = "stock-check", width: int = 1
) -> list[int]:
    """Sets up calls that stand at the exchange; raises CannotRun if one does not."""
    calls = []
    for _ in range(count):
        call, answer = caller.invite(exchange.cell, service=service, width=width)
        if await asyncio.wait_for(answer, 5.0) != 200 or call not in exchange.standing:
            raise CannotRun(f"call {call:016x} does not stand at {exchange.name}")
        calls.append(call)
        await asyncio.sleep(0.05)
    return calls


def run(case: Callable[[World], Awaitable[list[str]]], file: str) -> None:
    """Runs a case, which returns what broke the rule, and exits with its verdict."""

    async def play() -> int:
        world = World(Path(file).resolve().parent)
        me = asyncio.current_task()
        assert me is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends what it has started, too
            asyncio.get_running_loop().add_signal_handler(number, me.cancel)
        try:
            broken = await asyncio.wait_for(case(world), TIME_LIMIT_S)
        except Exception as error:  # whatever fails here is no verdict on the program
            world.record.say(f"verdict: could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await world.end()
        for line in broken:
            world.record.say(f"broken: {line}")
            print(f"broken: {line}")
        verdict = "broken" if broken else "held"
        world.record.say(f"verdict: the rule was {verdict}")
        print(f"the rule was {verdict}")
        return 1 if broken else 0

    try:
        status = asyncio.run(play())
    except BaseException as error:
        print(f"could not run: {type(error).__name__}")
        status = 2
    sys.stdout.flush()
    os._exit(status)

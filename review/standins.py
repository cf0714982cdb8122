"""Stand-ins for the platform: exchanges, the event bus, callers, a proxy, and a process of the program.

They follow the operators' protocol pages and use the standard library only.  Everything listens on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IAM, ACM, ANM, REL, RLC, GROUP, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_REPORT, P_CAUSE, P_DESCRIPTION = 180, 182, 188, 194, 198, 208, 210
CIRCUITS = 60


def now() -> float:
    """Unix time in seconds."""
    return time.time()


class Record:
    """Writes what was sent, answered and run into record.txt, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = now()
        self.file = path.open("w")

    def __call__(self, text: str) -> None:
        line = f"{now() - self.started:8.3f}  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def listening_socket() -> socket.socket:
    """Listens at a free loopback port, below those that outgoing connections use."""
    while True:
        with contextlib.suppress(OSError):
            sock = socket.create_server((HOST, random.randrange(20_000, 30_000)), backlog=64)
            sock.setblocking(False)
            return sock


def free_port() -> int:
    """Returns a loopback port that is free now, for the program."""
    with listening_socket() as sock:
        return port_of(sock)


def port_of(sock: socket.socket) -> int:
    """Returns the port that the socket is bound to."""
    return int(sock.getsockname()[1])


# ---- exchanges -------------------------------------------------------------------------------------------


def encode(kind: int, call: int, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encodes one binary message."""
    body = b"".join(struct.pack(">BH", c, len(v)) + v for c, v in (parameters or {}).items())
    return struct.pack(">HBQ", len(body) + 9, kind, call) + body


def decode(body: bytes) -> tuple[int, int, dict[int, bytes]]:
    """Decodes the message after its length."""
    kind, call = struct.unpack_from(">BQ", body)
    parameters, offset = {}, 9
    while offset < len(body):
        code, length = struct.unpack_from(">BH", body, offset)
        parameters[code] = body[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return kind, call, parameters


class Exchange:
    """One exchange: answers every set-up after a short time; calls stand until one side releases them."""

    def __init__(self, number: int, record: Record, work_ms: float = 8.0) -> None:
        self.number = number
        self.uid = 0xA000 + number
        self.record = record
        self.work_ms = work_ms  # of the processor, for one set-up, answer, release or test
        self.line: asyncio.Queue[Callable[[], None]] = asyncio.Queue()  # what waits for the processor
        self.hung = False
        self.sock = listening_socket()
        self.port = port_of(self.sock)
        self.endpoint_port = self.port  # what the event bus tells; a proxy puts its own port here
        self.lines: list[asyncio.StreamWriter] = []
        self.open: dict[int, asyncio.StreamWriter] = {}  # unanswered set-ups
        self.standing: dict[int, tuple[float, asyncio.StreamWriter]] = {}
        self.releases_for_next: list[bytes] = []
        self.arrivals: list[tuple[float, int]] = []  # set-ups
        self.released_by_controller: dict[int, float] = {}
        self.released_here: dict[int, float] = {}
        self.server: asyncio.Server | None = None

    @property
    def name(self) -> str:
        return f"exchange {self.number}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.sock)
        self.processor = asyncio.ensure_future(self._work())

    def stop(self) -> None:
        """Ends the exchange: its connections are reset, and its calls are cut."""
        assert self.server is not None
        self.server.close()
        self.standing.clear()
        for line in list(self.lines):
            line.transport.abort()

    async def _work(self) -> None:
        """The processor: one thing after the other, nothing while it hangs."""
        while True:
            work = await self.line.get()
            await asyncio.sleep(self.work_ms / 1000.0)
            while self.hung:
                await asyncio.sleep(0.005)
            work()

    def hang(self, hung: bool) -> None:
        self.hung = hung
        self.record(f"{self.name}: its processor {'hangs' if hung else 'works again'}")

    def report(self) -> dict[int, bytes]:
        free = max(0, CIRCUITS - len(self.standing) - len(self.open))
        return {P_REPORT: f"x0:{free};x1:{CIRCUITS};eps:0;latency_ms:2".encode()}

    def tell_group(self) -> None:
        report = {P_REPORT: self.report()[P_REPORT].split(b";eps")[0]}
        for line in self.lines[:4]:
            line.write(encode(GROUP, 0, report))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record(f"{self.name}: a connection came up")
        self.lines.append(writer)
        writer.write(encode(GROUP, 0, self.report()))
        for release in self.releases_for_next:
            writer.write(release)
        self.releases_for_next.clear()
        try:
            while True:
                length = struct.unpack(">H", await reader.readexactly(2))[0]
                self._handle(writer, *decode(await reader.readexactly(length)))
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.record(f"{self.name}: a connection ended")
        self.lines.remove(writer)
        for call in [call for call, line in self.open.items() if line is writer]:
            del self.open[call]  # the set-ups open on a connection are given up when it closes
            self.record(f"{self.name}: set-up {call:016x} is given up with its connection")
        writer.close()

    def _handle(self, line: asyncio.StreamWriter, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        if kind == TEST:
            self.line.put_nowait(lambda: line.write(encode(TESTED, call, {P_CAUSE: b"\x01", **self.report()})))
        elif kind == IAM:
            self.arrivals.append((now(), call))
            number = self.lines.index(line) + 1
            self.record(f"{self.name}: set-up {call:016x} arrived on connection {number} of {len(self.lines)}")
            self.open[call] = line
            self.tell_group()
            description = parameters.get(P_DESCRIPTION, b"")
            self.line.put_nowait(lambda: self._answer(call, line, description))
        elif kind == REL and call in self.open:
            del self.open[call]
            self.record(f"{self.name}: set-up {call:016x} was given up by a release")
            self.tell_group()
        elif kind == REL:
            stood = self.standing.pop(call, None)
            self.record(f"{self.name}: release of {call:016x} arrived ({'it stood' if stood else 'unknown'})")
            self.released_by_controller.setdefault(call, now())
            if stood:
                line.write(encode(RLC, call))
                self.tell_group()

    def _answer(self, call: int, line: asyncio.StreamWriter, description: bytes) -> None:
        if self.open.get(call) is not line:
            return
        del self.open[call]
        self.standing[call] = now(), line
        self.record(f"{self.name}: answered {call:016x}, it stands")
        line.write(encode(ANM, call, {P_DESCRIPTION: b"from-" + str(self.number).encode() + b":" + description}))

    def end_call(self, call: int) -> None:
        """The call has come to its end; its release waits for the processor."""
        if call in self.standing:
            self.line.put_nowait(lambda: self._release(call))

    def _release(self, call: int) -> None:
        """Releases a call on the connection of its set-up or an open one, and on the next one to be opened."""
        if call not in self.standing:
            return
        _, line = self.standing.pop(call)
        release = encode(REL, call, {P_CAUSE: b"\x10"})
        self.releases_for_next.append(release)
        target = line if line in self.lines else (self.lines[0] if self.lines else None)
        self.released_here[call] = now()
        self.record(f"{self.name}: call {call:016x} has come to its end; release {'sent' if target else 'waits'}")
        if target:
            target.write(release)
        self.tell_group()


# ---- the event bus ---------------------------------------------------------------------------------------


class EventBus:
    """Sends the events after the number that a connection names, and an empty frame each second."""

    def __init__(self, record: Record, exchanges: list[Exchange]) -> None:
        self.record = record
        self.sock = listening_socket()
        self.port = port_of(self.sock)
        self.exchanges = exchanges
        self.events: list[tuple[int, int, list[tuple[Exchange, int]]]] = []  # number, kind, (exchange, state)
        self.events.append((1, 1, [(exchange, 0) for exchange in exchanges]))
        self.published_at: dict[int, float] = {}
        self.first_frame_s = 0.0  # how long a new connection waits for its first frame
        self.connections = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.sock)

    def publish(self, exchange: Exchange, state: int) -> int:
        number = self.events[-1][0] + 1
        self.events.append((number, 2, [(exchange, state)]))
        self.published_at[number] = now()
        self.record(f"event bus: event {number}: {exchange.name} is {('ready', 'draining', 'gone')[state]}")
        return number

    @staticmethod
    def frame(number: int, kind: int, targets: list[tuple[Exchange, int]]) -> bytes:
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ", x.uid, socket.inet_aton(HOST), x.endpoint_port, state, 0, 0, x.number, 1000, 0
            )
            for x, state in targets
        )
        return struct.pack(">IQB", len(payload) + 9, number, kind) + payload

    def known(self) -> dict[str, Any]:
        states = ("Ready", "Terminating", "Gone")
        return {
            "offset": self.events[-1][0],
            "batch": [
                {
                    "offset": number,
                    "topology": {
                        "rev": number,
                        "all": kind == 1,
                        "targets": [
                            {
                                "uid": f"s-{x.uid:08x}",
                                "endpoint": f"{HOST}:{x.endpoint_port}",
                                "az": "sofia",
                                "model": "std",
                                "pod_group": x.number,
                                "state": states[state],
                                "capacity_hint": 1,
                                "boot_ms": 0,
                            }
                            for x, state in targets
                        ],
                    },
                }
                for number, kind, targets in self.events
            ],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = self.connections
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record(f"event bus: connection {connection} asks for what follows event {last}")
            ended = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([ended], timeout=self.first_frame_s)
            due = 0.0
            while not ended.done():
                for number, kind, targets in self.events:
                    if number > last:
                        writer.write(self.frame(number, kind, targets))
                        self.record(f"event bus: event {number} is sent on connection {connection}")
                        last = number
                if now() >= due:
                    writer.write(self.frame(last, 0, []))
                    due = now() + 1.0
                await asyncio.wait([ended], timeout=0.05)
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.record(f"event bus: connection {connection} ended")
        writer.close()


# ---- callers ---------------------------------------------------------------------------------------------


class Caller:
    """One SIP connection to the program; `answers` and `releases` hold what came on it."""

    def __init__(self, name: str, record: Record, port: int) -> None:
        self.name = name
        self.record = record
        self.port = port
        self.answers: dict[tuple[int, str], tuple[float, int, bytes]] = {}
        self.releases: dict[int, float] = {}
        self.events = asyncio.Event()
        self.ended = False

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.record(f"{self.name}: connected")
        self.task = asyncio.ensure_future(self._read())

    def send(self, text: str, body: bytes = b"") -> None:
        head = "\r\n".join([*text.split("\n"), f"Content-Length: {len(body)}", "", ""])
        with contextlib.suppress(RuntimeError):  # its own side of the connection has ended
            self.writer.write(head.encode() + body)

    def invite(self, call: int, destination: int, expires_ms: int = 3000, service: str = "stock-check") -> None:
        self.record(f"{self.name}: INVITE {call:016x} to exchange {destination}")
        self.send(
            f"INVITE sip:{call ^ 0x5555:016x}@net SIP/2.0\nVia: SIP/2.0/TCP peer\nCall-ID: {call:016x}\n"
            f"CSeq: 1 INVITE\nPriority-Class: {service}\nExpires-Ms: {expires_ms}\n"
            f"P-Customer: moda-rila\nP-Trunk-Info: dest:{destination};width:1;via:-1",
            b"offer",
        )

    async def wait(self, done: Callable[[], bool], seconds: float) -> bool:
        """Waits until `done` returns True; returns whether it did in time."""
        until = now() + seconds
        while not done() and now() < until:
            await asyncio.sleep(0.01)
        return done()

    async def call(self, call: int, destination: int) -> bool:
        """Sets a call up; returns whether it stands."""
        self.invite(call, destination)
        await self.wait(lambda: (call, "INVITE") in self.answers, 4.0)
        return self.answers.get((call, "INVITE"), (0.0, 0, b""))[1] == 200

    async def _read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:]) if k}
                body = await self.reader.readexactly(int(headers["content-length"]))
                call = int(headers.get("call-id", "0"), 16)
                method = headers.get("cseq", "").partition(" ")[2]
                if head[0].startswith("SIP/2.0 "):
                    status = int(head[0].split()[1])
                    self.record(f"{self.name}: {status} to {method} {call:016x}")
                    if (call, method) in self.answers:
                        self.record(f"{self.name}: that is a second answer")
                    self.answers[call, method] = now(), status, body
                    if method == "INVITE":
                        self.send(
                            f"ACK sip:{call ^ 0x5555:016x}@net SIP/2.0\nVia: SIP/2.0/TCP peer\n"
                            f"Call-ID: {call:016x}\nCSeq: 1 ACK"
                        )
                elif head[0].startswith("BYE "):
                    self.record(f"{self.name}: got BYE {call:016x} ({headers.get('reason', '')})")
                    self.releases.setdefault(call, now())
                    self.send(
                        f"SIP/2.0 200 OK\nVia: {headers.get('via', '')}\nCall-ID: {call:016x}\nCSeq: {headers['cseq']}"
                    )
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.ended = True
        self.record(f"{self.name}: connection ended")

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


# ---- the program -----------------------------------------------------------------------------------------


def settings(controllers: int) -> dict[str, Any]:
    """The settings of a small deployment like the operators' own."""
    return {
        "Contract": {"ColdFrom": 0.33, "ColdMs": 14000.0, "DrainGraceMs": 250.0, "FallMultiple": 3.0,
                     "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0, "TipAfterMs": 1000.0},
        "Limits": {"Cancel": True, "ConnIdleMs": 600000.0, "ConnectTimeoutMs": 500.0, "MaxAttempts": 4,
                   "MaxRetryAfterMs": 2000.0, "MayDuplicate": False, "Peers": False, "Probing": True,
                   "RetryAfter": True},
        "MembershipMode": "push",
        "Realms": [{"Fraction": 0.61, "Name": "moda-rila", "QuotaPerS": 19.0},
                   {"Fraction": 0.39, "Name": "obuvki-struma", "QuotaPerS": 12.0}],
        "Report": {"Columns": ["spare", "total", "cut_by", "recent_ms"], "Source": "on_probe"},
        "SelfIndex": 0, "Siblings": controllers,
        "Services": [
            {"AimMs": 1500.0, "Credit": 1.0, "DeadlineMs": 9000.0, "LateWorth": 0.25, "Name": "stock-check"},
            {"AimMs": 1000.0, "Credit": 5.0, "DeadlineMs": 6000.0, "LateWorth": 0.25, "Name": "item-hold"}],
        "Specifics": {"ClassHoldMs": [12300.0, 6200.0], "ClassWidth": [1, 1], "Here": 0, "Layout": "meshed",
                      "ReleaseMs": 300.0, "ResendMs": 0.0},
        "Zones": ["sofia", "plovdiv", "varna"],
    }  # fmt: skip


class Program:
    """The project's program, started with `run` of the deploy file."""

    def __init__(self, record: Record, directory: Path, bus: EventBus) -> None:
        self.record = record
        self.directory = directory
        self.bus = bus
        self.port = free_port()
        self.admin = next(port for port in iter(free_port, 0) if port != self.port)
        self.config = directory / "config.json"
        self.edge = directory / "edge.kdl"
        self.edge.write_text("")  # nothing beside the platform's port
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_config(self) -> None:
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "seed": f"{time.time_ns() & (1 << 62) - 1:x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bus": f"{HOST}:{self.bus.port}",
                    "known": self.bus.known(),
                    "settings": settings(len(self.bus.exchanges)),
                }
            )
        )

    def start(self) -> None:
        self.starts += 1
        self.write_config()
        temporary = self.directory / f"tmp-{self.starts}"
        temporary.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LB_CONFIG": str(self.config),
            "LB_NAME": "n0",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_ADMIN": f"{HOST}:{self.admin}",
            "LB_EDGE": str(self.edge),
            "TMPDIR": str(temporary),
        }
        log = (self.directory / f"log-{self.starts}.jsonl").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        self.record(f"program: start {self.starts}, process {self.process.pid}")

    async def ready(self, seconds: float = 30.0) -> None:
        """Waits until the program has passed a test, as the platform's front does."""
        until = now() + seconds
        while now() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(
                    b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000fe\r\nCSeq: 1 OPTIONS\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                line = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
                writer.close()
                if line.startswith(b"SIP/2.0 200"):
                    self.record("program: it passed a test")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the program did not become ready")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Ends the program at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record("program: killed")

    def events(self) -> list[str]:
        """Returns the log lines of all starts."""
        return [
            line
            for number in range(1, self.starts + 1)
            for line in (self.directory / f"log-{number}.jsonl").read_text(errors="replace").splitlines()
        ]


class Proxy:
    """Forwards connections to a port with a delay; while cut, nothing passes and new ones never come up."""

    def __init__(self, record: Record, name: str, target_port: int, one_way_s: float = 0.0) -> None:
        self.record = record
        self.name = name
        self.target_port = target_port
        self.one_way_s = one_way_s
        self.sock = listening_socket()
        self.port = port_of(self.sock)
        self.open = asyncio.Event()
        self.open.set()
        self.fillers: list[socket.socket] = []
        self.accepting = asyncio.ensure_future(self._accept())

    def cut(self) -> None:
        """Cuts the exchange off: open connections stay open and silent, new ones never come up."""
        self.open.clear()
        self.accepting.cancel()
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        # With its queue full, the kernel drops every further request for a connection.
        self.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)
        self.record(f"{self.name}: cut off")

    def heal(self) -> None:
        """Ends the cut; what was written meanwhile arrives."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.sock.listen(64)
        self.open.set()
        self.accepting = asyncio.ensure_future(self._accept())
        self.record(f"{self.name}: reachable again")

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self.sock)
            client.setblocking(False)
            asyncio.ensure_future(self._serve(client))

    async def _serve(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setblocking(False)
        try:
            await loop.sock_connect(server, (HOST, self.target_port))
            await asyncio.gather(self._copy(client, server), self._copy(server, client))
        except OSError:
            pass
        finally:
            client.close()
            server.close()

    async def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copies until the source has ended its side, and then ends that of the sink."""
        loop = asyncio.get_running_loop()
        passing: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                written_at, data = await passing.get()
                await asyncio.sleep(written_at + self.one_way_s - now())
                if not self.open.is_set():
                    await self.open.wait()
                    await asyncio.sleep(self._next_retransmission(written_at) - now())
                    if was_reset(source):  # the sender has thrown away what did not arrive
                        return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, data)

        delivery = asyncio.ensure_future(deliver())
        try:
            while True:
                await self.open.wait()
                data = await loop.sock_recv(source, 16384)
                passing.put_nowait((now(), data))
                if not data:
                    break
            await delivery
        finally:
            delivery.cancel()

    @staticmethod
    def _next_retransmission(written_at: float) -> float:
        """When TCP sends again what did not arrive: after 0.2 s, then after twice as long each time."""
        due, interval = written_at, 0.2
        while due < now():
            due += interval
            interval *= 2.0
        return due


def was_reset(sock: socket.socket) -> bool:
    """Returns whether the peer has reset the connection."""
    poller = select.poll()
    poller.register(sock.fileno(), 0)
    return any(mask & select.POLLERR for _, mask in poller.poll(0))


class CannotRun(Exception):
    """The case could not be played."""


def play(case: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    directory = Path(tempfile.mkdtemp(prefix="review-"))
    programs: list[Program] = []
    code = 2
    keep = Program.__init__

    def remember(self: Program, *arguments: Any, **named: Any) -> None:
        keep(self, *arguments, **named)
        programs.append(self)

    Program.__init__ = remember  # type: ignore[method-assign]

    async def run() -> bool:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # of tasks that end with the case
        return await asyncio.wait_for(case(record, directory), 110.0)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
    except Exception as error:  # the case itself failed
        record(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    finally:
        for program in programs:
            program.kill()
    for program in programs:
        for line in program.events():
            if '"event":"fault"' in line or "Traceback" in line:
                record(f"program's log: {line[:300]}")
    record(f"result: {('the rule held', 'the rule was broken', 'could not run')[code]}")
    if os.environ.get("KEEP_LOGS"):
        print("logs in", directory)
    else:
        shutil.rmtree(directory, ignore_errors=True)
    sys.exit(code)

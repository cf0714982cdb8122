"""Device sessions, their network paths, and the table of all sessions.

A session survives a change of the device's address.  The table holds at most `max_sessions`.  When it is
full, the idle session (no open requests, empty outbox) that is least recently active is ended; if no session
is idle, a new device is refused.  An idle session that is silent for `idle_ms` ends.  A session has at most
`MAX_PATHS` paths.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ospreyvale.devices.limits import TokenBucket
from ospreyvale.devices.rtt import RttEstimator
from ospreyvale.devices.window import ReplayWindow

MAX_PATHS = 4  # of one session
# Bytes that may be sent to an unvalidated address for each byte received from it (RFC 9000, 8.1).
AMPLIFICATION_FACTOR = 3
# How long a path that is no longer the most recent one is kept after its last datagram.
PATH_RETENTION_MS = 30_000.0
SWEEP_INTERVAL_MS = 1_000.0

Address = tuple[str, int]


class Path:
    """One path to a device: a transport and an address.

    For a stream, the address is `"tcp"` and the number of its connection.
    """

    __slots__ = (
        "address",
        "bytes_received",
        "bytes_sent",
        "last_received_at",
        "oldest_unacked_at",
        "probe",
        "reg_id",
        "rtt",
        "send_window",
        "transport",
        "validated",
    )

    def __init__(self, transport: str, address: Address, now: float, validated: bool) -> None:
        self.transport = transport
        self.address = address
        self.validated = validated  # whether the device is known to receive at the address
        self.bytes_received = self.bytes_sent = 0
        self.rtt = RttEstimator()
        self.last_received_at = now
        self.oldest_unacked_at = math.inf  # when the oldest unacknowledged message was sent; infinity: none
        self.probe = b""  # sent to the device, which returns it to validate the path; empty: none pending
        self.reg_id = 0  # of a SIP flow (RFC 5626): a new flow with the same reg-id replaces it; 0: none
        self.send_window = 4  # outbox messages that may be unacknowledged at once

    def can_send(self, size: int) -> bool:
        """Returns whether the anti-amplification limit allows sending `size` more bytes."""
        return self.validated or self.bytes_sent + size <= AMPLIFICATION_FACTOR * self.bytes_received

    def is_suspect(self, now: float) -> bool:
        """Returns whether an acknowledgement is overdue and the path silent.

        The path is silent if nothing was received since the message was sent.
        """
        return (
            self.last_received_at < self.oldest_unacked_at
            and now >= self.oldest_unacked_at + self.rtt.base_timeout_ms
        )

    def on_received(self, now: float, size: int) -> None:
        """Records `size` bytes received on this path, which ends any suspicion of it."""
        self.bytes_received += size
        self.rtt.back_off_count = 0  # the path works: earlier losses were link losses, not a growing queue
        self.last_received_at = max(now, self.last_received_at)
        self.oldest_unacked_at = math.inf

    def on_sent(self, now: float, size: int) -> None:
        """Records the transmission of a message that needs an acknowledgement."""
        self.bytes_sent += size
        self.oldest_unacked_at = min(self.oldest_unacked_at, now)


class Session:
    """State of one device, kept until it has been silent for too long or is ended for another device."""

    __slots__ = (
        "buckets",
        "cid",
        "device",
        "hello_count",
        "key",
        "key_id",
        "last_received_at",
        "last_sent_number",
        "open_requests",
        "outbox",
        "paths",
        "replay_window",
        "sip_replay_window",
    )

    def __init__(self, device: str, now: float) -> None:
        self.device = device
        self.cid = b""  # counter protocol connection id; empty until the device attaches with HELLO
        self.key = b""  # proves the counter protocol datagrams of the session
        self.key_id = -1  # of the device's key in use; -1: none yet
        self.replay_window = ReplayWindow()  # for the numbers of counter protocol datagrams
        self.sip_replay_window = ReplayWindow()  # for the counts in the proofs of SIP requests
        self.hello_count = 0  # the highest HELLO count in this epoch
        self.last_sent_number = 0  # the number of the last datagram sent to the device
        self.paths: list[Path] = []
        self.open_requests = 0  # requests whose call is open or stands
        # An `OutboxMessage` for each unacknowledged message, by the request's index key and whether it is the
        # answer (else the release).
        self.outbox: dict[tuple[int, bool], Any] = {}
        self.last_received_at = now
        self.buckets: tuple[TokenBucket, TokenBucket] | None = None  # for requests and for bytes

    def find_path(self, transport: str, address: Address) -> Path | None:
        """Returns the path with this transport and address, or None."""
        for path in self.paths:
            if path.address == address and path.transport == transport:
                return path
        return None

    def record_receipt(
        self, transport: str, address: Address, now: float, size: int, validated: bool
    ) -> tuple[Path, bool]:
        """Records `size` bytes received on a path; returns the path and whether it is new.

        `validated` says whether the device is known to receive at that address.
        """
        path = self.find_path(transport, address)
        is_new = path is None
        if path is None:
            path = Path(transport, address, now, validated)
            self.add_path(path)
        path.on_received(now, size)
        return path, is_new

    def add_path(self, path: Path) -> None:
        """Adds a path.

        Beyond `MAX_PATHS`, removes an unvalidated one first, then the one silent for longest.
        """
        self.paths.append(path)
        if len(self.paths) > MAX_PATHS:
            self.paths.remove(
                min(self.paths[:-1], key=lambda existing: (existing.validated, existing.last_received_at))
            )

    @staticmethod
    def best_path(now: float, usable: list[Path]) -> Path | None:
        """Returns the path to send on, None if no path is usable.

        Paths that are not suspect come first, then validated ones, then those with the shortest time-out,
        then the one that was received on last.
        """
        if not usable:
            return None
        return min(
            usable,
            key=lambda path: (
                path.is_suspect(now),
                not path.validated,
                path.rtt.timeout_ms(),
                -path.last_received_at,
            ),
        )

    def drop_stale_paths(self, now: float) -> None:
        """Drops paths that have been silent for `PATH_RETENTION_MS`, except the most recent one."""
        most_recent_at = max((path.last_received_at for path in self.paths), default=now)
        self.paths = [
            path
            for path in self.paths
            if path.last_received_at >= min(most_recent_at, now - PATH_RETENTION_MS)
        ]

    @property
    def is_busy(self) -> bool:
        """Whether the session has open requests or messages to deliver."""
        return self.open_requests > 0 or bool(self.outbox)


class Sessions:
    """The table of all sessions, by device and by connection id.

    `on_ended` is called with each removed session.
    """

    def __init__(self, max_sessions: int, idle_ms: float, on_ended: Callable[[Session], None]) -> None:
        self.max_sessions = max_sessions
        self.idle_ms = idle_ms
        self.on_ended = on_ended
        self.by_device: dict[str, Session] = {}
        self.by_cid: dict[bytes, Session] = {}
        # Those that are not busy, in the order in which they were last received from or became idle.
        self.idle: OrderedDict[str, Session] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_device)

    def get_or_create(self, device: str, now: float) -> Session | None:
        """Returns the device's session, creating it if needed; None if the table is full of busy sessions."""
        existing = self.by_device.get(device)
        if existing is not None:
            return existing
        if len(self.by_device) >= self.max_sessions:
            oldest_idle = next(iter(self.idle.values()), None)
            if oldest_idle is None:
                return None
            self.end(oldest_idle)
        session = self.by_device[device] = Session(device, now)
        self.idle[device] = session
        return session

    def bind_cid(self, session: Session, cid: bytes) -> None:
        """Sets the session's connection id, replacing the previous one."""
        self.by_cid.pop(session.cid, None)
        session.cid = cid
        self.by_cid[cid] = session

    def touch(self, session: Session, now: float) -> None:
        """Records that something was received in the session."""
        session.last_received_at = max(now, session.last_received_at)
        if session.device in self.idle:
            self.idle.move_to_end(session.device)

    def update_idle(self, session: Session) -> None:
        """Moves the session into or out of the idle list.

        To be called after each change that may affect whether the session is busy.
        """
        if session.is_busy:
            self.idle.pop(session.device, None)
        elif session.device not in self.idle and self.by_device.get(session.device) is session:
            self.idle[session.device] = session

    def end(self, session: Session) -> None:
        """Removes the session and calls `on_ended`."""
        self.by_device.pop(session.device, None)
        self.by_cid.pop(session.cid, None)
        self.idle.pop(session.device, None)
        self.on_ended(session)

    def sweep(self, now: float) -> int:
        """Ends idle sessions that have been silent for `idle_ms`; returns how many."""
        count = 0
        while self.idle:
            session = next(iter(self.idle.values()))
            if now < session.last_received_at + self.idle_ms:
                break
            self.end(session)
            count += 1
        return count

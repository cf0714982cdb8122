"""A stand-in for the event bus, which can fall silent and refuse connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from ospreyvale.protocol.eventbus import FrameKind, Target
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, ListeningSocket, Network

HEARTBEAT_INTERVAL_MS = 1_000.0
SUBSCRIPTION_BYTES = 8
STATE_NAMES = ("Ready", "Terminating", "Gone")


@dataclass(frozen=True, slots=True)
class BusEvent:
    """One numbered event."""

    offset: int
    kind: FrameKind
    targets: tuple[Target, ...]

    def encode(self) -> bytes:
        """Returns the event as a frame."""
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                target.uid,
                socket.inet_aton(target.address[0]),
                target.address[1],
                target.state,
                target.zone,
                0,
                target.cell,
                1_000,
                target.started_ms,
            )
            for target in self.targets
        )
        body = struct.pack(">QB", self.offset, self.kind) + payload
        return struct.pack(">I", len(body)) + body

    def to_json(self) -> dict[str, object]:
        """Returns the event as the configuration's `known` holds it."""
        return {
            "offset": self.offset,
            "topology": {
                "rev": self.offset,
                "all": self.kind is FrameKind.SNAPSHOT,
                "targets": [
                    {
                        "uid": target.name,
                        "endpoint": f"{target.address[0]}:{target.address[1]}",
                        "az": "sofia",
                        "model": "std",
                        "pod_group": target.cell,
                        "state": STATE_NAMES[target.state],
                        "capacity_hint": 1,
                        "boot_ms": target.started_ms,
                    }
                    for target in self.targets
                ],
            },
        }


class EventBus:
    """Keeps the events and sends each new one on every connection."""

    def __init__(
        self,
        network: Network,
        address: Address,
        targets: tuple[Target, ...],
        on_sent: Callable[[BusEvent], None],
    ) -> None:
        self.on_sent = on_sent
        self.network = network
        self.loop = network.loop
        self.address = address
        self.events = [BusEvent(1, FrameKind.SNAPSHOT, targets)]
        self.links: dict[Link, int] = {}  # with the number of the last event that was sent there
        self.silent = False
        self.listener: ListeningSocket | None = None
        self.start()
        self._send_heartbeats()

    def start(self) -> None:
        """Accepts connections."""
        if self.listener is None:
            self.listener = self.network.listen(self.address, self._serve, lambda: False)

    def stop(self) -> None:
        """Closes all connections and refuses new ones."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.close()

    def set_silent(self, silent: bool) -> None:
        """Sends nothing on any connection while `silent`; sends what is due afterwards."""
        self.silent = silent
        self._send_events()

    def publish(self, target: Target) -> None:
        """Adds a change of one exchange."""
        self.events.append(BusEvent(self.events[-1].offset + 1, FrameKind.DELTA, (target,)))
        self._send_events()

    def _send_events(self) -> None:
        if self.silent:
            return
        for link, sent_offset in list(self.links.items()):
            for event in self.events:
                if event.offset > sent_offset and link.send(event.encode()):
                    self.on_sent(event)
            self.links[link] = self.events[-1].offset

    def _send_heartbeats(self) -> None:
        if not self.silent:
            heartbeat = BusEvent(self.events[-1].offset, FrameKind.HEARTBEAT, ()).encode()
            for link in list(self.links):
                link.send(heartbeat)
        self.loop.call_at(self.loop.now + HEARTBEAT_INTERVAL_MS, self._send_heartbeats)

    def _serve(self, link: Link) -> Coroutine:
        buffer = b""
        while data := (yield from link.receive()):
            buffer += data
            if len(buffer) >= SUBSCRIPTION_BYTES and link not in self.links:
                self.links[link] = int.from_bytes(buffer[:SUBSCRIPTION_BYTES], "big")
                self._send_events()
        self.links.pop(link, None)
        link.close()

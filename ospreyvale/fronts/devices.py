"""The client interface of devices: provides `RequestManager` with sockets and timers.

`RequestManager` itself does no I/O.
"""

from __future__ import annotations

import os
from collections import Counter
from typing import Any, Protocol

from ospreyvale.devices.counter import COUNTER_UDP, AddressValidator, CounterTransport
from ospreyvale.devices.request_manager import RequestManager
from ospreyvale.devices.sessions import SWEEP_INTERVAL_MS, Session, Sessions
from ospreyvale.devices.sip import SIP_TCP, SIP_UDP, SipTransport
from ospreyvale.devices.state_transfer import StateImporter, StateRecord, export_state
from ospreyvale.fronts.drain import Drain
from ospreyvale.protocol import sip
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.routing import interface
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.settings.devices import DevicesConfig
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import MAX_MESSAGES_PER_TURN, Coroutine, Loop
from ospreyvale.transport.network import Address, DatagramSocket

MAX_STREAMS = 256  # connections of devices; beyond it the one silent for longest is closed
STREAM_SILENCE_TIMEOUT_MS = 150_000.0  # a device sends a keep-alive every 120 s


class DatagramNetwork(Protocol):
    """The part of `Network` that opens datagram sockets."""

    def open_datagram_socket(
        self, address: Address, on_datagram: Any, fd: int | None = None
    ) -> DatagramSocket:
        """Opens a UDP socket; `fd` is an inherited one to use instead."""
        ...


class DeviceFront:
    """All transports of devices, with one `RequestManager`."""

    def __init__(
        self,
        network: DatagramNetwork,
        loop: Loop,
        core: Core,
        config: DevicesConfig,
        class_names: tuple[str, ...],
        settings: interface.Settings,
        counters: Counter[str],
        log: Log,
        drain: Drain,
    ) -> None:
        self.network = network
        self.loop = loop
        self.config = config
        self.drain = drain
        self.counters = counters
        self.log = log
        self.sessions = Sessions(
            config.max_sessions,
            config.idle_ms,
            lambda session: self.request_manager.on_session_ended(session),
        )
        self.request_manager = RequestManager(
            loop,
            core,
            self.sessions,
            os.urandom(8),
            tuple(call_class.worth for call_class in settings.classes),
            settings.release_ms,
            config.limits,
            counters,
            log,
        )
        self.address_validator = AddressValidator(loop.now, config.limits, os.urandom, counters)
        max_patience_ms = tuple(call_class.deadline_ms for call_class in settings.classes)
        self.sockets: dict[str, DatagramSocket] = {}
        # Connections and when each last received data, by the number that serves as address.
        self.streams: dict[int, tuple[Link, float]] = {}
        self.last_stream_number = 0
        self.counter_transport: CounterTransport | None = None
        self.sip_transports: dict[str, SipTransport] = {}
        if COUNTER_UDP in config.listen:
            self.counter_transport = CounterTransport(
                loop,
                self.request_manager,
                self.sessions,
                config.keys,
                class_names,
                max_patience_ms,
                self.address_validator,
                os.urandom,
                counters,
                lambda address, data: self._send_datagram(COUNTER_UDP, address, data),
            )
        for transport in (SIP_UDP, SIP_TCP):
            if transport in config.listen:
                self.sip_transports[transport] = SipTransport(
                    transport,
                    loop,
                    self.request_manager,
                    self.sessions,
                    config.keys,
                    class_names,
                    max_patience_ms,
                    self.address_validator,
                    os.urandom,
                    counters,
                    self._send_on_stream
                    if transport == SIP_TCP
                    else lambda address, data: self._send_datagram(SIP_UDP, address, data),
                )
        drain.change_callbacks.append(self._on_drain_change)
        self._sweep()

    # ---- sockets ----

    def open(self, handed_over_fds: dict[str, int] | None = None) -> None:
        """Opens the datagram sockets of all transports that have none yet.

        `handed_over_fds` holds, by transport, the sockets that another process has handed over.
        """
        receivers = {
            COUNTER_UDP: self.counter_transport.receive if self.counter_transport is not None else None,
            SIP_UDP: self.sip_transports[SIP_UDP].receive if SIP_UDP in self.sip_transports else None,
        }
        for transport, on_datagram in receivers.items():
            if on_datagram is not None and transport not in self.sockets:
                self.sockets[transport] = self.network.open_datagram_socket(
                    self.config.listen[transport], on_datagram, (handed_over_fds or {}).get(transport)
                )

    def close(self) -> None:
        """Closes all datagram sockets."""
        for socket in self.sockets.values():
            socket.close()
        self.sockets.clear()

    def serve(self, link: Link) -> Coroutine:
        """Serves one connection of a device that uses SIP over TCP, until it ends.

        If there are MAX_STREAMS already, closes the one that has been silent for longest.
        """
        if len(self.streams) >= MAX_STREAMS:
            oldest = min(self.streams, key=lambda number: self.streams[number][1])
            self.streams.pop(oldest)[0].close()
            self.counters["device_streams_shed"] += 1
        self.last_stream_number += 1
        number = self.last_stream_number
        reader = sip.Reader()
        transport = self.sip_transports[SIP_TCP]
        self.streams[number] = link, self.loop.now
        while data := (yield from link.receive()):
            self.streams[number] = link, self.loop.now
            try:
                for count, message in enumerate(reader.feed(data), 1):
                    if count % MAX_MESSAGES_PER_TURN == 0:
                        yield from self.loop.yield_turn()
                    transport.receive_message(("tcp", number), message, len(data))
            except ProtocolError:
                self.counters["device_malformed"] += 1
                break
        self.streams.pop(number, None)
        link.close()

    def _send_on_stream(self, address: Address, data: bytes) -> None:
        stream = self.streams.get(address[1])
        if stream is not None:
            stream[0].send(data)

    def _send_datagram(self, transport: str, address: Address, data: bytes) -> None:
        socket = self.sockets.get(transport)
        if socket is not None:
            socket.send(address, data)

    # ---- time ----

    def _sweep(self) -> None:
        """Ends sessions and connections that were silent for too long, every SWEEP_INTERVAL_MS."""
        now = self.loop.now
        self.request_manager.index.rotate(now)
        self.counters["device_sessions_ended"] += self.sessions.sweep(now)
        for number, (link, last_received_at) in list(self.streams.items()):
            if now > last_received_at + STREAM_SILENCE_TIMEOUT_MS:
                self.streams.pop(number)
                link.close()
        self.loop.call_at(now + SWEEP_INTERVAL_MS, self._sweep)

    def _on_drain_change(self, active: bool) -> None:
        """Redirects devices while a drain lasts; their requests are refused once it refuses set-ups."""
        if not active:
            self.request_manager.redirection = None
            return
        self.request_manager.start_redirection(
            self.config.reconnect_after_ms,
            self.config.reconnect_to,
            self._send_redirect,
            self.sessions.by_device.values(),
        )
        self.loop.call_at(self.loop.now + self.drain.refuse_after_ms, self._refuse_requests)

    def _refuse_requests(self) -> None:
        if self.drain.active:
            self.request_manager.redirection = (0.0, self.config.reconnect_to)

    def _send_redirect(self, session: Session) -> None:
        if self.counter_transport is not None and session.cid:
            self.counter_transport.send_redirection(
                session, self.config.reconnect_after_ms, self.config.reconnect_to
            )

    # ---- operators, and handover between processes ----

    def statistics(self) -> dict[str, Any]:
        """Returns table sizes and the device counters, as a JSON object for the admin interface."""
        paths = [path for session in self.sessions.by_device.values() for path in session.paths]
        return {
            "sessions": len(self.sessions),
            "sessions_most": self.sessions.max_sessions,
            "busy": len(self.sessions) - len(self.sessions.idle),
            "paths": len(paths),
            "paths_doubted": sum(path.is_suspect(self.loop.now) for path in paths),
            "requests_open": len(self.request_manager.index.active),
            "requests_known": len(self.request_manager.index),
            "outbox": sum(len(session.outbox) for session in self.sessions.by_device.values()),
            "streams": len(self.streams),
            "unsent": sum(socket.failed_sends for socket in self.sockets.values()),
            "counts": {
                name[7:]: count for name, count in sorted(self.counters.items()) if name.startswith("device_")
            },
        }

    def describe_device(self, name: str) -> dict[str, Any] | None:
        """Returns the state of one device as a JSON object for operators; None if it has no session."""
        session = self.sessions.by_device.get(name)
        now = self.loop.now
        if session is None:
            return None
        return {
            "device": name,
            "key_id": session.key_id,
            "silent_ms": round(now - session.last_received_at),
            "requests_open": session.open_requests,
            "outbox": len(session.outbox),
            "paths": [
                {
                    "wire": path.transport,
                    "address": f"{path.address[0]}:{path.address[1]}",
                    "proved": path.validated,
                    "silent_ms": round(now - path.last_received_at),
                    "doubted": path.is_suspect(now),
                    "time_out_ms": round(path.rtt.timeout_ms()),
                    "bytes_in": path.bytes_received,
                    "bytes_out": path.bytes_sent,
                }
                for path in session.paths
            ],
        }

    def hand_over(self) -> list[StateRecord]:
        """Returns all state for the process that replaces this one, and cancels all timers here."""
        exported_state = list(export_state(self.request_manager, self.address_validator))
        for session in self.sessions.by_device.values():
            for outbox_message in session.outbox.values():
                if outbox_message.timer is not None:
                    outbox_message.timer.cancel()
        for request in self.request_manager.index.active.values():
            if request.timer is not None:
                request.timer.cancel()
        return exported_state

    def create_state_importer(self) -> StateImporter:
        """Returns an importer for the state that another process handed over."""
        return StateImporter(self.request_manager, self.address_validator, self.config.keys)

    def reset_sessions(self) -> None:
        """Ends all sessions, so that devices attach again.

        Used when the process that had taken over has ended, and the state of its devices with it.
        """
        for session in list(self.sessions.by_device.values()):
            session.open_requests = 0
            session.outbox.clear()
            self.sessions.end(session)
        self.request_manager.index.active.clear()
        self.request_manager.epoch = os.urandom(8)
        self.open()

"""Handover of a running process to a new one, which takes over its sockets, calls and learned state.

The old process (`HandoverSource`) listens on a Unix socket.  The new one (`HandoverTarget`) sends a hello
there, follows the discovery bus up to the old process's last event, and then takes over in one step:
listening sockets, callers' connections, standing calls and what the decision module has learned.  Open
set-ups and calls at M3UA exchanges stay with the old process.  Their messages to and from callers pass
through the new process, and the old one ends when it has no calls left.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ospreyvale.exchanges.isup import IsupExchanges
from ospreyvale.exchanges.m3ua import M3uaExchanges
from ospreyvale.fronts.caller_connection import HandedOverConnection
from ospreyvale.fronts.drain import Drain
from ospreyvale.fronts.sip import SipFront
from ospreyvale.operations.handover_frames import (
    decode_ended_calls,
    decode_learned,
    encode_call,
    encode_ended_calls,
    encode_learned,
)
from ospreyvale.protocol import handover
from ospreyvale.protocol.errors import ProtocolError
from ospreyvale.protocol.handover import bytes_to_text, encode, text_to_bytes
from ospreyvale.routing import interface
from ospreyvale.routing.call_table import EndedCall
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.routing.state import CallerPort, Offer
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Address, ListeningSocket
from ospreyvale.transport.unix_socket import Channel

if TYPE_CHECKING:
    from ospreyvale.fronts.devices import DeviceFront

# The discovery bus and the exchange connections must be ready within this time; after it the takeover starts
# anyway.
PREPARE_TIMEOUT_MS = 1_500.0
ANSWER_TIMEOUT_MS = 1_000.0  # the new process starts on its own if the old one does not answer in this time
CHECK_INTERVAL_MS = 10.0  # between checks whether the takeover can be requested or the old process can end


class ConnectionAdopter(Protocol):
    """Serves connections that come from another process as descriptors; see `Network`."""

    def adopt_connection(self, fd: int, serve: Callable[[Link], Coroutine]) -> None:
        """Starts `serve` on a connection from another process."""
        ...


@dataclass(slots=True)
class ProcessParts:
    """The parts of one process that a handover uses."""

    loop: Loop
    core: Core
    sip: SipFront
    exchanges: IsupExchanges
    m3ua_exchanges: M3uaExchanges | None
    network: ConnectionAdopter
    discovery_offset: Callable[[], int]  # of the last event from the discovery bus
    listeners: dict[Address, ListeningSocket]  # for callers
    listen: Callable[[Address, int | None], None]  # for callers; on a listening socket if one is given
    drain: Drain
    log: Log
    devices: DeviceFront | None = None

    def caller_port(self, call: int) -> CallerPort:
        """Returns the front that serves the call's caller."""
        from_device = self.devices is not None and call in self.devices.request_manager.index.active
        return self.devices.request_manager if from_device and self.devices is not None else self.sip


class HandoverSource:
    """The side of the old process, which serves one new process at a time.

    `on_finished` is called when the handover is complete and no calls are left here.
    """

    def __init__(self, parts: ProcessParts, on_finished: Callable[[], None]) -> None:
        self.parts = parts
        self.on_finished = on_finished
        self.target_channel: Channel | None = None
        self.handed_over = False

    def serve(self, channel: Channel) -> Coroutine:
        """Serves a new process until its connection closes; refuses it if another one is being served."""
        if self.target_channel is not None:
            channel.close()
            return
        self.target_channel = channel
        reader = handover.Reader()
        while True:
            chunk, fds = yield from channel.receive()
            for fd in fds:  # the new process has no reason to send descriptors
                os.close(fd)
            if not chunk:
                break
            try:
                for frame in reader.feed(chunk):
                    self._on_frame(channel, frame)
            except (ProtocolError, KeyError, TypeError) as error:
                self.parts.log("handover_failed", why=str(error))
                break
        channel.close()
        self._on_channel_closed()

    def _on_frame(self, channel: Channel, frame: dict[str, Any]) -> None:
        match frame["kind"]:
            case "hello":
                channel.send(encode("state", offset=self.parts.discovery_offset()))
            case "take":
                self._hand_over(channel)
            case "gave_up":
                self.parts.core.give_up(frame["call"])
            case "hung_up":
                self.parts.core.hang_up(frame["call"])
            case "over":
                self.parts.core.on_reported_end(frame["call"], interface.Outcome(frame["outcome"]))

    def _hand_over(self, channel: Channel) -> None:
        """Sends all state within one turn of the loop, so that no event is handled in between."""
        parts = self.parts
        call_table = self.parts.core.context.call_table
        forwarding_port = ForwardingPort(self, channel)
        self.handed_over = True
        for (host, port), listener in parts.listeners.items():
            listener.pause()
            channel.send(encode("listener", host=host, port=port), os.dup(listener.fileno()))
        parts.sip.share_descriptors(2)  # closes connections that the new process could not hold
        learned = parts.core.control.export_learned()
        channel.send(
            encode(
                "learned",
                over=[ended.call for ended in call_table.ended_calls()],
                ended=encode_ended_calls(call_table.ended_calls()),
                releases=list(parts.sip.releases.pending.items()),
                unheard=parts.exchanges.pending_releases(),
                **encode_learned(learned),
            )
        )
        if parts.m3ua_exchanges is not None:
            channel.send(encode("circuits", in_use=parts.m3ua_exchanges.circuits_in_use()))
        ports: list[CallerPort] = [parts.sip]
        if parts.devices is not None:
            ports.append(parts.devices.request_manager)
            for transport, socket in parts.devices.sockets.items():
                channel.send(encode("datagrams", wire=transport), os.dup(socket.fileno()))
            parts.devices.close()
            for record in parts.devices.hand_over():
                channel.send(encode("device", plain=record))
        retained_calls = []
        for state in list(call_table.calls.values()):
            if state.caller not in ports:
                continue
            if state.standing and parts.exchanges.owns_call(state):
                channel.send(encode("call", **encode_call(state)))
                call_table.remove_handed_over(state)
            else:
                state.caller = forwarding_port
                retained_calls.append((state.call, state.standing))
        channel.send(encode("held", calls=retained_calls))
        connection_count = 0
        for fd, connection in parts.sip.hand_over():
            connection_count += 1
            channel.send(encode("connection", **asdict(connection)), fd)
        channel.send(encode("done"))
        parts.core.orphan_port = forwarding_port
        parts.drain.begin()  # for callers on M3UA associations, which stay with this process
        parts.log("handed_over", connections=connection_count, open=len(retained_calls))
        self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        """Ends the handover when no calls are left and all frames are written.

        Checks again later otherwise.
        """
        if not self.handed_over:
            return
        if self.parts.core.context.call_table.calls or self.target_channel is None:
            self.parts.loop.call_at(self.parts.loop.now + CHECK_INTERVAL_MS, self._finish_when_idle)
        else:
            # Those on their way may be lost with the connections of this process.
            self.target_channel.send(encode("unheard", releases=self.parts.exchanges.pending_releases()))
            self._finish_when_flushed()

    def _finish_when_flushed(self) -> None:
        """Ends the handover once the last frame is written; does nothing if the new process has ended."""
        if not self.handed_over or self.target_channel is None:
            return
        if self.target_channel.flushed:
            # Cleared first, so that the closed channel does not make this process serve callers again.
            self.handed_over = False
            self.target_channel.close()
            self.on_finished()
        else:
            self.parts.loop.call_at(self.parts.loop.now + CHECK_INTERVAL_MS, self._finish_when_flushed)

    def _on_channel_closed(self) -> None:
        """Handles the end of the new process.

        If that had taken over already, this process serves callers again.
        """
        self.target_channel = None
        if self.handed_over:
            self.handed_over = False
            self.parts.core.control.handed_over = False
            self.parts.drain.end()
            self.parts.sip.share_descriptors(1)
            self.parts.core.orphan_port = self.parts.sip
            if self.parts.devices is not None:
                self.parts.devices.reset_sessions()
            for state in list(self.parts.core.context.call_table.calls.values()):
                if isinstance(state.caller, ForwardingPort):
                    # The connection to its caller was lost with the new process.
                    state.caller = self.parts.sip
                    if not self.parts.core.hang_up(state.call):
                        self.parts.core.give_up(state.call)
            for listener in self.parts.listeners.values():
                listener.resume()
            self.parts.log("took_back")


class ForwardingPort:
    """The `CallerPort` of the old process, which sends everything for callers to the new one."""

    def __init__(self, source: HandoverSource, channel: Channel) -> None:
        self.source = source
        self.channel = channel

    def answer(self, call: int, description: bytes) -> None:
        """Reports that the call stands.  It moves to the new process, unless it is at an M3UA exchange."""
        parts = self.source.parts
        state = parts.core.context.call_table.calls[call]
        moves = parts.exchanges.owns_call(state)
        self.channel.send(
            encode("answer", description=bytes_to_text(description), moves=moves, **encode_call(state))
        )
        if moves:
            parts.core.context.call_table.remove_handed_over(state)

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Reports that the call is refused."""
        self.channel.send(encode("refuse", call=call, back_off_ms=back_off_ms))

    def fail(self, call: int) -> None:
        """Reports that the call has failed."""
        self.channel.send(encode("fail", call=call))

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Reports that a standing call has ended on the exchange's side."""
        self.channel.send(encode("over", call=call, outcome=outcome.value))


class HandoverTarget:
    """The side of the new process, until it has taken over and the old one has ended.

    Implements `OtherProcess` for the core.  `on_ready` is called when this process can serve callers.
    """

    def __init__(self, parts: ProcessParts, channel: Channel, on_ready: Callable[[], None]) -> None:
        self.parts = parts
        self.channel = channel
        self.on_ready = on_ready
        self.source_calls: dict[int, bool] = {}  # calls of the old process, and whether each one stands
        self.takeover_requested = self.completed = False
        self.received_fds: list[int] = []  # descriptors whose frame is not yet processed
        self.datagram_fds: dict[str, int] = {}  # the devices' UDP sockets, by transport
        parts.core.other_process = self
        parts.core.orphan_port = PreTakeoverPort(channel)
        parts.sip.share_descriptors(2)

    def run(self) -> Coroutine:
        """Performs the handover, then processes the frames of the old process until it ends."""
        reader = handover.Reader()
        loop = self.parts.loop
        self.channel.send(encode("hello"))
        timeout = loop.call_at(loop.now + ANSWER_TIMEOUT_MS, self.channel.close)
        while True:
            chunk, fds = yield from self.channel.receive()
            if not chunk:
                break
            timeout.cancel()
            self.received_fds.extend(fds)
            try:
                for frame in reader.feed(chunk):
                    self._on_frame(frame)
            except (ProtocolError, KeyError, TypeError, ValueError) as error:
                self.parts.log("handover_failed", why=f"{type(error).__name__}: {error}")
                break
        self.channel.close()
        self._on_channel_closed()

    # ---- OtherProcess ----

    def holds(self, call: int) -> bool:
        """Returns whether the old process holds the call."""
        return call in self.source_calls

    def give_up(self, call: int) -> None:
        """Reports to the old process that the caller of one of its calls has given up."""
        if self._remove_source_call(call, has_run=False):
            self.channel.send(encode("gave_up", call=call))

    def hang_up(self, call: int) -> bool:
        """Reports to the old process that the caller has hung up.

        Returns False if the call does not stand there.
        """
        stands = self.source_calls.get(call, False)
        if stands:
            self._remove_source_call(call, has_run=True)
            self.channel.send(encode("hung_up", call=call))
        return stands

    def report_end(self, call: int, outcome: interface.Outcome) -> None:
        """Reports to the old process that a standing call has ended on the exchange's side."""
        self.channel.send(encode("over", call=call, outcome=outcome.value))

    def _remove_source_call(self, call: int, has_run: bool) -> bool:
        """Removes a call of the old process that has ended; returns False if there is none.

        If it is offered again, it must wait until the old process has released its last attempt.
        """
        if self.source_calls.pop(call, None) is None:
            return False
        call_table = self.parts.core.context.call_table
        call_table.add_ended(EndedCall(call, self.parts.loop.now + call_table.release_ms, has_run))
        return True

    def _import_ended_calls(self, frame: dict[str, Any]) -> None:
        """Remembers the calls that have ended in the old process."""
        for ended in decode_ended_calls(frame):
            self.parts.core.context.call_table.add_ended(ended)

    # ---- frames from the old process ----

    def _on_frame(self, frame: dict[str, Any]) -> None:
        parts = self.parts
        core = self.parts.core
        match frame["kind"]:
            case "state":
                self._request_takeover_when_ready(frame["offset"], parts.loop.now + PREPARE_TIMEOUT_MS)
            case "listener":
                parts.listen((frame["host"], frame["port"]), self.received_fds.pop(0))
            case "datagrams":
                self.datagram_fds[frame["wire"]] = self.received_fds.pop(0)
            case "device" if parts.devices is not None:
                parts.devices.create_state_importer().import_record(frame["plain"])
            case "learned":
                core.control.import_learned(decode_learned(frame))
                self._import_ended_calls(frame)
                parts.sip.releases.pending.update(dict(frame["releases"]))
                parts.exchanges.import_pending_releases(frame["unheard"])
            case "unheard":
                parts.exchanges.import_pending_releases(frame["releases"])
            case "circuits" if parts.m3ua_exchanges is not None:
                parts.m3ua_exchanges.reserve_circuits(frame["in_use"])
            case "call":
                self._adopt_call(frame)
            case "held":
                self.source_calls = dict(frame["calls"])
            case "connection":
                connection = HandedOverConnection(
                    **{name: value for name, value in frame.items() if name != "kind"}
                )
                parts.network.adopt_connection(
                    self.received_fds.pop(0), lambda link: parts.sip.serve_handed_over(link, connection)
                )
            case "done":
                self._complete()
            case "answer":
                self._on_answer(frame)
            case "refuse" if self._remove_source_call(frame["call"], has_run=False):
                parts.caller_port(frame["call"]).refuse(frame["call"], frame["back_off_ms"])
            case "fail" if self._remove_source_call(frame["call"], has_run=False):
                parts.caller_port(frame["call"]).fail(frame["call"])
            case "over" if self._remove_source_call(frame["call"], has_run=True):
                parts.caller_port(frame["call"]).release(frame["call"], interface.Outcome(frame["outcome"]))
            case "over":
                core.on_reported_end(frame["call"], interface.Outcome(frame["outcome"]))

    def _request_takeover_when_ready(self, offset: int, deadline_at: float) -> None:
        """Requests the takeover once discovery has reached `offset` and the exchanges are connected.

        Requests it anyway when time is up.
        """
        parts = self.parts
        if self.channel.closed:
            return
        if parts.loop.now < deadline_at and not (
            parts.discovery_offset() >= offset and parts.exchanges.all_connected
        ):
            parts.loop.call_at(
                parts.loop.now + CHECK_INTERVAL_MS,
                lambda: self._request_takeover_when_ready(offset, deadline_at),
            )
            return
        self.takeover_requested = True
        self.channel.send(encode("take"))

    def _adopt_call(self, frame: dict[str, Any]) -> None:
        """Adds a standing call of the old process to this one's calls."""
        offer = Offer(**frame["offer"], description=b"")
        self.parts.core.adopt(
            offer,
            self.parts.caller_port(offer.call),
            text_to_bytes(frame["exchange"]),
            frame["number"],
            frame["sent_at"],
        )

    def _on_answer(self, frame: dict[str, Any]) -> None:
        """Passes an answer of the old process to the caller; adopts the call if it moves here."""
        call = frame["offer"]["call"]
        caller_waits = self.source_calls.pop(call, None) is not None
        if not caller_waits:  # the caller gave up while the answer was on its way
            self._release_unwanted(call, frame)
            return
        if frame["moves"]:
            self._adopt_call(frame)
        else:
            self.source_calls[call] = True
        self.parts.caller_port(call).answer(call, text_to_bytes(frame["description"]))

    def _release_unwanted(self, call: int, frame: dict[str, Any]) -> None:
        """Releases at its exchange a call that the old process has answered too late for its caller."""
        if frame["moves"]:
            self.parts.exchanges.release(call, text_to_bytes(frame["exchange"]))
        else:
            self.channel.send(encode("hung_up", call=call))

    def _complete(self) -> None:
        """Ends the takeover: this process serves callers and devices from now on."""
        self.completed = True
        self.parts.core.orphan_port = self.parts.sip
        if self.parts.devices is not None:
            self.parts.devices.open(self.datagram_fds)
            self.parts.devices.create_state_importer().finish()
            for transport in self.parts.devices.sockets:
                self.datagram_fds.pop(transport, None)
        self.parts.log(
            "took_over", calls=len(self.parts.core.context.call_table.calls), held=len(self.source_calls)
        )
        self.on_ready()

    def _on_channel_closed(self) -> None:
        """Handles the end of the old process.

        The calls that it still held are lost, and their callers are notified.
        """
        parts = self.parts
        parts.core.other_process = None
        parts.core.orphan_port = parts.sip
        parts.sip.share_descriptors(1)
        for fd in [*self.received_fds, *self.datagram_fds.values()]:
            os.close(fd)
        parts.exchanges.renew_connections()
        if parts.m3ua_exchanges is not None:
            parts.m3ua_exchanges.release_reserved_circuits()
        lost_calls = self.source_calls
        self.source_calls = {}
        for call, stands in lost_calls.items():
            parts.core.context.call_table.add_ended(
                EndedCall(call, parts.loop.now + parts.core.context.call_table.release_ms, stands)
            )
            if stands:
                parts.caller_port(call).release(call, interface.Outcome.RESET)
            else:
                parts.caller_port(call).fail(call)
        parts.log("replaced", lost=len(lost_calls), whole=self.completed)
        if not self.completed:
            self.on_ready()


class PreTakeoverPort:
    """The new process's `CallerPort` for unknown calls before the takeover.

    Only the ends of standing calls can reach it; they are reported to the old process, which may have the
    calls.
    """

    def __init__(self, channel: Channel) -> None:
        self.channel = channel

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Reports that a standing call has ended on the exchange's side."""
        self.channel.send(encode("over", call=call, outcome=outcome.value))

    def answer(self, call: int, description: bytes) -> None:
        """Does nothing: no call is accepted before the takeover."""

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Does nothing; see `answer`."""

    def fail(self, call: int) -> None:
        """Does nothing; see `answer`."""

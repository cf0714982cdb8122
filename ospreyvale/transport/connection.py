"""Non-blocking TCP connections with bounded write queues."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Generator
from typing import Protocol

from ospreyvale.transport.loop import PEER_ENDED, READ, WRITE, Coroutine, Loop, Signal

RECEIVE_BYTES = 16_384  # at most, from one connection in one turn
MAX_QUEUED_BYTES = 262_144  # unsent bytes for a slow reader before its connection is reset
# Unsent bytes of all connections; beyond it, one is reset that has more than MAX_QUEUED_BYTES_IF_FULL.
MAX_TOTAL_QUEUED_BYTES = 16_777_216
MAX_QUEUED_BYTES_IF_FULL = 32_768
CLOSE_TIMEOUT_MS = 2_000.0  # for the peer to read what is queued when its connection is closed


class Link(Protocol):
    """The interface of a connection; `Connection` implements it on a socket and describes the methods."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or detached."""
        ...

    @property
    def write_blocked(self) -> bool:
        """Whether bytes are queued because the peer does not read them."""
        ...

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error, or because the peer read too slowly."""
        ...

    @property
    def peer_ending(self) -> bool:
        """Whether the peer has ended its side; what it sent before may still be unread."""
        ...

    @property
    def peer_gone(self) -> bool:
        """Whether the peer has reset the connection; what it sent before may still be unread."""
        ...

    def receive(self) -> Generator[Signal, None, bytes]:
        """Waits for bytes and returns them; returns b"" at the end of the stream."""
        ...

    def wait_closed(self) -> Coroutine:
        """Waits until the connection is closed or detached, after `receive` has returned b""."""
        ...

    def send(self, data: bytes) -> bool:
        """Writes or queues the bytes; returns False if that is not possible."""
        ...

    def write_eof(self) -> None:
        """Ends the sending side after the queued bytes; bytes from the peer are still received."""
        ...

    def close(self) -> None:
        """Closes the connection after the queued bytes; drops what the peer still sends."""
        ...

    def detach(self) -> tuple[int, bytes] | None:
        """Gives up the socket for another process; see `Connection.detach`."""
        ...


class WriteQueueTotal:
    """How many unsent bytes the connections of one network hold together."""

    def __init__(self) -> None:
        self.queued_bytes = 0

    @property
    def connection_limit(self) -> int:
        """The most that one connection may hold now, in bytes."""
        is_full = self.queued_bytes > MAX_TOTAL_QUEUED_BYTES
        return MAX_QUEUED_BYTES_IF_FULL if is_full else MAX_QUEUED_BYTES


class Connection:
    """A TCP connection with a bounded write queue.

    `on_closed` is called once when the socket is closed, but not when it is detached.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        high_priority: bool = False,
        on_closed: Callable[[], None] = lambda: None,
        write_queue_total: WriteQueueTotal | None = None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.high_priority = high_priority
        self.on_closed = on_closed
        self._write_queue_total = write_queue_total if write_queue_total is not None else WriteQueueTotal()
        self.closed = self.was_reset = self.peer_ending = False
        self._peer_gone = self._peer_ended = self._write_ended = self._closing = False
        self._write_queue = bytearray()
        self._readable = Signal()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock.fileno(), READ | PEER_ENDED, self._on_event, high_priority)

    @property
    def write_blocked(self) -> bool:
        """Whether bytes are queued because the peer does not read them."""
        return bool(self._write_queue)

    @property
    def peer_gone(self) -> bool:
        """Whether the peer has reset the connection; what it sent before may still be unread.

        Asks the system, as the event of the reset comes in the next turn only.
        """
        if not self._peer_gone and not self.closed:
            self._peer_gone = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        return self._peer_gone

    def wait_closed(self) -> Coroutine:
        """Waits until the connection is closed or detached, after `receive` has returned b""."""
        while not self.closed:
            yield self._readable

    def receive(self) -> Generator[Signal, None, bytes]:
        """Waits for bytes and returns them.

        Returns b"" when the peer has ended its side or the connection closes.  Reads once per turn.  A
        connection that always has more to read would otherwise keep the loop from all other connections and
        from its timers for seconds.
        """
        while not self.closed and not self._peer_ended:
            yield self._readable
            if self.closed:
                break
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                self._reset()
                break
            if data:
                return data
            if self._peer_gone:  # asking for the error has cleared it
                self._reset()
                break
            self._peer_ended = True
            self._watch()  # half-closed: answers can still be sent
        return b""

    def send(self, data: bytes) -> bool:
        """Writes or queues the bytes.

        Returns False if the connection or its sending side is closed, or the peer reads too slowly.
        """
        if self.closed or self._closing or self._write_ended:
            return False
        self._write_queue += data
        self._write_queue_total.queued_bytes += len(data)
        if len(self._write_queue) == len(data):
            self._flush()
        if len(self._write_queue) > self._write_queue_total.connection_limit:
            self._reset()
        return not self.closed

    def write_eof(self) -> None:
        """Ends the sending side once the queued bytes are written; bytes from the peer are still received.

        The peer reads the end of the stream and ends its own side; `receive` then returns b"", and nothing
        that the peer has sent before is lost, as it would be by `close`.
        """
        if not (self.closed or self._closing or self._write_ended):
            self._write_ended = True
            if not self._write_queue:
                self._shut_down_writing()

    def close(self) -> None:
        """Closes the connection once the queued bytes are written, or after CLOSE_TIMEOUT_MS.

        What the peer sends until it notices is dropped.
        """
        if not self._write_queue:
            self._close_socket()
        elif not self._closing:
            self.loop.call_at(self.loop.now + CLOSE_TIMEOUT_MS, self._close_socket)
        self._closing = True

    def detach(self) -> tuple[int, bytes] | None:
        """Gives up the socket for another process.

        Returns its descriptor and the queued bytes, or None if the connection is closed or closing.
        """
        if self.closed or self._closing:
            return None
        self.closed = True
        self.loop.unwatch(self.sock.fileno())
        self.loop.fire(self._readable)
        unsent = bytes(self._write_queue)
        self._remove_queued(len(unsent))
        return self.sock.detach(), unsent

    def _flush(self) -> None:
        try:
            while self._write_queue:
                self._remove_queued(self.sock.send(self._write_queue))
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:  # EPIPE or ECONNRESET: the peer has closed
            self._reset()
            return
        if self._closing and not self._write_queue:
            self._close_socket()
            return
        if self._write_ended and not self._write_queue:
            self._shut_down_writing()
        self._watch()

    def _remove_queued(self, size: int) -> None:
        del self._write_queue[:size]
        self._write_queue_total.queued_bytes -= size

    def _shut_down_writing(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # ENOTCONN: the peer has reset the connection
            self._reset()

    def _watch(self) -> None:
        if not self.closed:
            mask = (0 if self._peer_ended else READ) | (WRITE if self._write_queue else 0)
            mask |= 0 if self.peer_ending else PEER_ENDED  # reported in each turn otherwise
            self.loop.watch(self.sock.fileno(), mask, self._on_event, self.high_priority)

    def _on_event(self, mask: int) -> None:
        if mask & PEER_ENDED and not self.peer_ending:
            self.peer_ending = True
            self._watch()
        if mask & WRITE:
            self._flush()
        if mask & (select.EPOLLERR | select.EPOLLHUP) and self._peer_ended:
            self._reset()
        elif mask & ~WRITE:
            self.loop.fire(self._readable)

    def _reset(self) -> None:
        self.was_reset = True
        self._close_socket()

    def _close_socket(self) -> None:
        if not self.closed:
            self.closed = True
            self._remove_queued(len(self._write_queue))
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.on_closed()
            self.loop.fire(self._readable)

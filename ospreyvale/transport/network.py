"""Non-blocking sockets: listeners, outgoing connections, and UDP sockets."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable, Generator
from typing import Protocol

from ospreyvale.transport.connection import Connection, Link, WriteQueueTotal
from ospreyvale.transport.loop import READ, WRITE, Coroutine, Loop, Signal

Address = tuple[str, int]
MAX_ACCEPTS_PER_TURN = 64  # so that a burst of new connections does not delay the calls in progress
ACCEPT_RETRY_MS = 20.0  # before accepting again after the process ran out of descriptors
DIAL_RETRY_MS = 500.0  # before dialling again without a descriptor; longer, as hundreds may wait at once
LISTEN_BACKLOG = 1024  # connections
MAX_DATAGRAMS_PER_TURN = 64  # from one socket
MAX_DATAGRAM_BYTES = 4_096
# The process or the system has no descriptor or buffer left; other errors concern the one connection.
_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ListeningSocket(Protocol):
    """The interface of a listener; `Listener` implements it on a socket and describes the methods."""

    def pause(self) -> None:
        """Stops accepting connections."""
        ...

    def resume(self) -> None:
        """Accepts connections again."""
        ...

    def fileno(self) -> int:
        """Returns the descriptor, or -1 if the listener is closed."""
        ...

    def close(self) -> None:
        """Closes the listener after accepting its backlog."""
        ...


class Listener:
    """Accepts connections and starts `serve` on each.

    A high-priority listener and its connections are handled first in each turn, so that many connections at
    another listener do not delay them.  `free_descriptor` is called when the process has run out of
    descriptors; it closes a connection that can be spared, or returns False if there is none.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        serve: Callable[[Link], Coroutine],
        free_descriptor: Callable[[], bool],
        high_priority: bool,
        write_queue_total: WriteQueueTotal,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.write_queue_total = write_queue_total
        self.serve = serve
        self.free_descriptor = free_descriptor
        self.high_priority = high_priority
        self.paused = False
        sock.setblocking(False)
        self._watch()

    def fileno(self) -> int:
        """Returns the descriptor, or -1 if the listener is closed."""
        return self.sock.fileno()

    def pause(self) -> None:
        """Stops accepting; new connections wait in the listen backlog."""
        self.paused = True
        self.loop.unwatch(self.sock.fileno())

    def resume(self) -> None:
        """Accepts connections again."""
        self.paused = False
        self._watch()

    def close(self) -> None:
        """Accepts what the backlog holds, which would be reset otherwise, and closes the socket."""
        if self.sock.fileno() >= 0:
            if not self.paused:
                self._accept(0)
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def _watch(self) -> None:
        if self.sock.fileno() >= 0 and not self.paused:
            self.loop.watch(self.sock.fileno(), READ, self._accept, self.high_priority)

    def _accept(self, _: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted = self.sock.accept()[0]
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in _RESOURCE_ERRNOS:
                    raise
                if not self.free_descriptor():  # leaves the rest in the backlog
                    self.loop.unwatch(self.sock.fileno())
                    self.loop.call_at(self.loop.now + ACCEPT_RETRY_MS, self._watch)
                    return
                continue
            connection = Connection(
                self.loop, accepted, self.high_priority, write_queue_total=self.write_queue_total
            )
            self.loop.start(_serve_guarded(self.serve, connection))


def _serve_guarded(serve: Callable[[Link], Coroutine], link: Link) -> Coroutine:
    """Closes the connection when `serve` raises; it would stay open forever with nobody to read it."""
    try:
        yield from serve(link)
    except Exception:
        link.close()
        raise


class DatagramSocket:
    """A UDP socket, which passes each datagram with its source address to `on_datagram`.

    Reads at most MAX_DATAGRAMS_PER_TURN in one turn and truncates each to MAX_DATAGRAM_BYTES.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_datagram: Callable[[Address, bytes], None],
        fd: int | None = None,
    ) -> None:
        self.loop = loop
        self.on_datagram = on_datagram
        self.failed_sends = 0
        self.sock = (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) if fd is None else socket.socket(fileno=fd)
        )
        self.sock.setblocking(False)
        if fd is None:
            self.sock.bind(address)
        self.address: Address = self.sock.getsockname()
        loop.watch(self.sock.fileno(), READ, self._on_readable)

    def send(self, address: Address, data: bytes) -> None:
        """Sends the datagram, or counts and drops it: the protocols on UDP retransmit."""
        try:
            self.sock.sendto(data, address)
        except OSError:  # the send buffer is full, or an ICMP error came for an earlier datagram
            self.failed_sends += 1

    def fileno(self) -> int:
        """Returns the descriptor, or -1 if the socket is closed."""
        return self.sock.fileno()

    def close(self) -> None:
        """Closes the socket; does nothing if it is closed already."""
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def _on_readable(self, _: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, address = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an ICMP error came for an earlier datagram
                continue
            self.on_datagram(address, data)


class Network:
    """Opens sockets and connections on one loop."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.write_queue_total = WriteQueueTotal()
        self.outgoing_connections = 0  # open, or being set up
        self.max_outgoing_connections = math.inf  # limit for connections without high priority
        # Closes an outgoing connection that can be spared; returns False if there is none.
        self.free_outgoing: Callable[[], bool] = lambda: False

    def listen(
        self,
        address: Address,
        serve: Callable[[Link], Coroutine],
        free_descriptor: Callable[[], bool],
        high_priority: bool = False,
        fd: int | None = None,
    ) -> ListeningSocket:
        """Opens a listener at the address, or on `fd`, a listening socket from another process.

        Starts `serve` on each connection; `Listener` describes `free_descriptor` and `high_priority`.
        Raises OSError if the address is not available.
        """
        sock = (
            socket.create_server(address, backlog=LISTEN_BACKLOG, reuse_port=True)
            if fd is None
            else socket.socket(fileno=fd)
        )
        return Listener(self.loop, sock, serve, free_descriptor, high_priority, self.write_queue_total)

    def open_datagram_socket(
        self, address: Address, on_datagram: Callable[[Address, bytes], None], fd: int | None = None
    ) -> DatagramSocket:
        """Opens a UDP socket at the address, or on `fd`, a socket from another process.

        Raises OSError if the address is not available.
        """
        return DatagramSocket(self.loop, address, on_datagram, fd)

    def adopt_connection(self, fd: int, serve: Callable[[Link], Coroutine]) -> None:
        """Starts `serve` on a connection from another process."""
        connection = Connection(self.loop, socket.socket(fileno=fd), write_queue_total=self.write_queue_total)
        self.loop.start(_serve_guarded(serve, connection))

    def dial(
        self, address: Address, timeout_ms: float, high_priority: bool = False
    ) -> Generator[Signal, None, Link | None]:
        """Connects to the address; returns None if it refuses or does not answer in time.

        If the process is out of descriptors, waits for one instead of returning None: otherwise the remote
        end would be considered dead.  Waits in the same way while max_outgoing_connections are open, unless
        `high_priority` is set.  This leaves descriptors for callers, whose calls would be lost in the
        listener's backlog.  `free_outgoing` may end the wait.
        """
        while True:
            try:
                if high_priority or self.outgoing_connections < self.max_outgoing_connections:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    break
            except OSError as error:
                if error.errno not in _RESOURCE_ERRNOS:
                    return None
            if not self.free_outgoing():
                yield from self.loop.sleep(DIAL_RETRY_MS)
        self.outgoing_connections += 1
        sock.setblocking(False)
        connect_errno = sock.connect_ex(address)
        if connect_errno == errno.EINPROGRESS:
            ready = Signal()
            timeout = self.loop.call_at(self.loop.now + timeout_ms, lambda: self.loop.fire(ready))
            self.loop.watch(sock.fileno(), WRITE, lambda _: self.loop.fire(ready), high_priority)
            yield ready
            self.loop.unwatch(sock.fileno())
            connect_errno = errno.ETIMEDOUT if self.loop.now >= timeout.due_at else 0
            connect_errno = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or connect_errno
            timeout.cancel()
        if connect_errno:
            sock.close()
            self._on_outgoing_closed()
            return None
        return Connection(self.loop, sock, high_priority, self._on_outgoing_closed, self.write_queue_total)

    def _on_outgoing_closed(self) -> None:
        self.outgoing_connections -= 1


class Dialer(Protocol):
    """The part of `Network` that opens outgoing connections; `Network.dial` describes the method."""

    loop: Loop

    def dial(
        self, address: Address, timeout_ms: float, high_priority: bool = False
    ) -> Generator[Signal, None, Link | None]:
        """Connects to the address; returns None if it refuses or does not answer in time."""
        ...

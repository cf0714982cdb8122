"""Unix sockets between two processes of one user, which carry bytes and file descriptors (SCM_RIGHTS)."""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
from collections import deque
from collections.abc import Callable, Generator
from pathlib import Path

from ospreyvale.transport.loop import READ, WRITE, Coroutine, Loop, Signal

RECEIVE_BYTES = 65_536  # at most, in one read
MAX_RECEIVE_FDS = 64  # the kernel ends a read after each message that carries descriptors
MAX_PATH_BYTES = 100  # a Unix socket's address holds 107 bytes
_CREDENTIALS = struct.Struct("iII")  # pid, uid, gid


class Channel:
    """One connection to another process.

    The write queue has no limit of its own: its size is bounded by the connections and calls that the sender
    has.
    """

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.closed = False
        # Unsent bytes, each entry with the descriptor to send with its first byte, if any.
        self._write_queue: deque[tuple[bytes, int | None]] = deque()
        self._readable = Signal()
        sock.setblocking(False)
        loop.watch(sock.fileno(), READ, self._on_event, high_priority=True)

    @property
    def flushed(self) -> bool:
        """Whether nothing is left to be written."""
        return self.closed or not self._write_queue

    def receive(self) -> Generator[Signal, None, tuple[bytes, list[int]]]:
        """Waits for bytes and returns them with any descriptors; returns b"" when either side has closed."""
        while not self.closed:
            yield self._readable
            if self.closed:
                break
            try:
                data, fds, _, _ = socket.recv_fds(
                    self.sock, RECEIVE_BYTES, MAX_RECEIVE_FDS, socket.MSG_CMSG_CLOEXEC
                )
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                break
            return data, fds
        return b"", []

    def send(self, data: bytes, fd: int | None = None) -> None:
        """Writes or queues the bytes; `fd` is sent with the first byte and then closed in this process."""
        if self.closed:
            if fd is not None:
                os.close(fd)
            return
        self._write_queue.append((data, fd))
        if len(self._write_queue) == 1:
            self._flush()

    def close(self) -> None:
        """Closes the channel and the descriptors that have not been sent."""
        if not self.closed:
            self.closed = True
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            for _, fd in self._write_queue:
                if fd is not None:
                    os.close(fd)
            self._write_queue.clear()
            self.loop.fire(self._readable)

    def _flush(self) -> None:
        try:
            while self._write_queue:
                data, fd = self._write_queue[0]
                sent = socket.send_fds(self.sock, [data], [fd] if fd is not None else [])
                if fd is not None:
                    os.close(fd)
                if sent < len(data):
                    self._write_queue[0] = data[sent:], None
                else:
                    self._write_queue.popleft()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:  # the other process has closed its side
            self.close()
            return
        self.loop.watch(
            self.sock.fileno(), READ | (WRITE if self._write_queue else 0), self._on_event, high_priority=True
        )

    def _on_event(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & (READ | select.EPOLLERR | select.EPOLLHUP):
            self.loop.fire(self._readable)


def connect_unix(loop: Loop, path: Path) -> Channel | None:
    """Connects to the process that listens at the path.

    Returns None if none does, e.g. for a stale socket.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with _open_socket_address(path) as address:
            sock.connect(address)
    except OSError:
        sock.close()
        return None
    return Channel(loop, sock)


def listen_unix(loop: Loop, path: Path, serve: Callable[[Channel], Coroutine]) -> Callable[[], None]:
    """Listens at the path and returns a function that stops listening.

    Takes the path over from a process that listens there.  Closes connections from processes of other users.
    Raises OSError if the path cannot be created.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
    previous_umask = os.umask(0o077)
    try:
        with contextlib.suppress(FileNotFoundError):
            temporary_path.unlink()
        with _open_socket_address(temporary_path) as address:
            sock.bind(address)
        sock.listen(4)
        temporary_path.rename(path)  # atomic: no process finds the path before the socket listens
    except OSError:
        sock.close()
        raise
    finally:
        os.umask(previous_umask)
    sock.setblocking(False)

    def accept(_: int) -> None:
        try:
            peer = sock.accept()[0]
        except OSError:
            return
        credentials = peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        if _CREDENTIALS.unpack(credentials)[1] == os.geteuid():
            loop.start(serve(Channel(loop, peer)))
        else:
            peer.close()

    def stop() -> None:
        if sock.fileno() >= 0:
            loop.unwatch(sock.fileno())
            sock.close()

    loop.watch(sock.fileno(), READ, accept)
    return stop


@contextlib.contextmanager
def _open_socket_address(path: Path) -> Generator[str, None, None]:
    """Yields the path, or an equivalent path through /proc if it does not fit into a socket's address.

    Raises OSError if the directory cannot be opened.
    """
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)

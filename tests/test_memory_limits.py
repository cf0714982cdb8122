"""Memory that clients can make the program hold: requests with many header fields, and responses not read."""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import Iterator

import pytest

from ospreyvale.protocol import sip
from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES
from ospreyvale.transport.connection import (
    MAX_QUEUED_BYTES,
    MAX_QUEUED_BYTES_IF_FULL,
    MAX_TOTAL_QUEUED_BYTES,
    Connection,
    WriteQueueTotal,
)
from ospreyvale.transport.loop import Loop
from tests.player import Player, frame_isup

CLIENTS = 40
# Twice the largest message: once as it was received, and once as it is passed on or answered.
MAX_BYTES_PER_CLIENT = 2 * MAX_MESSAGE_BYTES
GROUP_REPORT = frame_isup(43, 0, p198=b"x0:400;x1:400")


def many_fields(line: str, count: int = 2_100) -> str:
    """Returns so many short header lines; `{n}` in `line` stands for the number of the line."""
    return "".join(line.format(n=f"{number:x}") + "\r\n" for number in range(count))


def invite(call: int, fields: str, body: bytes = b"d") -> bytes:
    """Returns an INVITE with additional header lines."""
    head = (
        f"INVITE sip:00000000000000aa@net SIP/2.0\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\n"
        f"Priority-Class: stock-check\r\nP-Trunk-Info: dest:1\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest.fixture
def traced() -> Iterator[None]:
    """Traces allocations during a test."""
    tracemalloc.start()
    yield
    tracemalloc.stop()


@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("line", ["x{n}:", "v:ab"])
@pytest.mark.parametrize("unsent", [0, 200])
def test_requests_with_very_many_short_fields_take_little_more_than_their_bytes(
    line: str, unsent: int
) -> None:
    """Guards against a process that is killed for memory, as it kept each field of each request.

    `unsent`: so many bytes of the body are missing, as from a client that stopped half way.
    """
    player = Player()
    player.network.name_by_address["127.1.0.1", 5070] = "one"
    player.start()
    player.advance(5.0)
    one = player.network.links["one"]
    one.inbox += GROUP_REPORT
    player.loop.fire(one.readable)
    player.advance(5.0)
    for client in range(CLIENTS):
        player.step(f"connect c{client} 127.0.0.1:5070")
    before, _ = tracemalloc.get_traced_memory()
    for client in range(CLIENTS):
        data = invite(0xB000 + client, many_fields(line), b"d" * 400)
        link = player.network.links[f"c{client}"]
        link.inbox += data[: len(data) - unsent]
        player.loop.fire(link.readable)
        player.advance(1.0)
    one.sent.clear()
    after, _ = tracemalloc.get_traced_memory()
    assert player.start().metrics()["unanswered"] == (0 if unsent else CLIENTS)
    assert (after - before) / CLIENTS < MAX_BYTES_PER_CLIENT


def test_a_head_is_parsed_twice_at_most_however_slowly_its_body_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that wait while the fields of a slow client are parsed again for each byte."""
    parsed: list[bytes] = []
    parse = sip._parse_head

    def record(head: bytes) -> sip.Message:
        parsed.append(head)
        return parse(head)

    monkeypatch.setattr(sip, "_parse_head", record)
    reader = sip.Reader()
    data = invite(0xB1, many_fields("x{n}:"), b"d" * 300)
    messages = [message for byte in data + data for message in reader.feed(bytes([byte]))]
    assert len(parsed) == 4 and [message.body for message in messages] == [b"d" * 300] * 2
    assert not reader.has_partial_message


def test_known_headers_are_read_among_others_and_folded_lines_belong_to_theirs() -> None:
    """A folded line of a header that is not kept is no header of its own."""
    fields = "X-Other: a\r\n Via: folded\r\nv: SIP/2.0/TCP a;\r\n\tbranch=b\r\nX-Last: c\r\n"
    [message] = sip.Reader().feed(invite(0xB1, fields))
    assert message.headers["via"] == ["SIP/2.0/TCP a; branch=b"]
    assert "x-other" not in message.headers and message.header("p-trunk-info") == "dest:1"
    assert sip.parse_copied_headers(sip.copy_headers(message)) == {
        name: message.headers[name] for name in ("via", "call-id", "cseq")
    }


def test_clients_that_do_not_read_share_a_limit_of_unsent_bytes() -> None:
    """Guards against a process that is killed for memory, as hundreds of clients did not read."""
    loop = Loop()
    total = WriteQueueTotal()
    listener = socket.create_server(("127.0.0.1", 0))
    peers = []
    connections = []
    for _ in range(MAX_TOTAL_QUEUED_BYTES // MAX_QUEUED_BYTES + 20):
        peers.append(socket.create_connection(listener.getsockname()))
        accepted = listener.accept()[0]
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        connections.append(Connection(loop, accepted, write_queue_total=total))
    for connection in connections:  # each is filled up to what one connection may hold
        while len(connection._write_queue) < MAX_QUEUED_BYTES - MAX_MESSAGE_BYTES:
            if not connection.send(bytes(MAX_MESSAGE_BYTES)):
                break
        assert total.queued_bytes <= MAX_TOTAL_QUEUED_BYTES + MAX_QUEUED_BYTES_IF_FULL
    assert 0 < sum(connection.was_reset for connection in connections) < len(connections)
    for connection in connections:
        connection._reset()
    assert total.queued_bytes == 0
    for sock in [listener, *peers]:
        sock.close()

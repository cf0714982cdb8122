"""SIP codec (RFC 3261) for byte streams: the subset that callers use.

Each message has a `Content-Length`.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from ospreyvale.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError

VERSION = "SIP/2.0"
REASON_PHRASES = {
    100: "Trying",
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    409: "Conflict",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Server Time-out",
}
# Copied from a request into its response (RFC 3261, 8.2.6.2).
COPIED_HEADERS = ("via", "from", "to", "call-id", "cseq")
HEADER_NAMES = {
    "via": "Via",
    "from": "From",
    "to": "To",
    "call-id": "Call-ID",
    "cseq": "CSeq",
    "content-length": "Content-Length",
    "reason": "Reason",
    "p-back-off": "P-Back-Off",
    "contact": "Contact",
    "flow-timer": "Flow-Timer",
    "p-device": "P-Device",
    "p-edge": "P-Edge",
    "p-age-ms": "P-Age-Ms",
    "priority-class": "Priority-Class",
    "expires-ms": "Expires-Ms",
    "p-trunk-info": "P-Trunk-Info",
    "p-first-epoch": "P-First-Epoch",
    "p-customer": "P-Customer",
}
COMPACT_NAMES = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length"}
_KEPT_NAMES = {**{name: name for name in HEADER_NAMES}, **COMPACT_NAMES}
_FOLD = re.compile(r"\r\n[ \t]+")  # RFC 3261, 7.3.1: a line that begins so continues the one before
_HEAD_END = b"\r\n\r\n"
_DIGITS = re.compile(r"[0-9]{1,9}\Z")
_HEX = re.compile(r"[0-9a-f]{16}\Z", re.IGNORECASE)
_CAUSE = re.compile(r"cause\s*=\s*([0-9]{1,3})")


@dataclass(slots=True)
class Message:
    """A request (`method`, `uri`) or a response (`status`), with lower-case header names."""

    method: str = ""
    uri: str = ""
    status: int = 0
    headers: dict[str, list[str]] = field(default_factory=dict)
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, or `default` if it is absent."""
        values = self.headers.get(name)
        return values[0] if values else default

    def number(self, name: str) -> int:
        """Returns the value of a header of 1 to 9 digits.

        Raises ProtocolError if it is absent or malformed.
        """
        text = self.header(name)
        if not _DIGITS.match(text):
            raise ProtocolError(f"{name} is not a number")
        return int(text)

    @property
    def call(self) -> int:
        """The call id: the 16 hex digits of `Call-ID`; raises ProtocolError for another form."""
        return _parse_hex(self.header("call-id"), "Call-ID")

    @property
    def user(self) -> str:
        """The user part of the request URI: the called number, or `ping`.

        Raises ProtocolError if there is none.
        """
        scheme, _, rest = self.uri.partition(":")
        user, at, _ = rest.partition("@")
        if scheme.lower() != "sip" or not at or not user:
            raise ProtocolError("the request URI is not sip:user@host")
        return user

    @property
    def cseq_method(self) -> str:
        """The method in `CSeq`, in upper case."""
        return self.header("cseq").partition(" ")[2].strip().upper()

    @property
    def cause(self) -> int:
        """The Q.850 cause in `Reason`; 16 (normal clearing) if there is none."""
        match = _CAUSE.search(self.header("reason"))
        return int(match[1]) & 0x7F if match else 16


def _parse_hex(text: str, name: str) -> int:
    if not _HEX.match(text):
        raise ProtocolError(f"{name} is not 16 hex digits")
    return int(text, 16)


def parse_called_number(text: str) -> int:
    """Parses a called number of 16 hex digits; raises ProtocolError for another form."""
    return _parse_hex(text, "the number called")


def parse_trunk_info(message: Message) -> dict[str, int]:
    """Parses `P-Trunk-Info`, such as `dest:2;width:1;via:-1`.

    Raises ProtocolError if a value is not a number.
    """
    values: dict[str, int] = {}
    for part in filter(None, message.header("p-trunk-info").split(";")):
        name, _, text = part.partition(":")
        try:
            values[name.strip()] = int(float(text))
        except (ValueError, OverflowError):
            raise ProtocolError(f"P-Trunk-Info {name.strip()[:20]} is not a number") from None
    return values


class Reader:
    """Splits a byte stream into messages, however the stream is segmented."""

    def __init__(self) -> None:
        self._buffer = bytearray()  # the incomplete message, with its head
        self._searched = 0  # first bytes of the buffer in which no head ends
        self._total = 0  # size of the message, once its head is complete
        self._head_size = 0  # the same for its head

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    @property
    def partial_message(self) -> bytes:
        """The bytes of the incomplete message."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Adds bytes and yields every message that they complete.

        Raises ProtocolError if one is malformed.
        """
        self._buffer += data
        while (message := self._next_message()) is not None:
            yield message

    def _next_message(self) -> Message | None:
        message = self._read_head() if not self._total else None
        if not self._total or len(self._buffer) < self._total:
            return None
        # Parsed again where the body came later: a head may take many times its bytes while it is kept.
        message = message or _parse_head(self._head_bytes())
        message.body = bytes(self._buffer[self._head_size : self._total])
        del self._buffer[: self._total]
        self._total = self._searched = 0
        return message

    def _head_bytes(self) -> bytes:
        return bytes(self._buffer[: self._head_size - len(_HEAD_END)])

    def _read_head(self) -> Message | None:
        """Parses the head at the start of the buffer, if it is complete, and notes the sizes."""
        while self._buffer[:2] == b"\r\n":  # RFC 3261, 7.5: empty lines before a message are ignored
            del self._buffer[:2]
        overlap = len(_HEAD_END) - 1
        end = self._buffer.find(_HEAD_END, max(0, self._searched - overlap), MAX_MESSAGE_BYTES + overlap + 1)
        if end < 0:
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise ProtocolError("a message is larger than 16 KiB")
            self._searched = len(self._buffer)
            return None
        self._head_size = end + len(_HEAD_END)
        message = _parse_head(self._head_bytes())
        length = message.number("content-length")
        if len(set(message.headers["content-length"])) > 1:
            raise ProtocolError("Content-Length has several different values")
        self._total = self._head_size + length
        if self._total > MAX_MESSAGE_BYTES:
            raise ProtocolError("a message is larger than 16 KiB")
        return message


def _parse_head(head: bytes) -> Message:
    """Parses the lines before the body; headers that are not in HEADER_NAMES are not kept."""
    try:
        start_line, found, lines = head.decode("utf-8").partition("\r\n")
    except UnicodeDecodeError:
        raise ProtocolError("a header is not UTF-8") from None
    message = _parse_start_line(start_line)
    for line in _FOLD.sub(" ", lines).split("\r\n") if found else ():
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        if not colon or not name:
            raise ProtocolError("a header line has no name")
        kept_name = _KEPT_NAMES.get(name)
        if kept_name is not None:
            message.headers.setdefault(kept_name, []).append(value.strip())
    return message


def _parse_start_line(start_line: str) -> Message:
    words = start_line.split(" ", 2)
    if len(words) < 2:
        raise ProtocolError("the first line is neither a request nor a status line")
    if words[0] == VERSION:
        if not (len(words[1]) == 3 and _DIGITS.match(words[1]) and words[1][0] in "123456"):
            raise ProtocolError("the status code is not between 100 and 699")
        return Message(status=int(words[1]))
    if len(words) == 3 and words[2] == VERSION and words[0].isalpha():
        return Message(method=words[0].upper(), uri=words[1])
    raise ProtocolError("the first line is neither a request nor a status line")


def _encode(start_line: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [
        start_line,
        *(f"{HEADER_NAMES.get(name, name)}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def encode(start_line: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encodes a message from its start line, headers in the given order, and body."""
    return _encode(start_line, headers, body)


def copy_headers(request: Message) -> bytes:
    """Returns the header lines that a response copies from its request, encoded."""
    return b"".join(
        f"{HEADER_NAMES[name]}: {value}\r\n".encode()
        for name in COPIED_HEADERS
        for value in request.headers.get(name, [])
    )


def parse_copied_headers(lines: bytes) -> dict[str, list[str]]:
    """Returns the headers in the lines of `copy_headers`, by lower-case name."""
    return _parse_head(f"{VERSION} 200 OK\r\n".encode() + lines.removesuffix(b"\r\n")).headers


def encode_response(request: Message, status: int, body: bytes = b"", back_off_ms: float = 0.0) -> bytes:
    """Encodes the response to a request.

    `back_off_ms` above 0 is rounded to whole milliseconds, at least 1.
    """
    return encode_response_to(copy_headers(request), status, body, back_off_ms)


def encode_response_to(
    copied_headers: bytes, status: int, body: bytes = b"", back_off_ms: float = 0.0
) -> bytes:
    """Encodes the response to the request of which `copy_headers` has returned the lines."""
    back_off = f"P-Back-Off: {max(1, round(back_off_ms))}\r\n" if back_off_ms > 0.0 else ""
    return (
        f"{VERSION} {status} {REASON_PHRASES[status]}\r\n".encode()
        + copied_headers
        + f"{back_off}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def encode_bye(call: int, cause: int, via: str) -> bytes:
    """Encodes the BYE for a standing call, with a Q.850 cause; `via` is the sent-by of its Via."""
    return _encode(
        f"BYE sip:{call:016x}@net {VERSION}",
        [
            ("via", f"{VERSION}/TCP {via}"),
            ("call-id", f"{call:016x}"),
            ("cseq", "1 BYE"),
            ("reason", f"Q.850;cause={cause}"),
        ],
        b"",
    )

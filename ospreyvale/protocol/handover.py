"""Codec of the handover between two processes: each frame is a JSON object on one line.

Bytes are sent as text, one character per byte (Latin-1).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from ospreyvale.protocol.errors import ProtocolError

MAX_FRAME_BYTES = 16_777_216  # enough for a connection with all its open set-ups


def encode(kind: str, **fields: Any) -> bytes:
    """Encodes one frame."""
    return orjson.dumps({"kind": kind, **fields}, option=orjson.OPT_APPEND_NEWLINE)


def bytes_to_text(data: bytes) -> str:
    """Encodes bytes for a JSON string."""
    return data.decode("latin-1")


def text_to_bytes(text: str) -> bytes:
    """Decodes a string from `bytes_to_text`."""
    return text.encode("latin-1")


class Reader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[dict[str, Any]]:
        """Adds bytes and yields every frame that they complete.

        Raises ProtocolError if a frame is malformed or larger than MAX_FRAME_BYTES.
        """
        self._buffer += chunk
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            try:
                frame = orjson.loads(line)
            except orjson.JSONDecodeError:
                raise ProtocolError("a frame is not JSON") from None
            if not isinstance(frame, dict) or not isinstance(frame.get("kind"), str):
                raise ProtocolError("a frame has no kind")
            yield frame
        if len(self._buffer) > MAX_FRAME_BYTES:
            raise ProtocolError("a frame is larger than 16 MiB")

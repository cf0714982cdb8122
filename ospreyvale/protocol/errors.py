"""The exception that all codecs raise, and the message size limit that they share."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 16_384  # for one message of any protocol


class ProtocolError(ValueError):
    """Malformed or oversized input from a peer; it closes the connection to that peer only."""

"""One connection from callers, and what a handover passes on of it."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyvale.protocol import sip
from ospreyvale.transport.connection import Link


@dataclass(frozen=True, slots=True)
class HandedOverConnection:
    """One connection from callers, with the fields of its handover frame; bytes are Latin-1 text."""

    unsent: str  # bytes queued for the peer and not written yet
    half: str  # bytes that were received and not handled: requests, and part of one
    asked: bool  # whether it has carried a set-up
    since: float  # Unix milliseconds since which it is silent or inside a message; 0 if it is neither
    # Unanswered set-ups: the call, and the headers of the INVITE that responses copy.
    open: list[tuple[int, dict[str, list[str]]]]
    standing: list[int]  # standing calls whose set-up arrived on it


class CallerConnection:
    """One connection from callers."""

    def __init__(self, link: Link) -> None:
        self.link = link
        # Unanswered set-ups, with the headers that the response copies, encoded.
        self.open_set_ups: dict[int, bytes] = {}
        # A provisional response was sent to find out whether the peer still reads.
        self.was_probed = False
        self.has_backlog = False  # the last read was full: more of what the peer has sent is unread
        self.peer_ended = False  # the peer has closed its sending side; it may still read
        self.handed_over = False  # another process serves it, from the bytes in the reader on
        self.reader = sip.Reader()
        self.last_received_at = 0.0  # Unix milliseconds
        self.call_count = 0  # calls received on it and not ended: unanswered or standing
        self.consecutive_faults = 0  # malformed requests since the last valid INVITE

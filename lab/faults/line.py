"""The exchange's end of one connection, with the faults of a network between it and the program."""

from __future__ import annotations

import random
import socket
import struct
from dataclasses import dataclass
from enum import Enum

from ospreyvale.protocol.isup import Message, encode
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Loop

SPOILT_MESSAGE = b"\xff\xff\x09"  # its length is over the limit
MAX_REPEAT_DELAY_MS = 12.0  # of the second copy of an answer
PIECE_BYTES = 7
PIECE_DELAY_MS = 2.0


class AnswerFault(Enum):
    """What becomes of an answer on its way to the program."""

    NONE = "whole"
    SPOILT = "spoilt"
    CLOSED = "cut, then closed"
    RESET = "cut, then reset"
    STALLED = "cut, then silence"
    REPEATED = "repeated"
    PIECES = "in pieces"


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Probabilities of faults, from 0 to 1."""

    spoilt: float = 0.0
    closed: float = 0.0
    reset: float = 0.0
    stalled: float = 0.0
    repeated: float = 0.0
    pieces: float = 0.0
    mute_line: float = 0.0  # a connection on which the exchange never sends anything

    def draw(self, source: random.Random) -> AnswerFault:
        """Draws what becomes of one answer."""
        weights = {
            AnswerFault.SPOILT: self.spoilt,
            AnswerFault.CLOSED: self.closed,
            AnswerFault.RESET: self.reset,
            AnswerFault.STALLED: self.stalled,
            AnswerFault.REPEATED: self.repeated,
            AnswerFault.PIECES: self.pieces,
        }
        weights[AnswerFault.NONE] = max(0.0, 1.0 - sum(weights.values()))
        return source.choices(list(weights), list(weights.values()))[0]


class FaultyLine:
    """Sends an exchange's messages on one connection, with faults."""

    def __init__(self, loop: Loop, link: Link, rates: FaultRates, source: random.Random) -> None:
        self.loop = loop
        self.link = link
        self.rates = rates
        self.source = source
        self.mute = source.random() < rates.mute_line

    def send(self, message: Message) -> bool:
        """Sends a message without a fault; returns False on a closed or silent connection."""
        return not self.mute and self.link.send(encode(message))

    def send_answer(self, message: Message) -> AnswerFault | None:
        """Sends an answer; returns what became of it, or None on a closed or silent connection."""
        data = encode(message)
        if self.mute or self.link.closed:
            return None
        fault = self.rates.draw(self.source)
        match fault:
            case AnswerFault.NONE:
                self.link.send(data)
            case AnswerFault.SPOILT:
                self.link.send(SPOILT_MESSAGE)
            case AnswerFault.CLOSED:
                self.link.send(data[: len(data) // 2])
                self.link.close()
            case AnswerFault.RESET:
                self.link.send(data[: len(data) // 2])
                self.reset()
            case AnswerFault.STALLED:
                self.link.send(data[: len(data) // 2])
                self.mute = True
            case AnswerFault.REPEATED:
                self.link.send(data)
                delay_ms = self.source.uniform(0.0, MAX_REPEAT_DELAY_MS)
                self.loop.call_at(self.loop.now + delay_ms, lambda: self._repeat(data))
            case AnswerFault.PIECES:
                self._send_piece(data)
        return fault

    def reset(self) -> None:
        """Ends the connection with a reset."""
        sock = getattr(self.link, "sock", None)
        if sock is not None and not self.link.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.link.close()

    def _repeat(self, data: bytes) -> None:
        if not self.mute:
            self.link.send(data)

    def _send_piece(self, data: bytes) -> None:
        """Sends the bytes in pieces; nothing else is sent meanwhile, as the line is mute."""
        self.mute = bool(data[PIECE_BYTES:])
        self.link.send(data[:PIECE_BYTES])
        if self.mute:
            self.loop.call_at(self.loop.now + PIECE_DELAY_MS, lambda: self._send_piece(data[PIECE_BYTES:]))

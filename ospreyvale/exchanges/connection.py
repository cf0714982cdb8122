"""One connection to an exchange: when it is unresponsive or dead, and how it is retired.

The decisions are pure functions of the recorded times; `IsupExchanges` carries them out.
"""

from __future__ import annotations

import math

from ospreyvale.protocol import isup
from ospreyvale.protocol.isup import Code, Message, Type
from ospreyvale.transport.connection import Link

# An exchange reports its circuit group within 3 ms of receiving a set-up, whatever the load of its processor.
# A connection on which nothing is received for so long after a set-up is suspect.
SET_UP_RESPONSE_TIMEOUT_MS = 80.0
# Answers to tests and set-ups wait for the processor.  A connection is also suspect if nothing is received
# for so long while one of them is unanswered.
RESPONSE_TIMEOUT_MS = 400.0
# A connection that serves only standing calls is checked after so long a silence, as it may be dead.  Callers
# have to learn within 8 s of an end that an exchange could not send anywhere.
IDLE_BEFORE_CHECK_MS = 4_000.0
IDLE_BEFORE_CHECK_OF_DRAINING_MS = 500.0  # the same, if the exchange is about to end with all its calls
# RESPONSE_TIMEOUT_MS does not apply to a younger connection, as a hanging processor is silent on new ones
# too.
MIN_SUSPECT_AGE_MS = 1_000.0
# A suspect connection that stays silent for so long is dead, if its successor receives reports.
DEAD_AFTER_MS = 120.0
DEAD_WITHOUT_SUCCESSOR_MS = 1_500.0  # the same, if the successor receives none either
# After so long without more of a partial message, the rest will not arrive.
PARTIAL_MESSAGE_TIMEOUT_MS = 150.0
# An exchange that can be reached ends its side of a draining connection within a round trip.  A release that
# arrives later than this is too late for its caller.
DRAIN_TIMEOUT_MS = 8_000.0


class ExchangeConnection:
    """One connection to an exchange; `number` identifies it in the log.

    It is replaced when it is suspect, or renewed.  Once its set-ups have ended it drains: nothing more is
    sent on it, and it is read until the exchange ends its side.
    """

    def __init__(self, link: Link, number: int, now: float) -> None:
        self.link = link
        self.number = number
        self.reader = isup.Reader()
        self.connected_at = self.last_received_at = now
        self.group_report_count = 0  # reports of the circuit group received on this connection
        # Times in Unix milliseconds; infinity: none, or not in that state.
        self.set_up_pending_since = math.inf  # first set-up sent since anything was received
        self.response_pending_since = math.inf  # first set-up or test sent since anything was received
        self.replaced_since = math.inf
        self.draining_since = math.inf
        self.is_renewed = False  # replaced although it was sound
        self.drained_message_count = 0  # messages received since it drains
        self.last_release_at = -math.inf  # last release written
        self.last_test_number = 0  # 0: none was sent
        self.last_test_at = -math.inf

    @property
    def is_replaced(self) -> bool:
        """Whether another connection takes its place, or is dialled to do so."""
        return self.replaced_since < math.inf

    @property
    def is_draining(self) -> bool:
        """Whether its sending side has ended."""
        return self.draining_since < math.inf

    def record_receipt(self, now: float) -> None:
        """Records that data was received."""
        self.last_received_at = now
        self.set_up_pending_since = self.response_pending_since = math.inf

    def record_request(self, now: float, is_set_up: bool) -> None:
        """Records that a set-up or a test was sent."""
        self.response_pending_since = min(self.response_pending_since, now)
        if is_set_up:
            self.set_up_pending_since = min(self.set_up_pending_since, now)

    def send_test(self, number: int, now: float) -> None:
        """Sends a test with that number, which its answer returns."""
        self.record_request(now, is_set_up=False)
        self.last_test_number = number
        self.last_test_at = now
        self.link.send(isup.encode(Message(Type.TEST, number, {Code.CAUSE: b"\x00"})))

    def is_idle(self, now: float, idle_ms: float) -> bool:
        """Returns whether nothing is awaited on it, and nothing was received for `idle_ms`."""
        return self.response_pending_since == math.inf and now > self.last_received_at + idle_ms

    def is_unresponsive(self, now: float, has_open_set_ups: bool) -> bool:
        """Returns whether an expected message has not arrived in time."""
        if now > self.set_up_pending_since + SET_UP_RESPONSE_TIMEOUT_MS:
            return True
        awaits_response = self.response_pending_since < math.inf or has_open_set_ups
        silent_since = (
            self.response_pending_since if self.response_pending_since < math.inf else self.last_received_at
        )
        return (
            awaits_response
            and now > silent_since + RESPONSE_TIMEOUT_MS
            and now > self.connected_at + MIN_SUSPECT_AGE_MS
        )

    def has_stalled_message(self, now: float) -> bool:
        """Returns whether the rest of a partial message is overdue; what follows cannot be framed."""
        return self.reader.has_partial_message and now > self.last_received_at + PARTIAL_MESSAGE_TIMEOUT_MS

    def is_dead(self, now: float, successor_receives: bool) -> bool:
        """Returns whether it has been silent for too long since it was replaced.

        `successor_receives` is whether more than the first report has arrived on the connection in its place:
        later reports go to every open connection.
        """
        if not self.is_replaced or self.last_received_at > self.replaced_since:
            return False
        return now > self.replaced_since + (
            DEAD_AFTER_MS if successor_receives else DEAD_WITHOUT_SUCCESSOR_MS
        )

    def has_drain_timed_out(self, now: float) -> bool:
        """Returns whether the exchange should have ended its side of a draining connection long ago."""
        return now > self.draining_since + DRAIN_TIMEOUT_MS

    def start_draining(self, now: float) -> None:
        """Ends the sending side; what the exchange has sent, and sends until it notices, is still read."""
        self.draining_since = now
        self.link.write_eof()

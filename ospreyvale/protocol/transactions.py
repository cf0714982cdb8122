"""SIP transaction state machines (RFC 3261, 17, with the Accepted state of RFC 6026).

They retransmit messages and absorb retransmissions from the peer.  A machine gets a clock and callbacks for
sending and for notifying its user; it does no I/O.  Its timers bound its lifetime: it ends at most 64 T1 + T4
after its last event and then calls `on_ended`, so that its owner removes it.  Only a server transaction
without a final response has no such bound: its user has to respond.  Over a stream (`reliable`) a machine
does not retransmit and does not linger after the final response.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

# The timer values of RFC 3261 (17.1.1.1 and 17.1.2.2), in milliseconds.
T1_MS = 500.0
T2_MS = 4_000.0
T4_MS = 5_000.0


class Timer(Protocol):
    """A scheduled callback that can be cancelled."""

    def cancel(self) -> None:
        """Cancels the callback; does nothing after it has run."""
        ...


class Clock(Protocol):
    """The time in milliseconds, and scheduled callbacks."""

    now: float

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback for a time of this clock."""
        ...


class State(Enum):
    """States of the four state machines (RFC 3261, figures 5 to 8, and RFC 6026)."""

    CALLING = "calling"  # of an INVITE client; a non-INVITE client begins in Trying
    TRYING = "trying"
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


class _Transaction:
    """Common part of the four state machines: the state, named timers and termination."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[bytes], None],
        on_ended: Callable[[], None],
        reliable: bool,
        t1_ms: float,
    ) -> None:
        self.clock = clock
        self.send = send
        self.on_ended = on_ended
        self.reliable = reliable
        self.t1_ms = t1_ms
        self.state = State.TRYING
        self.timers: dict[str, Timer] = {}

    def start_timer(self, name: str, wait_ms: float, callback: Callable[[], None]) -> None:
        """Starts a timer of `wait_ms`, replacing the one with the same name."""
        self.stop_timers(name)
        self.timers[name] = self.clock.call_at(self.clock.now + wait_ms, callback)

    def stop_timers(self, *names: str) -> None:
        """Cancels the named timers; all of them if no name is given."""
        for name in names or list(self.timers):
            timer = self.timers.pop(name, None)
            if timer is not None:
                timer.cancel()

    def terminate(self) -> None:
        """Stops all timers and calls `on_ended`; does nothing if that happened before."""
        if self.state is not State.TERMINATED:
            self.state = State.TERMINATED
            self.stop_timers()
            self.on_ended()

    def end_after(self, name: str, wait_ms: float) -> None:
        """Terminates after `wait_ms`; at once over a stream."""
        if self.reliable:
            self.terminate()
        else:
            self.start_timer(name, wait_ms, self.terminate)


class InviteClientTransaction(_Transaction):
    """INVITE client transaction (17.1.1): timers A, B and D, and M in the Accepted state.

    Sends the request at once; `on_timeout` is called when timer B ends without a final response.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[bytes], None],
        on_ended: Callable[[], None],
        request: bytes,
        on_timeout: Callable[[], None],
        reliable: bool = False,
        t1_ms: float = T1_MS,
    ) -> None:
        super().__init__(clock, send, on_ended, reliable, t1_ms)
        self.state = State.CALLING
        self.request = request
        self.on_timeout = on_timeout
        self.ack = b""
        self.retransmit_interval_ms = t1_ms
        self.start_timer("B", 64 * t1_ms, self._on_timeout)
        self._retransmit()

    def _retransmit(self) -> None:
        self.send(self.request)
        if not self.reliable:
            self.start_timer("A", self.retransmit_interval_ms, self._retransmit)
            self.retransmit_interval_ms *= 2.0

    def _on_timeout(self) -> None:
        self.on_timeout()
        self.terminate()

    def on_response(self, status: int, ack: bytes) -> bool:
        """Handles a response; returns whether to pass it to the user.

        `ack` is the ACK to send for a final response other than 2xx.
        """
        if self.state in (State.CALLING, State.PROCEEDING):
            self.stop_timers("A")
            if status < 200:
                self.state = State.PROCEEDING
                return True
            self.stop_timers("B")
            if status < 300:
                self.state = State.ACCEPTED
                self.start_timer("M", 64 * self.t1_ms, self.terminate)
                return True
            self.state = State.COMPLETED
            self.ack = ack
            self.send(ack)
            self.end_after("D", 64 * self.t1_ms)
            return True
        if self.state is State.COMPLETED and status >= 300:
            self.send(self.ack)
        return self.state is State.ACCEPTED and 200 <= status < 300  # the user acknowledges each 2xx


class NonInviteClientTransaction(_Transaction):
    """Non-INVITE client transaction (17.1.2): timers E, F and K.

    Sends the request at once; `on_timeout` is called when timer F ends without a final response.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[bytes], None],
        on_ended: Callable[[], None],
        request: bytes,
        on_timeout: Callable[[], None],
        reliable: bool = False,
        t1_ms: float = T1_MS,
    ) -> None:
        super().__init__(clock, send, on_ended, reliable, t1_ms)
        self.request = request
        self.on_timeout = on_timeout
        self.retransmit_interval_ms = t1_ms
        self.start_timer("F", 64 * t1_ms, self._on_timeout)
        self._retransmit()

    def _retransmit(self) -> None:
        self.send(self.request)
        if not self.reliable:
            self.start_timer("E", self.retransmit_interval_ms, self._retransmit)
            self.retransmit_interval_ms = (
                T2_MS if self.state is State.PROCEEDING else min(2.0 * self.retransmit_interval_ms, T2_MS)
            )

    def _on_timeout(self) -> None:
        self.on_timeout()
        self.terminate()

    def on_response(self, status: int) -> bool:
        """Handles a response; returns whether to pass it to the user."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return False
        if status < 200:
            self.state = State.PROCEEDING
            return True
        self.state = State.COMPLETED
        self.stop_timers("E", "F")
        self.end_after("K", T4_MS)
        return True


class InviteServerTransaction(_Transaction):
    """INVITE server transaction (17.2.1): timers G, H and I, and L in the Accepted state.

    `retransmits_final` is off where the user of the transaction retransmits final responses itself, on
    whichever path works.  If it is on, 2xx responses are retransmitted too, which 13.3.1.4 requires of the
    user.  `on_no_ack` is called when timer H or L ends without an ACK.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[bytes], None],
        on_ended: Callable[[], None],
        on_no_ack: Callable[[], None],
        reliable: bool = False,
        t1_ms: float = T1_MS,
        retransmits_final: bool = True,
    ) -> None:
        super().__init__(clock, send, on_ended, reliable, t1_ms)
        self.state = State.PROCEEDING
        self.on_no_ack = on_no_ack
        self.retransmits_final = retransmits_final
        self.last_response = b""
        self.retransmit_interval_ms = t1_ms

    def on_retransmission(self) -> None:
        """Handles a retransmission of the request by sending the last response again."""
        if self.last_response and self.state in (State.PROCEEDING, State.COMPLETED, State.ACCEPTED):
            self.send(self.last_response)

    def respond(self, status: int, response: bytes) -> None:
        """Sends the user's response; responses after the first final one are ignored."""
        if self.record_response(status, response):
            self.send(response)

    def record_response(self, status: int, response: bytes) -> bool:
        """Records a response that the user sends itself; returns False after a final response."""
        if self.state is not State.PROCEEDING:
            return False
        self.last_response = response
        if status >= 200:
            self.state = State.ACCEPTED if status < 300 else State.COMPLETED
            if self.retransmits_final and not self.reliable:
                self.start_timer("G", self.retransmit_interval_ms, self._retransmit_final)
            self.start_timer("L" if status < 300 else "H", 64 * self.t1_ms, self._on_ack_timeout)
        return True

    def _retransmit_final(self) -> None:
        self.send(self.last_response)
        self.retransmit_interval_ms = min(2.0 * self.retransmit_interval_ms, T2_MS)
        self.start_timer("G", self.retransmit_interval_ms, self._retransmit_final)

    def _on_ack_timeout(self) -> None:
        """Handles timer H or L: no ACK was received."""
        self.on_no_ack()
        self.terminate()

    def on_ack(self) -> bool:
        """Handles the ACK; returns whether it is the first one."""
        if self.state is State.COMPLETED:
            self.state = State.CONFIRMED
            self.stop_timers()
            self.end_after("I", T4_MS)
            return True
        if self.state is State.ACCEPTED and "L" in self.timers:
            self.stop_timers("L", "G")
            # Absorbs retransmissions of the INVITE that are still in transit.
            self.start_timer("I", T4_MS, self.terminate)
            return True
        return False


class NonInviteServerTransaction(_Transaction):
    """Non-INVITE server transaction (17.2.2): timer J."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[bytes], None],
        on_ended: Callable[[], None],
        reliable: bool = False,
        t1_ms: float = T1_MS,
    ) -> None:
        super().__init__(clock, send, on_ended, reliable, t1_ms)
        self.last_response = b""

    def on_retransmission(self) -> None:
        """Handles a retransmission of the request by sending the last response again."""
        if self.last_response:
            self.send(self.last_response)

    def respond(self, status: int, response: bytes) -> None:
        """Sends the user's response; responses after the first final one are ignored."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return
        self.last_response = response
        self.send(response)
        self.state = State.PROCEEDING if status < 200 else State.COMPLETED
        if status >= 200:
            self.end_after("J", 64 * self.t1_ms)

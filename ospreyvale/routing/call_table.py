"""The call table: every call that is owed an answer or stands, and the rules that no call may break.

The decision module keeps these rules itself.  Here they are invariants, and a set-up that would break one is
not sent.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

from ospreyvale.routing import interface
from ospreyvale.routing.exchange_table import ExchangeEntry
from ospreyvale.routing.invariant import invariant
from ospreyvale.routing.state import Attempt, CallerPort, CallState, Final, Offer

MAX_ENDED_CALLS = 8_192  # ended calls that are remembered, so that late messages for them are recognized
# Outcomes after which the exchange may still hold the circuits of the attempt, until it has released them.
IN_DOUBT = (interface.Outcome.TIMEOUT, interface.Outcome.RESET, interface.Outcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class EndedCall:
    """What is remembered of a call that has ended."""

    call: int
    earliest_send_at: float  # Unix milliseconds, for another attempt if it is offered again
    has_run: bool  # an exchange has answered it: it must not be set up again


class CallTable:
    """The calls of one instance, by id."""

    def __init__(self, release_ms: float, max_attempts: int, drain_grace_ms: float) -> None:
        self.release_ms = release_ms
        self.max_attempts = max_attempts
        self.drain_grace_ms = drain_grace_ms
        self.calls: dict[int, CallState] = {}
        self.unanswered = self.standing = 0
        self.standing_by_exchange = Counter[bytes]()  # by address
        self._ended: OrderedDict[int, EndedCall] = OrderedDict()  # the latest last

    def add(self, now: float, offer: Offer, caller: CallerPort) -> CallState | None:
        """Adds a new call; returns None if a call of that id exists, or has run and ended."""
        ended = self._ended.get(offer.call)
        if offer.call in self.calls or (ended is not None and ended.has_run):
            return None
        state = CallState(offer, caller, now, now + offer.patience_ms)
        if ended is not None:
            state.earliest_send_at = ended.earliest_send_at
            del self._ended[offer.call]
        self.calls[offer.call] = state
        self.unanswered += 1
        return state

    def adopt(self, now: float, offer: Offer, caller: CallerPort, attempt: Attempt) -> CallState | None:
        """Adds a call that stood in another process; returns None if it exists here or has ended."""
        if offer.call in self.calls or offer.call in self._ended:
            return None
        state = CallState(offer, caller, now, now, attempt.number + 1, attempt, 0.0, Final.STANDS, True)
        self.calls[offer.call] = state
        self._count_standing(attempt, 1)
        return state

    def remove_handed_over(self, state: CallState) -> None:
        """Removes a standing call that another process has taken over, without remembering it as ended."""
        del self.calls[state.call]
        assert state.attempt is not None
        self._count_standing(state.attempt, -1)

    def ended_calls(self) -> list[EndedCall]:
        """Returns the remembered ended calls, the latest last."""
        return list(self._ended.values())

    def add_ended(self, ended: EndedCall) -> None:
        """Remembers a call that has ended, here or in another process; beyond the limit the oldest go."""
        self._ended.pop(ended.call, None)
        self._ended[ended.call] = ended
        if len(self._ended) > MAX_ENDED_CALLS:
            self._ended.popitem(last=False)

    def may_send(self, now: float, state: CallState, entry: ExchangeEntry) -> bool:
        """Returns whether the rules allow a set-up; a violation is counted, or asserted in debug mode."""
        not_ready = entry.exchange.condition is not interface.Condition.READY
        return (
            invariant(state.attempt is None, "one_attempt_out")
            and invariant(state.attempts < self.max_attempts, "attempts_at_most")
            and invariant(now >= state.earliest_send_at, "released_before_sent_again")
            and invariant(not (not_ready and now > entry.condition_since + self.drain_grace_ms), "drain_kept")
        )

    def start_attempt(self, now: float, state: CallState, entry: ExchangeEntry) -> Attempt:
        """Opens the next attempt of a call, and returns it."""
        state.attempt = Attempt(state.attempts, entry.exchange, entry.port, now)
        state.attempts += 1
        return state.attempt

    def end_attempt(self, now: float, state: CallState, outcome: interface.Outcome) -> Attempt:
        """Ends the attempt that was open or stood, and returns it."""
        attempt = state.attempt
        assert attempt is not None
        state.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if state.standing:
            state.standing = False
            self._count_standing(attempt, -1)
        elif outcome in IN_DOUBT:
            state.earliest_send_at = now + self.release_ms
        return attempt

    def set_final(self, state: CallState, final: Final) -> bool:
        """Sets the final answer of a call; returns False if it has one."""
        if not invariant(state.final is None, "one_final_answer"):
            return False
        state.final = final
        self.unanswered -= 1
        if state.timer is not None:
            state.timer.cancel()
        if final is Final.STANDS:
            assert state.attempt is not None
            state.standing = state.has_run = True
            self._count_standing(state.attempt, 1)
        return True

    def _count_standing(self, attempt: Attempt, change: int) -> None:
        address = attempt.exchange.address
        self.standing += change
        self.standing_by_exchange[address] += change
        if not self.standing_by_exchange[address]:
            del self.standing_by_exchange[address]

    def remove(self, state: CallState) -> None:
        """Removes a call and remembers it as ended."""
        if self.calls.get(state.call) is state:
            del self.calls[state.call]
            self.add_ended(EndedCall(state.call, state.earliest_send_at, state.has_run))

    def has_ended(self, call: int) -> bool:
        """Returns whether a call of that id has ended and is still remembered."""
        return call in self._ended

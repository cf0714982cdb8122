"""The data that the stages work on (a call, its offer, its attempts) and the interfaces to the ports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ospreyvale.routing import interface


class Final(Enum):
    """The final answer to a call's set-up."""

    STANDS = "stands"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"  # the caller gave up: no answer is owed


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a caller offers it (not an SDP offer)."""

    call: int
    destination: int  # number of an exchange
    number: int  # called number, as an integer
    number_text: str  # called number, as it was received
    patience_ms: float  # how long the caller waits for the final answer
    call_class: int
    class_name: str
    description: bytes  # body of the set-up, passed on unchanged
    width: int = 1  # circuits that the call needs
    via: int = -1  # advised tandem, or where a call in transit comes from; -1: none
    transit: bool = False
    cut: bool = False

    def to_event(self, earliest_send_at: float = 0.0) -> interface.Call:
        """Returns the event that requests a decision on the call."""
        return interface.Call(
            self.call,
            self.destination,
            self.number,
            self.patience_ms,
            self.width,
            self.via,
            self.call_class,
            transit=self.transit,
            cut=self.cut,
            earliest_send_at=earliest_send_at,
        )


class CallerPort(Protocol):
    """How the core reaches the side that a call came from."""

    def answer(self, call: int, description: bytes) -> None:
        """Notifies the caller that its call stands, with the description from the exchange."""
        ...

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Refuses the call; the caller may retry after the back-off."""
        ...

    def fail(self, call: int) -> None:
        """Ends the call as failed."""
        ...

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Releases a standing call that has ended on the exchange's side."""
        ...


@dataclass(frozen=True, slots=True)
class SetUpOrder:
    """One attempt that an exchange port is to carry out."""

    offer: Offer
    address: bytes  # of the exchange
    timeout_ms: float  # the core cancels the attempt after this time


class ExchangePort(Protocol):
    """How the core reaches the exchanges of one kind."""

    def set_up(self, order: SetUpOrder) -> None:
        """Sends the set-up of an attempt."""
        ...

    def cancel(self, call: int, address: bytes) -> None:
        """Gives up an unanswered attempt."""
        ...

    def release(self, call: int, address: bytes) -> None:
        """Releases a standing call."""
        ...

    def probe(self, address: bytes) -> None:
        """Sends a probe, whose result is reported to `Core.on_probe_result`."""
        ...


class OtherProcess(Protocol):
    """The process that this one replaces, which still holds calls whose callers are connected here."""

    def holds(self, call: int) -> bool:
        """Returns whether the other process holds the call."""
        ...

    def give_up(self, call: int) -> None:
        """Reports that the caller has given up."""
        ...

    def hang_up(self, call: int) -> bool:
        """Reports that the caller has hung up; returns False if the call does not stand there."""
        ...

    def report_end(self, call: int, outcome: interface.Outcome) -> None:
        """Reports that a standing call has ended on the exchange's side."""
        ...


class Timer(Protocol):
    """A callback scheduled on a clock."""

    def cancel(self) -> None:
        """Prevents the callback; has no effect once it has run."""
        ...


class Clock(Protocol):
    """The clock of the core, in milliseconds since the Unix epoch."""

    now: float

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Schedules `callback` for `due_at`; a time in the past counts as now."""
        ...


@dataclass(slots=True)
class Attempt:
    """An attempt that is open or whose call stands."""

    number: int  # index among the attempts of its call
    exchange: interface.Exchange
    port: ExchangePort
    sent_at: float
    timer: Timer | None = None  # expires at the end of the attempt's own time limit, if it has one


@dataclass(slots=True)
class CallState:
    """One call, from its offer until it is removed from the call table."""

    offer: Offer
    caller: CallerPort
    accepted_at: float
    deadline_at: float
    attempts: int = 0  # number of attempts made so far
    attempt: Attempt | None = None  # the open one, or the one whose call stands
    earliest_send_at: float = 0.0  # the next attempt must not be sent before this
    final: Final | None = None
    standing: bool = False
    timer: Timer | None = None  # expires at the deadline
    has_run: bool = False  # an exchange has answered it, or ended it as a call that stood

    @property
    def call(self) -> int:
        """The id of the call."""
        return self.offer.call

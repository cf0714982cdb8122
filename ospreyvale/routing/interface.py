"""The interface between a session controller and its decision module: settings, events in, actions out.

Times are milliseconds on the controller's clock.  Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

Address = bytes  # opaque name of one machine; equal bytes name the same machine


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # it was never sent, or did not reach the remote exchange


class Cause(Enum):
    """The cause that the remote or the own exchange gave for the end of an attempt."""

    NONE = 0
    NO_CIRCUIT = 1  # the circuit group toward the exchange has no free circuit
    CRANKBACK = 2  # a tandem turned the call back
    PROCESSOR_FULL = 3
    LINES_BUSY = 4  # of the called number
    CRANKBACK_FULL = 18  # a tandem turned the call back: the processor of the destination is full


class RefusalReason(Enum):
    """Why a call was refused or failed, for the log; it has no effect on the call."""

    UNSPECIFIED = ""
    UNKNOWN_DESTINATION = "unknown_destination"
    DESTINATION_NOT_READY = "destination_not_ready"  # draining or gone
    ATTEMPTS_USED = "attempts_used"  # as many attempts as the settings allow
    TIMING_POLICY = "timing_policy"  # which allows no further attempt
    NUMBER_BUSY = "number_busy"
    HELD = "held"  # by a hold of the own or the remote exchange, until its wait was over
    NO_ROUTE = "no_route"  # no circuit, tandem or share of a cold exchange, until its wait was over
    EXPIRED = "expired"  # the caller's time is over
    OVER_UNANSWERED = "over_unanswered"  # it stood at an exchange and ended before its answer arrived


class Condition(Enum):
    """The condition of an exchange in the roster."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls."""

    aim_ms: float  # a call set up within this time earns its full worth
    deadline_ms: float  # a call set up later than that, but within this time, earns its late worth
    worth: float
    late_worth: float  # as a share of the worth
    holding_time_ms: float  # mean duration of a call; 0: not given


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that an instance of the decision module gets at its start."""

    own_number: int  # number of the own exchange; -1 where the exchanges are pools shared by all
    instances: int  # number of session controllers, each with one decision module
    index: int  # index of this one among them
    seed: int
    classes: tuple[CallClass, ...]
    max_attempts: int
    probing: bool  # probes may be sent
    peers: bool  # messages to other session controllers may be sent
    cancel: bool  # attempts may be cancelled
    release_ms: float  # minimum wait before a call whose last attempt ended in doubt is sent again
    resend_ms: float  # an unanswered set-up is repeated after this time; 0: never
    answer_grace_ms: float  # time after the caller's deadline in which the final answer still counts
    max_retry_after_ms: float  # longest retry advice that callers follow; 0: none is given
    cold_start_share: float  # minimum share of its capacity that a processor has right after its start
    cold_ms: float  # maximum time until a processor is warm, that is, has its full capacity
    cold_overload_multiple: float  # a cold exchange fails if its load exceeds this multiple of its capacity
    cold_overload_ms: float  # duration of such an overload after which it fails
    report_fields: tuple[str, ...] = ()  # names of the values in the report of an exchange, in order
    pools_by_class: tuple[tuple[int, ...], ...] = ()  # exchanges that serve a class as tandems; empty: all do

    def __post_init__(self) -> None:
        for name in ("instances", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1")
        if not self.classes:
            raise ValueError("classes must not be empty")


@dataclass(frozen=True, slots=True)
class Exchange:
    """One entry of the roster."""

    number: int  # an exchange keeps it when another machine replaces the old one
    address: Address
    condition: Condition
    started_ms: float  # start time of its process; 0: long ago
    zone: int = 0


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Roster:
    """The list of exchanges, or changes to it; exchanges that a full list leaves out are gone."""

    full: bool
    exchanges: tuple[Exchange, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A set-up request: from a subscriber, or in transit from another exchange."""

    call: int
    destination: int  # number of an exchange
    number: int  # called number
    patience_ms: float  # how long the caller waits for the final answer
    width: int  # circuits that the call needs
    via: int  # advised tandem, or where a call in transit comes from; -1: none
    call_class: int
    transit: bool = False
    redialled: bool = False
    cut: bool = False
    earliest_send_at: float = 0.0  # later than now if an attempt of an earlier offer of the call is in doubt


@dataclass(frozen=True, slots=True)
class Adopted:
    """A standing call was taken over from the process that this one replaces."""

    call: Call
    address: Address


@dataclass(frozen=True, slots=True)
class Standing:
    """The set-up of an attempt is complete: the call stands."""

    call: int
    attempt: int
    address: Address
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt or a standing call ended.  `settled`: the call needs no final answer any more."""

    call: int
    attempt: int
    address: Address
    outcome: Outcome
    delay_ms: float
    settled: bool
    cause: Cause = Cause.NONE
    wait_ms: float = 0.0  # wait that a full processor advises
    report: tuple[float, ...] = ()  # free and all circuits of the group, where reported


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller has given up: no answer is owed."""

    call: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe; with OK and a delay of 0, an unsolicited report of a changed circuit group."""

    address: Address
    outcome: Outcome
    delay_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Woken:
    """A timer set by `Wake` has expired."""

    token: int  # as in `Wake`


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another session controller."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LearnedExchange:
    """Measurements of one exchange, as an instance hands them to the one that replaces it."""

    number: int
    address: Address
    started_at: float
    delay_ms: float
    measured_at: float
    min_delay_ms: float
    sample_count: int
    held: tuple[bool, ...]  # by value class: whether the hold of the exchange is set
    recent_set_ups: tuple[float, ...]  # times of set-ups sent while the exchange was cold


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What an instance has learned, for the one that replaces it; rates are per second."""

    learned_rate: float  # set-ups that the own processor can handle
    set_up_rate: float
    peak_carried_rate: float
    carried_rate: float
    own_lagging: bool
    exchanges: tuple[LearnedExchange, ...]


Event = Roster | Call | Adopted | Standing | Ended | Abandoned | Probed | Woken | PeerMessage


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send the call to the exchange: its destination, or a tandem."""

    call: int
    address: Address
    timeout_ms: float  # 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call; a call in transit is turned back to the exchange that it came from (crankback)."""

    call: int
    retry_after_ms: float
    reason: RefusalReason = field(default=RefusalReason.UNSPECIFIED, repr=False, compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """End the call as failed."""

    call: int
    reason: RefusalReason = field(default=RefusalReason.UNSPECIFIED, repr=False, compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up one attempt."""

    call: int
    attempt: int  # index among the attempts of the call


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an exchange."""

    address: Address


@dataclass(frozen=True, slots=True)
class Wake:
    """Set a timer: `Woken` with the same token follows at this time."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to another session controller, or to all if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the log."""

    text: str


Action = SetUp | Refuse | Fail | Cancel | Probe | Wake | Tell | Note

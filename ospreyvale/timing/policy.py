"""The timing policy: call classes, their routes and the attempts of each route.

A class that no policy limits has the default timing: an attempt may take until the caller gives up, and the
next one is sent as soon as the rules allow.

Times are in milliseconds.  The fields of `AttemptTiming`, `BackOff` and `Budget` are keys of the JSON that
`GET /v1/timing` returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_ROUTES_PER_CLASS = 6  # named ones; with the two general routes the checker goes through 8^4 orders
MAX_ATTEMPTS_PER_ROUTE = 8


@dataclass(frozen=True, slots=True)
class SiteCallClass:
    """A call class as the platform's settings define it."""

    name: str
    aim_ms: float  # a call that stands within this time earns its whole worth
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that a later call earns


@dataclass(frozen=True, slots=True)
class SiteRules:
    """What a policy is checked against: the platform's rules and the limits of the decision module."""

    classes: tuple[SiteCallClass, ...]
    release_ms: float  # minimum wait after an attempt that ended in doubt (Specifics.ReleaseMs)
    max_attempts: int  # of one call (Limits.MaxAttempts)
    answer_grace_ms: float  # added to the caller's time for the final answer (Contract.GraceToAnswerMs)
    zones: tuple[str, ...]
    exchanges: tuple[int, ...]  # numbers registered at the start; empty: any number is accepted
    max_tandems: int  # different tandems that the decision module tries for one call
    timer_tick_ms: float  # the decision module may act this much later than the due time


@dataclass(frozen=True, slots=True)
class AttemptTiming:
    """One attempt over a route."""

    wait_ms: float  # how long it may take
    gap_ms: float  # wait before it, after an attempt that ended in doubt
    copy_after_ms: float = 0.0  # of a second copy: earliest time after the first set-up was sent


@dataclass(frozen=True, slots=True)
class BackOff:
    """Exponential wait before each further attempt: `first_ms`, times `factor` each time, up to `most_ms`."""

    first_ms: float
    most_ms: float
    factor: float
    jitter: float  # share by which the wait may be shorter or longer

    def base_wait_ms(self, failed_attempts: int) -> float:
        """Returns the wait before the attempt that follows `failed_attempts`, without jitter."""
        return min(self.most_ms, self.first_ms * self.factor ** (failed_attempts - 1))

    def min_wait_ms(self, failed_attempts: int) -> float:
        """Returns the wait with the lowest jitter."""
        return self.base_wait_ms(failed_attempts) * (1.0 - self.jitter)

    def max_wait_ms(self, failed_attempts: int) -> float:
        """Returns the wait with the highest jitter."""
        return self.base_wait_ms(failed_attempts) * (1.0 + self.jitter)

    def wait_ms(self, failed_attempts: int, jitter_draw: float) -> float:
        """Returns the wait for a random number from 0 to 1."""
        return self.base_wait_ms(failed_attempts) * (1.0 + self.jitter * (2.0 * jitter_draw - 1.0))


@dataclass(frozen=True, slots=True)
class Budget:
    """The further attempts that a class may send.

    There is a token bucket for the class and one for each destination.
    """

    per_second: float
    share: float  # tokens that each first attempt adds
    per_destination: float  # tokens per second of one destination


@dataclass(frozen=True, slots=True)
class Route:
    """The attempts of calls over one kind of route."""

    kind: str  # "direct", or "transit": through another exchange
    zone: int = -1  # zone of that exchange; -1: any
    exchange: int = -1  # number of that exchange; -1: any
    via: str = ""  # zone or exchange as the document writes it
    attempts: tuple[AttemptTiming, ...] = ()  # empty: limited by the caller's time and the site's rules only
    back_off: BackOff | None = None

    @property
    def title(self) -> str:
        """The route's name in messages and in JSON."""
        return f"{self.kind} via {self.via}" if self.via else self.kind

    def matches(self, direct: bool, exchange: int, zone: int) -> bool:
        """Returns whether a set-up to that exchange takes this route."""
        if direct:
            return self.kind == "direct"
        return self.kind == "transit" and self.exchange in (-1, exchange) and self.zone in (-1, zone)


@dataclass(frozen=True, slots=True)
class ClassTiming:
    """The timing of one call class.

    `routes` is ordered from the most specific to the most general and covers each kind.
    """

    name: str
    gives_up_ms: float  # when its callers stop waiting
    routes: tuple[Route, ...]
    budget: Budget | None = None
    bounded: bool = True  # False: the document sets nothing for the class, which has the default timing

    def route_index(self, direct: bool, exchange: int, zone: int) -> int:
        """Returns the index of the first route that a set-up to that exchange takes; raises ValueError."""
        for index, route in enumerate(self.routes):
            if route.matches(direct, exchange, zone):
                return index
        raise ValueError(f"{self.name} has no route for this set-up")  # the parser adds the general routes


@dataclass(frozen=True, slots=True)
class Policy:
    """A complete timing policy."""

    classes: tuple[ClassTiming, ...]  # in the order of the settings
    path_ms: float = 0.0  # longest one-way delay to callers and exchanges
    digest: str = ""  # of the document
    document_text: str = field(default="", repr=False, compare=False)  # text of the document

    def answer_due_ms(self, site: SiteRules, class_timing: ClassTiming) -> float:
        """Returns when the final answer must be sent, counted from the arrival of the set-up."""
        return class_timing.gives_up_ms - self.answer_lead_ms(site.answer_grace_ms)

    def answer_lead_ms(self, answer_grace_ms: float) -> float:
        """Returns how long before the caller's limit a call is answered: the path delay beyond the grace."""
        return max(0.0, self.path_ms - answer_grace_ms)


def required_gap_ms(
    attempt: AttemptTiming, back_off: BackOff | None, failed_attempts: int, in_doubt: bool, jitter_draw: float
) -> float:
    """Returns the wait before an attempt; `jitter_draw` is a random number from 0 to 1."""
    gap_ms = attempt.gap_ms if in_doubt else 0.0
    return gap_ms if back_off is None else max(gap_ms, back_off.wait_ms(failed_attempts, jitter_draw))

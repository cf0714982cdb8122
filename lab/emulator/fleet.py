"""A fleet: real controllers (core, call table, decision module, timing policy) on modelled exchanges.

All parts share one simulated clock.

Each pair of exchanges shares one circuit group.  A set-up costs work at the originating exchange and at each
exchange on its route, and so do its answer and its release on the way back.  A call over a tandem passes the
controller of that exchange, which forwards it or cranks it back.  Every message across a port is written to
`Record`, which is the only input of the checker.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lab.emulator.clock import Clock, ProcessClock, Timer
from lab.emulator.exchange import Costs, Exchange, ExchangeParameters
from lab.emulator.streams import RandomStreams
from ospreyvale.routing import interface
from ospreyvale.routing.core import Core
from ospreyvale.routing.stages.relay import AttemptEnd
from ospreyvale.routing.state import Offer, SetUpOrder
from ospreyvale.timing.engine import NO_TIMING_POLICY, TimingEngine
from ospreyvale.timing.policy import Policy, SiteRules

START_MS = 1_000_000.0  # time of the clock at the start of a run
CLASS_NAMES = ("stock-check", "item-hold")
CLASS_SHARES = (0.94, 0.06)  # of the calls
CLASSES = (  # aim_ms, deadline_ms, worth, late_worth, holding_time_ms
    interface.CallClass(1500.0, 9000.0, 1.0, 0.25, 11_000.0),
    interface.CallClass(1000.0, 6000.0, 5.0, 0.25, 5_500.0),
)
CUSTOMERS = ("moda-rila", "obuvki-struma", "detski-dom")
CUSTOMER_SHARES = (0.61, 0.25, 0.14)  # of the calls
DRAIN_GRACE_MS = 250.0
RELEASE_MS = 300.0  # between an attempt in doubt and the next
MAX_ATTEMPTS = 4
MAX_REDIALS = 3  # for each call that a caller wants
REDIAL_DELAY_MS = (400.0, 1_600.0)  # bounds of the uniform distribution


@dataclass
class Record:
    """Messages across the ports and other events: (milliseconds since `START_MS`, event, fields)."""

    clock: Clock
    rows: list[tuple[float, str, tuple[Any, ...]]] = field(default_factory=list)

    def __call__(self, event: str, *fields: Any) -> None:
        self.rows.append((round(self.clock.now - START_MS, 3), event, fields))

    def digest(self) -> str:
        """Returns a SHA-256 digest of all rows, to compare two runs."""
        return hashlib.sha256(repr(self.rows).encode()).hexdigest()


@dataclass(slots=True)
class Attempt:
    """One attempt of one controller: its set-up and the circuit that it holds."""

    controller: Controller
    order: SetUpOrder
    remote: Exchange
    address: bytes  # of the remote exchange when the set-up was sent
    group_key: tuple[int, int]
    state: str = "out"  # out (pending), stands or over (ended)
    sent_at: float = 0.0
    holds_circuit: bool = True
    standing_at: float = 0.0
    end_timer: Timer | None = None  # for the end of the holding time
    onward_attempt: Attempt | None = None  # the tandem controller's attempt toward the destination


@dataclass(slots=True)
class CallRequest:
    """One call that a caller wants, with all its redials."""

    origin: int
    destination: int
    call_class: int
    customer: int
    first_dialled_at: float
    patience_ms: float
    number: int  # called number
    dial_count: int = 1
    call: int = 0  # call id of the last dial
    incarnation: int = 0  # of the controller at the last dial
    result: str = ""  # of the last dial: stands, refused, failed, given_up, cut; empty while pending
    answered_at: float = -1.0  # negative while unanswered, and after the call was cut
    give_up_timer: Timer | None = None


class Controller:
    """One controller across restarts: `ExchangePort`, and `CallerPort` of the callers of its own exchange."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.incarnation = 0
        self.attempts: dict[int, Attempt] = {}
        self.running = False
        self.start()

    def start(self) -> None:
        """Starts a new process without state; it receives the list of exchanges and the state of groups."""
        fleet = self.fleet
        self.incarnation += 1
        self.running = True
        self.attempts = {}
        self.clock = ProcessClock(fleet.clock)
        settings = interface.Settings(
            own_number=self.number,
            instances=fleet.size,
            index=self.number,
            seed=fleet.seed * 101 + self.number * 7 + self.incarnation,
            classes=CLASSES,
            max_attempts=MAX_ATTEMPTS,
            probing=True,
            peers=False,
            cancel=True,
            release_ms=RELEASE_MS,
            resend_ms=0.0,
            answer_grace_ms=20.0,
            max_retry_after_ms=2_000.0,
            cold_start_share=0.33,
            cold_ms=14_000.0,
            cold_overload_multiple=3.0,
            cold_overload_ms=1_000.0,
            report_fields=("free", "size"),
        )
        timing = (
            TimingEngine(fleet.policy, fleet.site, fleet.streams[f"jitter {self.number}"].uniform)
            if fleet.policy is not None and fleet.site is not None
            else NO_TIMING_POLICY
        )
        self.core = Core(self.clock, settings, DRAIN_GRACE_MS, lambda event, **more: None, timing)  # type: ignore[arg-type]
        self.on_exchange_list(fleet.exchange_list())
        for other in range(fleet.size):
            if other != self.number:
                self.update_group(other)

    def crash(self) -> None:
        """Ends the process: its pending set-ups are reset, and standing calls stay up."""
        self.running = self.clock.alive = False
        for attempt in self.attempts.values():
            if attempt.state == "out":
                self.fleet.abandon(attempt)
        self.fleet.record("died", self.number, self.incarnation)

    def on_exchange_list(self, entries: tuple[interface.Exchange, ...]) -> None:
        """Handles a new list of exchanges."""
        if self.running:
            for entry in entries:
                self.fleet.record("told", self.number, self.incarnation, entry.address, entry.condition.value)
            self.core.update_exchanges(self, True, entries)

    def update_group(self, other: int) -> None:
        """Notifies the core of the free circuits and the size of the group toward another exchange."""
        free, size = self.fleet.groups[self.fleet.group_key(self.number, other)]
        if self.running:
            self.core.on_group_change(self.fleet.exchanges[other].address, (float(free), float(size)))

    # ---- ExchangePort ----

    def set_up(self, order: SetUpOrder) -> None:
        """Seizes a circuit and sends a set-up.

        The attempt ends at once if no exchange has the address, if the own exchange is unavailable or if no
        circuit is free.
        """
        fleet = self.fleet
        call = order.offer.call
        remote = fleet.exchange_by_address.get(order.address)
        fleet.record("out", self.number, self.incarnation, call, order.address)
        if remote is None or not fleet.exchanges[self.number].available:
            self._schedule_end(
                call, order.address, AttemptEnd(interface.Outcome.MOOT, interface.Cause.PROCESSOR_FULL)
            )
            return
        group_key = fleet.group_key(self.number, remote.number)
        if fleet.groups[group_key][0] < 1:
            self._schedule_end(
                call, order.address, AttemptEnd(interface.Outcome.MOOT, interface.Cause.NO_CIRCUIT)
            )
            return
        attempt = self.attempts[call] = Attempt(
            self, order, remote, order.address, group_key, sent_at=self.clock.now
        )
        fleet.change_free_circuits(group_key, -1)
        if order.offer.transit:  # the tandem exchange has already processed this set-up
            fleet.transmit(self.number, remote.number, lambda: fleet.on_set_up_arrival(attempt))
        else:
            fleet.exchanges[self.number].set_up(
                lambda: fleet.transmit(self.number, remote.number, lambda: fleet.on_set_up_arrival(attempt)),
                lambda wait: fleet.end_attempt(
                    attempt, AttemptEnd(interface.Outcome.FULL, interface.Cause.PROCESSOR_FULL, wait)
                ),
            )

    def _schedule_end(self, call: int, address: bytes, end: AttemptEnd) -> None:
        """Reports an end in a timer event of its own, as a network connection would."""

        def report_end() -> None:
            self.fleet.record("end", self.number, self.incarnation, call, end.outcome.value)
            self.core.on_end(call, address, end)

        self.clock.call_at(self.clock.now, report_end)

    def cancel(self, call: int, address: bytes) -> None:
        """Abandons a pending attempt."""
        self.fleet.record("cancel", self.number, self.incarnation, call)
        attempt = self.attempts.pop(call, None)
        if attempt is not None:
            self.fleet.abandon(attempt)

    def release(self, call: int, target: Any) -> None:
        """Releases a call: toward an exchange (its address), or toward the caller (the outcome)."""
        if isinstance(target, bytes):
            attempt = self.attempts.pop(call, None)
            if attempt is not None:
                self.fleet.abandon(attempt)
        else:
            self.fleet.on_call_end(self, call, target)

    def release_transit(self, call: int) -> None:
        """Handles the release of a call in transit by the preceding controller, answered or not."""
        if self.running and not self.core.hang_up(call):
            self.core.give_up(call)

    def probe(self, address: bytes) -> None:
        """Sends a probe and reports its result, or a time-out after 2 s.

        If no exchange has the address, reports after 500 ms that the connection failed.
        """
        fleet = self.fleet
        sent_at = self.clock.now
        remote = fleet.exchange_by_address.get(address)
        if remote is None:
            self.clock.call_at(
                sent_at + 500.0,
                lambda: self.core.on_probe_result(address, interface.Outcome.CONNECT_FAILED, 500.0),
            )
            return
        incarnation = self.incarnation
        finished = [False]
        number = remote.number

        def on_report(report: tuple[float, ...]) -> None:
            def on_arrival() -> None:
                if self.running and self.incarnation == incarnation and not finished[0]:
                    finished[0] = True
                    free, size = fleet.groups.get(fleet.group_key(self.number, number), (0, 0))
                    self.core.on_probe_result(
                        address,
                        interface.Outcome.OK,
                        self.clock.now - sent_at,
                        (float(free), float(size), *report),
                    )

            fleet.transmit(number, self.number, on_arrival)

        def on_timeout() -> None:
            if not finished[0]:
                finished[0] = True
                self.core.on_probe_result(address, interface.Outcome.TIMEOUT, 2_000.0)

        self.clock.call_at(sent_at + 2_000.0, on_timeout)
        fleet.transmit(self.number, remote.number, lambda: remote.probe(on_report))

    # ---- CallerPort ----

    def answer(self, call: int, description: bytes) -> None:
        """Reports to the caller that the call stands."""
        self.fleet.on_answer(self, call, "stands")

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Reports to the caller that the call is refused."""
        self.fleet.on_answer(self, call, "refused", back_off_ms)

    def fail(self, call: int) -> None:
        """Reports to the caller that the call has failed."""
        self.fleet.on_answer(self, call, "failed")


class TandemPort:
    """The `CallerPort` of a call in transit: its caller is the attempt of the preceding controller."""

    def __init__(self, fleet: Fleet, attempt: Attempt, tandem: Controller) -> None:
        self.fleet = fleet
        self.attempt = attempt
        self.tandem = tandem

    def answer(self, call: int, description: bytes) -> None:
        """Sends the answer back to the preceding controller."""
        self.fleet.record("answer", self.tandem.number, self.tandem.incarnation, call, "stands")
        self.attempt.onward_attempt = self.tandem.attempts.get(call)
        self.fleet.send_answer(self.attempt)

    def refuse(self, call: int, back_off_ms: float) -> None:
        """Cranks the call back to the preceding controller."""
        self.fleet.record("answer", self.tandem.number, self.tandem.incarnation, call, "refused")
        self.fleet.send_end(self.attempt, AttemptEnd(interface.Outcome.FULL, interface.Cause.CRANKBACK))

    def fail(self, call: int) -> None:
        """Reports the failure to the preceding controller."""
        self.fleet.record("answer", self.tandem.number, self.tandem.incarnation, call, "failed")
        self.fleet.send_end(self.attempt, AttemptEnd(interface.Outcome.ERROR))

    def release(self, call: int, outcome: interface.Outcome) -> None:
        """Releases the call toward the preceding controller."""
        self.fleet.send_end(self.attempt, AttemptEnd(outcome))


class Fleet:
    """A number of exchanges with one controller each, their callers and the network between them."""

    def __init__(
        self,
        seed: int,
        size: int = 5,
        load: float = 0.9,
        costs: Costs | None = None,
        parameters: ExchangeParameters | None = None,
        policy: Policy | None = None,
        site: SiteRules | None = None,
        circuits: int = 120,
        calls_per_second: float = 11.7,
    ) -> None:
        self.seed = seed
        self.size = size
        self.load = load
        self.policy = policy
        self.site = site
        self.clock = Clock(START_MS)
        self.streams = RandomStreams(seed)
        self.record = Record(self.clock)
        self.costs = costs or Costs()
        self.parameters = parameters or ExchangeParameters()
        self.calls_per_second = calls_per_second  # offered to each exchange at a load of 1
        self.bus_ms = 2_000.0  # delay of the list of exchanges
        self.exchanges = [
            Exchange(self.clock, n, n % 3, self.costs, self.parameters, self.streams[f"noise {n}"])
            for n in range(size)
        ]
        for exchange in self.exchanges:
            exchange.on_cold_overload = lambda exchange=exchange: self.record(  # type: ignore[misc]
                "fell", exchange.number, exchange.generation
            )
        self.exchange_by_address: dict[bytes, Exchange] = {
            exchange.address: exchange for exchange in self.exchanges
        }
        self.draining: dict[bytes, interface.Exchange] = {}
        # Each group serves calls from both ends, hence the factor 2; 1.25 is reserve.
        group_size = max(4, round(2.0 * circuits / max(1, size - 1) * 1.25))
        self.groups = {(a, b): (group_size, group_size) for a in range(size) for b in range(a + 1, size)}
        stream = self.streams["delays"]
        # In ms: 8 to 25 between zones and 1 within a zone; the zone of an exchange is its number modulo 3.
        self.delays = {
            group_key: stream.uniform(8.0, 25.0) if (group_key[1] - group_key[0]) % 3 else 1.0
            for group_key in self.groups
        }
        self.open_requests: dict[int, CallRequest] = {}  # by call id, while the call is pending or stands
        self.requests: list[CallRequest] = []
        self.counts: Counter[str] = Counter()
        self.call_count = 0
        self.callers_until = START_MS
        self.destination_weights = [1.0] * size
        self.controllers = [Controller(self, number) for number in range(size)]

    # ---- the network ----

    @staticmethod
    def group_key(a: int, b: int) -> tuple[int, int]:
        """Returns the key of the circuit group between two exchanges."""
        return (a, b) if a < b else (b, a)

    def transmit(self, source: int, destination: int, on_arrival: Callable[[], None]) -> None:
        """Calls back after the network delay between two exchanges, or after 0.1 ms within one."""
        self.clock.call_at(
            self.clock.now + self.delays.get(self.group_key(source, destination), 0.1), on_arrival
        )

    def change_free_circuits(self, group_key: tuple[int, int], change: int) -> None:
        """Changes the number of free circuits of a group and notifies both ends."""
        free, size = self.groups[group_key]
        self.groups[group_key] = (free + change, size)
        for number, other in (group_key, group_key[::-1]):
            self.controllers[number].update_group(other)

    def exchange_list(self) -> tuple[interface.Exchange, ...]:
        """Returns the current list of exchanges: those that are available and those that drain."""
        return tuple(
            interface.Exchange(
                exchange.number,
                exchange.address,
                interface.Condition.READY,
                exchange.started_ms,
                exchange.zone,
            )
            for exchange in self.exchanges
            if exchange.available and exchange.address not in self.draining
        ) + tuple(self.draining.values())

    def publish_exchange_list(self) -> None:
        """Sends the current list to every controller, after the delay `bus_ms`."""
        entries = self.exchange_list()
        for controller in self.controllers:
            self.clock.call_at(self.clock.now + self.bus_ms, lambda c=controller: c.on_exchange_list(entries))  # type: ignore[misc]

    # ---- calls ----

    def on_set_up_arrival(self, attempt: Attempt) -> None:
        """Handles a set-up that has arrived at the remote exchange."""
        remote = attempt.remote
        offer = attempt.order.offer
        if remote.address != attempt.address or not remote.available:
            self.send_end(
                attempt,
                AttemptEnd(
                    interface.Outcome.RESET
                    if remote.address != attempt.address
                    else interface.Outcome.CONNECT_FAILED
                ),
            )
            return
        remote.set_up(
            lambda: self._on_set_up_processed(attempt, offer),
            lambda wait: self.send_end(
                attempt, AttemptEnd(interface.Outcome.FULL, interface.Cause.PROCESSOR_FULL, wait)
            ),
        )

    def _on_set_up_processed(self, attempt: Attempt, offer: Offer) -> None:
        remote = attempt.remote
        if attempt.state != "out":
            remote.wasted_set_ups += 1
            return
        if remote.number == offer.destination:
            remote.answer(lambda: self.send_answer(attempt))
            return
        tandem = self.controllers[remote.number]
        remaining_ms = attempt.order.timeout_ms - (self.clock.now - attempt.sent_at)
        if not tandem.running or remaining_ms <= 0.0:
            self.send_end(attempt, AttemptEnd(interface.Outcome.FULL, interface.Cause.CRANKBACK))
            return
        onward_offer = Offer(
            offer.call,
            offer.destination,
            offer.number,
            offer.number_text,
            remaining_ms,
            offer.call_class,
            offer.class_name,
            offer.description,
            via=attempt.controller.number,
            transit=True,
        )
        self.record("offered", tandem.number, tandem.incarnation, offer.call, remaining_ms)
        tandem.core.offer(onward_offer, TandemPort(self, attempt, tandem))

    def send_answer(self, attempt: Attempt) -> None:
        """Sends the answer back to the originating exchange, where it is queued like any other work."""
        own = self.exchanges[attempt.controller.number]
        call = attempt.order.offer.call
        address = attempt.address
        # At the destination: the called subscriber hangs up after the holding time.
        if attempt.onward_attempt is None and attempt.state == "out":
            hold_ms = self.streams["holds"].exponential(
                CLASSES[attempt.order.offer.call_class].holding_time_ms
            )
            attempt.end_timer = self.clock.call_at(
                self.clock.now + hold_ms, lambda: self._start_release(attempt)
            )

        def on_processed() -> None:
            if (
                attempt.state == "out"
                and attempt.controller.running
                and attempt.controller.attempts.get(call) is attempt
            ):
                attempt.state = "stands"
                attempt.standing_at = self.clock.now
                self.record("stood", attempt.controller.number, attempt.controller.incarnation, call)
                if not attempt.controller.core.on_answer(call, address, b"d"):
                    self.abandon(attempt)

        self.transmit(attempt.remote.number, own.number, lambda: own.answer(on_processed))

    def send_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Sends an end back to the controller of the attempt."""
        self.transmit(
            attempt.remote.number, attempt.controller.number, lambda: self.end_attempt(attempt, end)
        )

    def end_attempt(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Ends a pending attempt or the call that stands on it, and reports it to the controller."""
        call = attempt.order.offer.call
        controller = attempt.controller
        if attempt.state == "over":
            return
        self.close_attempt(attempt)
        if controller.running and controller.attempts.get(call) is attempt:
            del controller.attempts[call]
            self.record("end", controller.number, controller.incarnation, call, end.outcome.value)
            controller.core.on_end(call, attempt.address, end)

    def _start_release(self, attempt: Attempt) -> None:
        """Queues the release at the remote exchange and then sends it back."""
        if attempt.state != "over":
            attempt.remote.release(lambda: self.send_end(attempt, AttemptEnd(interface.Outcome.OK)))

    def abandon(self, attempt: Attempt) -> None:
        """Abandons an attempt for its controller; the remote exchange processes the release.

        A set-up that the remote exchange has already queued is processed nevertheless.  The circuit is free
        after 0.9 of the release time, at the end of which the controller may send the call again.
        """
        if attempt.state == "over":
            return
        attempt.state = "over"
        if attempt.end_timer is not None:
            attempt.end_timer.cancel()
        self.transmit(
            attempt.controller.number, attempt.remote.number, lambda: attempt.remote.release(lambda: None)
        )
        self.clock.call_at(self.clock.now + 0.9 * RELEASE_MS, lambda: self._release_circuit(attempt))
        tandem = self.controllers[attempt.remote.number]
        call = attempt.order.offer.call
        if attempt.remote.number != attempt.order.offer.destination and tandem.running:
            self.transmit(attempt.controller.number, tandem.number, lambda: tandem.release_transit(call))

    def close_attempt(self, attempt: Attempt) -> None:
        """Marks an attempt as ended and frees its circuit at once."""
        attempt.state = "over"
        if attempt.end_timer is not None:
            attempt.end_timer.cancel()
        self._release_circuit(attempt)

    def _release_circuit(self, attempt: Attempt) -> None:
        if attempt.holds_circuit:
            attempt.holds_circuit = False
            self.change_free_circuits(attempt.group_key, 1)

    # ---- callers ----

    def start_callers(self, duration_ms: float) -> None:
        """Generates calls for a duration, as an open loop: new calls do not depend on answers."""
        self.callers_until = self.clock.now + duration_ms
        for number in range(self.size):
            self._schedule_next_call(number)
        self._shift_destinations()

    def _schedule_next_call(self, number: int) -> None:
        mean = 1_000.0 / (self.calls_per_second * self.load)
        at = self.clock.now + self.streams[f"arrivals {number}"].exponential(mean)
        if at < self.callers_until:
            self.clock.call_at(at, lambda: self._on_new_call(number))

    def _on_new_call(self, number: int) -> None:
        stream = self.streams[f"calls {number}"]
        weights = [0.0 if n == number else weight for n, weight in enumerate(self.destination_weights)]
        call_class = stream.choose_index(CLASS_SHARES)
        patience_ms = CLASSES[call_class].deadline_ms * stream.uniform(0.3, 0.4)
        request = CallRequest(
            number,
            stream.choose_index(weights),
            call_class,
            stream.choose_index(CUSTOMER_SHARES),
            self.clock.now,
            patience_ms,
            int(stream.uniform() * 2**40),
        )
        self.requests.append(request)
        self._dial(request)
        self._schedule_next_call(number)

    def _shift_destinations(self) -> None:
        """Draws new weights of the destinations, every 11 to 19 s while calls are generated."""
        stream = self.streams["drift"]
        self.destination_weights = [stream.uniform(0.6, 1.4) for _ in range(self.size)]
        if self.clock.now < self.callers_until:
            self.clock.call_at(self.clock.now + stream.uniform(11_000.0, 19_000.0), self._shift_destinations)

    def _dial(self, request: CallRequest) -> None:
        controller = self.controllers[request.origin]
        self.call_count += 1
        request.call = self.call_count << 8 | request.origin
        request.result = ""
        if not controller.running:
            self._schedule_redial(request, 0.0)
            return
        request.incarnation = controller.incarnation
        self.open_requests[request.call] = request
        offer = Offer(
            request.call,
            request.destination,
            request.number,
            f"{request.number:016x}",
            request.patience_ms,
            request.call_class,
            CLASS_NAMES[request.call_class],
            b"d",
        )
        self.record("offered", controller.number, controller.incarnation, request.call, request.patience_ms)
        # 25 ms after the patience ends: an answer within the answer grace of 20 ms is still in time.
        request.give_up_timer = self.clock.call_at(
            self.clock.now + request.patience_ms + 25.0, lambda: self._on_give_up(request, request.call)
        )
        controller.core.offer(offer, controller)

    def _on_give_up(self, request: CallRequest, call: int) -> None:
        if request.call == call and not request.result:
            request.result = "given_up"
            self.record("left", request.origin, request.incarnation, call)
            controller = self.controllers[request.origin]
            if controller.running and controller.incarnation == request.incarnation:
                controller.core.give_up(call)
            self.open_requests.pop(call, None)
            self._schedule_redial(request, 0.0)

    def on_answer(self, controller: Controller, call: int, result: str, back_off_ms: float = 0.0) -> None:
        """Handles the final answer to a caller: stands, refused or failed; a caller not served may redial."""
        self.record("answer", controller.number, controller.incarnation, call, result)
        request = self.open_requests.get(call)
        if request is None or request.result:
            return
        request.result = result
        if request.give_up_timer is not None:
            request.give_up_timer.cancel()
        if result == "stands":
            if request.answered_at < 0.0:
                request.answered_at = self.clock.now
        else:
            del self.open_requests[call]
            self._schedule_redial(request, back_off_ms)

    def _schedule_redial(self, request: CallRequest, back_off_ms: float) -> None:
        """Schedules a redial, up to three for each call, if it comes before the deadline of the class."""
        wait_ms = max(back_off_ms, self.streams["redials"].uniform(*REDIAL_DELAY_MS))
        if (
            request.dial_count <= MAX_REDIALS
            and self.clock.now + wait_ms < request.first_dialled_at + CLASSES[request.call_class].deadline_ms
        ):
            request.dial_count += 1
            self.clock.call_at(self.clock.now + wait_ms, lambda: self._dial(request))

    def on_call_end(self, controller: Controller, call: int, outcome: interface.Outcome) -> None:
        """Handles the end of a standing call; one that ends without a release was cut and is not served."""
        self.record("over", controller.number, controller.incarnation, call, outcome.value)
        request = self.open_requests.pop(call, None)
        if request is not None and outcome is not interface.Outcome.OK:
            request.result = "cut"
            request.answered_at = -1.0

    # ---- results ----

    def run(self, duration_ms: float, cooldown_ms: float = 120_000.0) -> None:
        """Generates calls for `duration_ms`, then lets the remaining calls end for `cooldown_ms`.

        At the end it records the free circuits and the size of each group.
        """
        self.start_callers(duration_ms)
        self.clock.run(self.clock.now + duration_ms + cooldown_ms)
        for (a, b), (free, size) in self.groups.items():
            self.record("circuits", a, b, free, size)

    def worst_window_service(self, window_ms: float = 10_000.0) -> float:
        """Returns the lowest service among time windows, each with the calls first dialled in it."""
        windows = {int((request.first_dialled_at - START_MS) // window_ms) for request in self.requests}
        return min(
            (
                self.service(
                    lambda request, w=window: (  # type: ignore[misc]
                        int((request.first_dialled_at - START_MS) // window_ms) == w
                    )
                )
                for window in windows
            ),
            default=0.0,
        )

    def service(self, predicate: Callable[[CallRequest], bool] = lambda request: True) -> float:
        """Returns the earned share of the offered worth of the selected calls.

        A call earns its worth when it stands within the aim of its class, the reduced worth of the class up
        to the deadline, and nothing when it is later or cut.
        """
        offered = earned = 0.0
        for request in self.requests:
            if predicate(request):
                call_class = CLASSES[request.call_class]
                offered += call_class.worth
                if request.answered_at >= 0.0:
                    set_up_ms = request.answered_at - request.first_dialled_at
                    earned += call_class.worth * (
                        1.0
                        if set_up_ms <= call_class.aim_ms
                        else call_class.late_worth
                        if set_up_ms <= call_class.deadline_ms
                        else 0.0
                    )
        return earned / offered if offered else 0.0

"""The decision module: which call is set up, over which exchange, and which is refused.

Events and actions are defined in `ospreyvale/routing/interface.py`.  The mechanism is the measurement-based
admission control of Cao, Fang and Conlon, with two-threshold holds on the own load and with probes; see
`docs/design.md`.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict, deque
from operator import attrgetter

from ospreyvale.routing import interface
from ospreyvale.timing.engine import NO_TIMING_POLICY, CallPlan, NoTimingPolicy, TimingEngine

# Thresholds of holds: (low, high).
RATE_HOLD_BAND = (0.85, 1.0)  # of the learned set-up rate; the paper's band set the hold on an idle processor
CIRCUIT_HOLD_BAND = (0.95, 1.0)  # of all circuits of the own groups; high is 1 so that all can be used
DELAY_HOLD_BAND = (0.4, 0.9)  # set-up delay toward an exchange, as a share of the delay scale
# Delay of a path without load: the minimum of this many samples or more, limited to a maximum.
MIN_PATH_DELAY_SAMPLES = 4
MAX_PATH_DELAY_MS = 100.0
OVERTAKEN_SHARE = 0.5  # of the delay scale: a set-up is lost if one sent this much later is answered before
PROBE_DELAY_FACTOR = 2.0  # a probe passes the remote queue once, a set-up and its answer pass it once each
DELAY_VALIDITY_MS = 1_000.0  # an older measured delay says nothing about the own processor
CRANKBACK_HOLD_BAND = (0.3, 0.5)  # set-ups turned back by tandems, per completed set-up
BUSY_HOLD_BAND = (0.5, 1.5)  # decayed count of busy answers of a number; a single one does not hold it
BUSY_DECAY_MS = 3_000.0  # time constant of that count; short, so that the number is tried again soon
MAX_BUSY_NUMBERS = 4_096  # a remembered busy number that nobody calls again would never be removed
PROBE_INTERVAL_MS = 2_000.0  # time between probes toward an open exchange: the default of the design
FULL_RATE_PROBERS = 6  # instances that may probe at that interval; more instances share the same budget
RECHECK_INTERVAL_MS = 250.0  # toward a closed exchange and the own one, to find an idle processor soon
RATE_AVERAGING_MS = 1_000.0  # time constant of the average set-up rate
CARRIED_AVERAGING_MS = 5_000.0  # the same for carried calls; long, as their rate stands for a capacity
SET_UPS_PER_CALL = 3.0  # work of an outgoing and an incoming call, in set-ups; answers and releases included
# A group of n circuits is planned for a load of a erlangs, where n = a + m * sqrt(a) and m is at most this.
SIZING_MARGIN = 2.4
DEFAULT_HOLDING_TIME_MS = 10_000.0  # mean duration of a call if the settings give none
MIN_COLD_SET_UPS = 2  # minimum number of set-ups per window to a cold exchange, as calls arrive unevenly
LAG_RATE_SHARE = 0.8  # minimum of the learned rate when a lag begins, as a share of the peak carried rate
RATE_GROWTH_PER_S = 0.10  # growth of the learned rate while the own processor does not lag
IDLE_RATE_GROWTH_PER_S = 0.50  # the same while its delay is below the idle share: no call waits there
IDLE_DELAY_SHARE = 0.1  # of the delay scale
TICK_MS = 50.0  # period of the own timer, which sends due probes and decides on waiting calls
# Share of its aim, or of its caller's time if less, that a call may wait here for a circuit or an exchange.
MAX_WAIT_SHARE = 0.5
TRUNK_RESERVATION = 0.10  # share of a group that calls over a tandem may not use
MAX_TANDEMS = 2  # tandems tried for one call
# A tandem that turned a call back is not used for that destination during a back-off.  It doubles with each
# crankback in a row, up to about the time after which the traffic has changed.  A tandem that has served
# starts with a shorter one: it reaches the destination and was full for a moment only.
CRANKBACK_BACK_OFF_MS = 4_000.0
MAX_CRANKBACK_BACK_OFF_MS = 32_000.0
SERVED_BACK_OFF_MS = 1_000.0
MIN_RELATIVE_VALUE = 0.1  # minimum value of a call, as a share of the lowest class worth: none is starved


class Hold:
    """An admission hold with two thresholds: set above the high one, cleared at the low one.

    It has one state for each value class, whose tolerance multiplies both thresholds, so that calls of low
    worth are held first.  Without tolerances it has a single state.
    """

    def __init__(self, band: tuple[float, float], tolerance: tuple[float, ...] = (1.0,)) -> None:
        self.band = band
        self.tolerance = tolerance
        self.active = [False] * len(tolerance)

    def update(self, value: float, scale: float = 1.0) -> None:
        """Sets or clears the hold of each value class; the thresholds are shares of `scale`."""
        low, high = self.band
        for index, factor in enumerate(self.tolerance):
            threshold = (low if self.active[index] else high) * scale * factor
            self.active[index] = value > threshold


class ExchangeState:
    """The state of one exchange, remote or own, and of the circuit group toward it."""

    def __init__(self, number: int, tolerance: tuple[float, ...]) -> None:
        self.number = number
        self.address = b""
        self.ready = False
        self.started_at = 0.0
        self.cold_until = -math.inf
        self.zone = 0
        self.free_circuits = -1.0  # -1: not reported yet
        self.group_size = 0.0
        self.hold = Hold(DELAY_HOLD_BAND, tolerance)
        self.delay_ms = 0.0  # last measured delay in excess of the path delay
        self.measured_at = -math.inf
        self.min_delay_ms = math.inf
        self.sample_count = 0
        self.probe_lost_since = math.inf  # when the first of the lost probes was sent; infinity: none is lost
        self.probed_at = -math.inf
        self.probe_pending = False
        self.trial_due_at = -math.inf  # while the exchange is closed, no trial call is sent before this
        self.pending: dict[int, float] = {}  # time sent of each unanswered direct set-up, by call
        self.recent_set_ups: deque[float] = deque()  # times of set-ups sent while the exchange was cold

    @property
    def path_delay_ms(self) -> float:
        """The delay of the path itself, which load does not cause and refusals do not reduce."""
        return (
            min(self.min_delay_ms, MAX_PATH_DELAY_MS) if self.sample_count >= MIN_PATH_DELAY_SAMPLES else 0.0
        )

    def current_delay_ms(self, now: float) -> float:
        """Returns the last measured delay, or the age of the oldest unanswered set-up or probe if greater.

        The path delay is subtracted: without that, an idle exchange on a path as long as the threshold stayed
        closed for good.
        """
        oldest = next(iter(self.pending.values()), math.inf)
        return max(self.delay_ms, now - min(oldest, self.probe_lost_since) - self.path_delay_ms)


class CallRecord:
    """A call that is owed an answer, or stands."""

    def __init__(
        self, call: interface.Call, now: float, value_class: int, value: float, plan: CallPlan
    ) -> None:
        self.call = call
        self.arrived_at = now
        self.plan = plan
        self.deadline_at = plan.deadline_at
        self.attempts = 0
        self.earliest_send_at = max(now, call.earliest_send_at)
        self.wait_until = now  # a waiting call is answered at this time at the latest
        self.exchange: ExchangeState | None = None  # of the open attempt or the standing call
        self.done = self.stands = False  # done: the final answer is sent, or is not needed any more
        self.tried_tandems: list[int] = []
        self.value_class = value_class
        self.rank = (-value, now, call.call)  # order of waiting calls: by value, then by arrival


class Control:
    """The decisions of one instance: `handle` takes an event and returns the actions."""

    def __init__(
        self, settings: interface.Settings, timing: TimingEngine | NoTimingPolicy = NO_TIMING_POLICY
    ) -> None:
        self.settings = settings
        self.timing = timing
        min_worth = min(max(c.worth, 1e-9) for c in settings.classes)
        # By value class: first one for each call class, then one for the redialled calls of each call class,
        # which are past their aim as a rule and earn the late worth.
        self.values = tuple(c.worth for c in settings.classes) + tuple(
            c.worth * c.late_worth for c in settings.classes
        )
        self.tolerance = tuple(
            math.sqrt(max(v, MIN_RELATIVE_VALUE * min_worth) / min_worth) for v in self.values
        )
        probe_contention = max(1.0, settings.instances / FULL_RATE_PROBERS)
        self.probe_interval_ms = PROBE_INTERVAL_MS * probe_contention
        self.recheck_interval_ms = RECHECK_INTERVAL_MS * probe_contention
        # The time to the first repeat of a set-up, or else half the shortest aim: with a third, exchanges
        # were closed for queues in which no call would have missed its aim.
        self.delay_scale_ms = settings.resend_ms or min(c.aim_ms for c in settings.classes) / 2.0
        self.remotes: dict[int, ExchangeState] = {}
        self.own_exchange = ExchangeState(settings.own_number, self.tolerance)
        self.roster: dict[interface.Address, interface.Exchange] = {}
        self.calls: dict[int, CallRecord] = {}
        self.waiting: dict[int, CallRecord] = {}
        # Rates are per second.  The learned one is what the own processor can handle; it is infinite until
        # the processor lags for the first time.
        self.set_up_rate = 0.0
        self.rates_updated_at = 0.0
        self.peak_carried_rate = 1.0
        self.learned_rate = math.inf
        self.carried_rate = 0.0  # set-ups that completed
        self.crankback_rate = 0.0  # set-ups that tandems turned back
        self.crankback_hold = Hold(CRANKBACK_HOLD_BAND)
        self.own_lagging = False
        self.standing = 0
        self.total_planned_rate = -1.0  # of all groups; negative: to be summed again
        self.next_tick_at = math.inf
        self.resumed_at = -math.inf  # end of the last stall of this process
        self.rate_hold = Hold(RATE_HOLD_BAND, self.tolerance)
        self.circuit_hold = Hold(CIRCUIT_HOLD_BAND)
        self.busy_numbers: dict[int, tuple[Hold, float, float]] = {}  # by number: hold, count, time of count
        # By destination: its tandems in order of preference, the last one that served first, each with the
        # end of its back-off after a crankback and the length of the next one.
        self.tandem_order: dict[int, OrderedDict[ExchangeState, tuple[float, float]]] = {}
        self.handed_over = False  # another instance uses this one's share of cold exchanges
        self.actions: list[interface.Action] = []

    # ---- events -----------------------------------------------------------------------------

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Processes one event; returns the actions, to be carried out in order and at once."""
        self.actions = []
        if now > self.next_tick_at + TICK_MS:
            self._on_stall(now)
        match event:
            case interface.Call():
                self._on_call(now, event)
            case interface.Standing():
                self._on_standing(now, event)
            case interface.Adopted():
                self._on_adopted(now, event)
            case interface.Ended():
                self._on_ended(now, event)
            case interface.Probed():
                self._on_probed(now, event)
            case interface.Woken():
                self._on_tick(now)
            case interface.Roster():
                self._on_roster(now, event)
            case interface.Abandoned() if event.call in self.calls:
                self._close_record(self.calls[event.call])
        return self.actions

    def _on_stall(self, now: float) -> None:
        """The own timer tick is late: as this process did not run, silence counts from now only."""
        self.resumed_at = now
        self.next_tick_at = now
        for exchange in [self.own_exchange, *self.remotes.values()]:
            exchange.pending = dict.fromkeys(exchange.pending, now)
            exchange.probe_lost_since = math.inf

    def _on_roster(self, now: float, event: interface.Roster) -> None:
        if event.full:
            self.roster = {}
        for entry in event.exchanges:
            self.roster[entry.address] = entry
        newest_ready: dict[int, interface.Exchange] = {}
        for entry in sorted(self.roster.values(), key=lambda x: (x.started_ms, x.address)):
            if entry.condition is interface.Condition.READY:
                newest_ready[entry.number] = entry
            if entry.number not in self.remotes and entry.number != self.settings.own_number:
                self.remotes[entry.number] = ExchangeState(entry.number, self.tolerance)
                self.tandem_order = {}
                self.total_planned_rate = -1.0
        for exchange in [self.own_exchange, *self.remotes.values()]:
            ready = newest_ready.get(exchange.number)
            exchange.ready = ready is not None
            if ready and (ready.address, ready.started_ms) != (exchange.address, exchange.started_at):
                # A new processor: measurements of the former one do not apply to it.
                exchange.address = ready.address
                exchange.started_at = ready.started_ms
                exchange.zone = ready.zone
                exchange.hold = Hold(DELAY_HOLD_BAND, self.tolerance)
                exchange.delay_ms = 0.0
                exchange.probe_lost_since = math.inf
                exchange.probe_pending = False
                exchange.cold_until = (
                    exchange.started_at + self.settings.cold_ms if exchange.started_at > 0 else -math.inf
                )
        if self.next_tick_at == math.inf:
            self.rates_updated_at = now
            self.next_tick_at = now + TICK_MS
            spacing = self.probe_interval_ms / max(1, len(self.remotes))
            for index, exchange in enumerate([*self.remotes.values(), self.own_exchange]):
                exchange.probed_at = (
                    now
                    - self.probe_interval_ms
                    + spacing * (index + self.settings.index / self.settings.instances)
                )
            self.actions.append(interface.Wake(0, self.next_tick_at))
        # Calls that wait for an exchange that drains or is gone are answered at once.
        self._process_waiting(now)

    def _on_call(self, now: float, event: interface.Call) -> None:
        value_class = self._value_class(event)
        plan = self.timing.plan_call(event.call_class, event.destination, now, event.patience_ms)
        record = CallRecord(event, now, value_class, self.values[value_class], plan)
        self.calls[event.call] = record
        if now == self.resumed_at:
            self.waiting[event.call] = record  # the backlog of a stall is decided at the tick, by rank
        else:
            self._decide(now, record)

    def _on_adopted(self, now: float, event: interface.Adopted) -> None:
        entry = self.roster.get(event.address)
        if entry is not None and entry.number in self.remotes:
            # The call stands, so it makes no further attempt that a timing policy could limit.
            plan = NO_TIMING_POLICY.plan_call(0, 0, now, event.call.patience_ms)
            record = CallRecord(event.call, now, self._value_class(event.call), 0.0, plan)
            record.exchange = self.remotes[entry.number]
            record.stands = True
            self.calls[event.call.call] = record
            self.standing += 1

    def _on_standing(self, now: float, event: interface.Standing) -> None:
        record = self.calls.get(event.call)
        if record is None or record.exchange is None or record.stands:
            return
        sent_at = record.exchange.pending.pop(event.call, None)
        if sent_at is not None:
            self._record_sample(now, record.exchange, event.delay_ms)
            self._drop_overtaken(record.exchange, sent_at)
        if record.exchange.number != record.call.destination:
            tandems = self._tandems_toward(record.call.destination)
            tandems[record.exchange] = (now, SERVED_BACK_OFF_MS)
            tandems.move_to_end(record.exchange, last=False)
        record.stands = True
        self.carried_rate += 1000.0 / CARRIED_AVERAGING_MS
        self.peak_carried_rate = max(self.peak_carried_rate, self.carried_rate)
        self.standing += 1

    def _on_ended(self, now: float, event: interface.Ended) -> None:
        record = self.calls.get(event.call)
        if record is None or record.exchange is None:
            return
        exchange = record.exchange
        record.exchange = None
        exchange.pending.pop(event.call, None)
        if record.stands:
            self.standing -= 1
        self._update_group(exchange, event.report)
        number = record.call.number
        cause = event.cause
        in_doubt = event.outcome in (
            interface.Outcome.TIMEOUT,
            interface.Outcome.RESET,
            interface.Outcome.CANCELLED,
        )
        if in_doubt:
            record.earliest_send_at = now + self.settings.release_ms + 1.0
        if cause is interface.Cause.LINES_BUSY:
            self._is_number_busy(now, number, busy_answers=1.0)
        elif event.outcome is interface.Outcome.MOOT and cause is interface.Cause.PROCESSOR_FULL:
            record.earliest_send_at = now + RECHECK_INTERVAL_MS
        elif cause in (interface.Cause.CRANKBACK, interface.Cause.CRANKBACK_FULL):
            tandems = self._tandems_toward(record.call.destination)
            self.crankback_rate += 1000.0 / CARRIED_AVERAGING_MS
            back_off_ms = tandems[exchange][1]
            tandems[exchange] = (now + back_off_ms, min(2.0 * back_off_ms, MAX_CRANKBACK_BACK_OFF_MS))
            if back_off_ms >= CRANKBACK_BACK_OFF_MS:
                tandems.move_to_end(exchange)
        elif cause is interface.Cause.PROCESSOR_FULL or event.outcome is interface.Outcome.CONNECT_FAILED:
            self._set_delay(now, exchange, max(event.wait_ms, 2.0 * self.delay_scale_ms))
            # The more instances may try the exchange, the longer each leaves it alone: with a try every
            # 400 ms from each of 65 instances it stayed full.  Also protects exchanges that refuse
            # connections.  The cost is that a recovered exchange is noticed later.
            exchange.trial_due_at = now + max(
                event.wait_ms - self.delay_scale_ms, self.delay_scale_ms, self.recheck_interval_ms
            )
        elif cause is interface.Cause.NO_CIRCUIT:
            exchange.free_circuits = 0.0
        if event.settled or record.done:
            self._close_record(record)
        elif cause is interface.Cause.LINES_BUSY:
            self._answer_call(
                record,
                interface.Refuse(
                    event.call, self.settings.max_retry_after_ms, interface.RefusalReason.NUMBER_BUSY
                ),
            )
        elif record.stands or now >= record.deadline_at - 1.0:
            self._answer_call(record, interface.Fail(event.call, interface.RefusalReason.EXPIRED))
        else:
            retry_at = record.plan.on_attempt_ended(
                now, in_doubt, event.outcome is not interface.Outcome.MOOT
            )
            record.earliest_send_at = max(record.earliest_send_at, retry_at)
            self._decide(now, record)

    def _on_probed(self, now: float, event: interface.Probed) -> None:
        entry = self.roster.get(event.address)
        if entry is None:
            return
        exchange = (
            self.own_exchange if entry.number == self.settings.own_number else self.remotes[entry.number]
        )
        free_before = exchange.free_circuits
        self._update_group(exchange, event.report)
        unsolicited = event.outcome is interface.Outcome.OK and event.delay_ms == 0.0
        if not unsolicited and event.address == exchange.address:
            exchange.probe_pending = False
            if event.outcome is interface.Outcome.OK:
                exchange.probe_lost_since = math.inf
                self._record_sample(now, exchange, event.delay_ms * PROBE_DELAY_FACTOR)
            elif event.outcome is not interface.Outcome.FULL:
                # A probe that other probes displaced (FULL) says nothing about the load.
                exchange.probe_lost_since = min(exchange.probe_lost_since, now - event.delay_ms)
        if not unsolicited:
            self._process_waiting(now)
        elif exchange.free_circuits > free_before:
            # Only calls toward this exchange are decided on at once; all others wait for the tick.  In an
            # overload there are thousands of group changes per second, and to decide on every waiting call at
            # each of them took more time than there was.
            self._process_waiting(now, exchange)

    def _on_tick(self, now: float) -> None:
        self.next_tick_at = now + TICK_MS
        self.actions.append(interface.Wake(0, self.next_tick_at))
        for exchange in [self.own_exchange, *self.remotes.values()]:
            self._update_hold(now, exchange)
            interval_ms = (
                RECHECK_INTERVAL_MS
                if exchange is self.own_exchange
                else self.recheck_interval_ms
                if exchange.hold.active[0]
                else self.probe_interval_ms
            )
            if (
                self.settings.probing
                and exchange.ready
                and not exchange.probe_pending
                and now >= exchange.probed_at + interval_ms
            ):
                exchange.probe_pending = True
                exchange.probed_at = now
                self.actions.append(interface.Probe(exchange.address))
        self._update_rates(now)
        self._process_waiting(now)

    def count_unavailable(self) -> int:
        """Counts the listed exchanges that get no new calls now: not ready, or closed by their hold."""
        closed = {exchange.number for exchange in self.remotes.values() if exchange.hold.active[0]}
        return sum(
            entry.condition is not interface.Condition.READY or entry.number in closed
            for entry in self.roster.values()
        )

    def export_learned(self) -> interface.LearnedState:
        """Returns what was learned; the share of cold exchanges goes with it, and none is left here."""
        self.handed_over = True
        return interface.LearnedState(
            self.learned_rate,
            self.set_up_rate,
            self.peak_carried_rate,
            self.carried_rate,
            self.own_lagging,
            tuple(
                interface.LearnedExchange(
                    exchange.number,
                    exchange.address,
                    exchange.started_at,
                    exchange.delay_ms,
                    exchange.measured_at,
                    exchange.min_delay_ms,
                    exchange.sample_count,
                    tuple(exchange.hold.active),
                    tuple(exchange.recent_set_ups),
                )
                for exchange in [self.own_exchange, *self.remotes.values()]
            ),
        )

    def import_learned(self, learned: interface.LearnedState) -> None:
        """Continues from what the previous instance learned; skips processors that have restarted since."""
        self.learned_rate = learned.learned_rate
        self.set_up_rate = learned.set_up_rate
        self.peak_carried_rate = learned.peak_carried_rate
        self.carried_rate = learned.carried_rate
        self.own_lagging = learned.own_lagging
        for former in learned.exchanges:
            exchange = (
                self.own_exchange
                if former.number == self.settings.own_number
                else self.remotes.get(former.number)
            )
            if exchange is not None and (exchange.address, exchange.started_at) == (
                former.address,
                former.started_at,
            ):
                exchange.delay_ms = former.delay_ms
                exchange.measured_at = former.measured_at
                exchange.min_delay_ms = former.min_delay_ms
                exchange.sample_count = former.sample_count
                exchange.hold.active = list(former.held)
                exchange.recent_set_ups = deque([*former.recent_set_ups, *exchange.recent_set_ups])

    # ---- measurements -----------------------------------------------------------------------

    def _update_group(self, exchange: ExchangeState, report: tuple[float, ...]) -> None:
        if len(report) >= 2 and report[0] >= 0:
            self.total_planned_rate = self.total_planned_rate if report[1] == exchange.group_size else -1.0
            exchange.free_circuits = report[0]
            exchange.group_size = report[1]

    def _record_sample(self, now: float, exchange: ExchangeState, delay_ms: float) -> None:
        exchange.min_delay_ms = min(exchange.min_delay_ms, delay_ms)
        exchange.sample_count = exchange.sample_count + 1
        self._set_delay(now, exchange, max(0.0, delay_ms - exchange.path_delay_ms))

    def _set_delay(self, now: float, exchange: ExchangeState, delay_ms: float) -> None:
        if now > self.resumed_at:  # a delay measured at the end of a stall includes the stall
            exchange.delay_ms = delay_ms
            exchange.measured_at = now
            exchange.probed_at = now  # a measured set-up delay replaces a probe
            self._update_hold(now, exchange)

    def _drop_overtaken(self, exchange: ExchangeState, answered_sent_at: float) -> None:
        """Treats set-ups sent well before an answered one as lost, not slow, and cancels them where allowed.

        This can be wrong if the path does not keep the order of messages.
        """
        for call, sent_at in list(exchange.pending.items()):
            if sent_at < answered_sent_at - OVERTAKEN_SHARE * self.delay_scale_ms:
                del exchange.pending[call]
                if self.settings.cancel and self.calls[call].exchange is exchange:
                    self.actions.append(interface.Cancel(call, self.calls[call].attempts - 1))

    def _update_hold(self, now: float, exchange: ExchangeState) -> None:
        if exchange is self.own_exchange and not self.settings.probing:
            # Without probes the delay of the own processor is derived from those of the remote exchanges.
            # If many of them are slow or silent at once, the cause is common to them: the own processor, or
            # a fault of the whole mesh.  If any one is quick, the others are at fault (a network split).
            # Without a recent measurement the last delay is kept until a trial call: when silence counted
            # as a short delay, this hold cleared while all processors were full.  The rule also protects
            # against the loss of the own link; its cost falls on an exchange whose few calls all go to
            # failed exchanges.
            delays = [
                remote.delay_ms
                for remote in self.remotes.values()
                if now - remote.measured_at < DELAY_VALIDITY_MS
            ]
            delays += [
                silence_ms
                for remote in self.remotes.values()
                if remote.pending
                and now - remote.measured_at >= DELAY_VALIDITY_MS
                and (silence_ms := remote.current_delay_ms(now)) > DELAY_HOLD_BAND[1] * self.delay_scale_ms
            ]
            if len(delays) > 1 or (delays and delays[0] < exchange.delay_ms):
                exchange.delay_ms = min(delays)
        exchange.hold.update(exchange.current_delay_ms(now), self.delay_scale_ms)

    def _update_rates(self, now: float) -> None:
        """Decays the averages, adjusts the learned rate of the own processor and updates the holds."""
        elapsed_ms = now - self.rates_updated_at
        self.set_up_rate *= math.exp(-elapsed_ms / RATE_AVERAGING_MS)
        self.rates_updated_at = now
        self.carried_rate *= math.exp(-elapsed_ms / CARRIED_AVERAGING_MS)
        self.crankback_rate *= math.exp(-elapsed_ms / CARRIED_AVERAGING_MS)
        self.crankback_hold.update(self.crankback_rate, self.carried_rate + 1.0)
        lagging = self.own_exchange.hold.active[0]
        if lagging and not self.own_lagging:
            # Reduced once per lag, and not below a share of the peak carried rate: the hold has already
            # reduced the set-up rate, and to learn that rate would keep the exchange closed for good.
            min_rate = LAG_RATE_SHARE * min(self.learned_rate, self.peak_carried_rate)
            self.learned_rate = max(min(self.learned_rate, self.set_up_rate), min_rate)
        elif not lagging:
            idle = self.own_exchange.current_delay_ms(now) < IDLE_DELAY_SHARE * self.delay_scale_ms
            self.learned_rate *= (
                1.0 + (IDLE_RATE_GROWTH_PER_S if idle else RATE_GROWTH_PER_S) * elapsed_ms / 1000.0
            )
        if lagging is not self.own_lagging:
            self.own_lagging = lagging
            self.actions.append(interface.Note(f"own exchange {'closed' if lagging else 'open'}"))
        self.rate_hold.update(self.set_up_rate, self.learned_rate)
        self.circuit_hold.update(
            self.standing, sum(exchange.group_size for exchange in self.remotes.values()) or math.inf
        )

    def _is_number_busy(self, now: float, number: int, busy_answers: float = 0.0) -> bool:
        """Adds busy answers to the count of a number; returns whether it is held.

        The hold keeps calls from piling up on a number whose lines are busy.
        """
        hold, count, counted_at = self.busy_numbers.get(number, (Hold(BUSY_HOLD_BAND), 0.0, now))
        count = count * math.exp((counted_at - now) / BUSY_DECAY_MS) + busy_answers
        hold.update(count)
        self.busy_numbers[number] = (hold, count, now)
        if count < BUSY_HOLD_BAND[0]:
            del self.busy_numbers[number]
        elif len(self.busy_numbers) > MAX_BUSY_NUMBERS:
            del self.busy_numbers[next(iter(self.busy_numbers))]
        return hold.active[0]

    def _is_responsive(self, now: float, exchange: ExchangeState) -> bool:
        """Whether the delay is below the hold's band, so that calls on a longer route may be added there."""
        return (
            not exchange.hold.active[0]
            and exchange.current_delay_ms(now) < DELAY_HOLD_BAND[0] * self.delay_scale_ms
        )

    # ---- decisions --------------------------------------------------------------------------

    def _process_waiting(self, now: float, toward: ExchangeState | None = None) -> None:
        """Decides on waiting calls by rank: on all, or on those toward one exchange while it has circuits."""
        order = sorted(
            (
                record
                for record in self.waiting.values()
                if toward is None or record.call.destination == toward.number
            ),
            key=attrgetter("rank"),
        )
        unroutable: set[tuple[int, int, int]] = set()
        for record in order:
            call = record.call
            if toward is not None and toward.free_circuits < call.width:
                break
            # If a call without attempts cannot be sent in this pass, the next one like it cannot either, as
            # set-ups only use up capacity.  Without this, every call of a long queue was decided on at each
            # tick.
            alike = (call.destination, record.value_class, call.width)
            if record.attempts == 0 and alike in unroutable and now < record.wait_until:
                continue
            if call.call in self.waiting and self._decide(now, record):
                self.waiting.pop(call.call, None)
            elif record.attempts == 0:
                unroutable.add(alike)

    def _value_class(self, call: interface.Call) -> int:
        class_count = len(self.settings.classes)
        return min(call.call_class, class_count - 1) + (class_count if call.redialled else 0)

    def _decide(self, now: float, record: CallRecord) -> bool:
        """Sends or answers the call; returns False if it waits here."""
        call = record.call
        value_class = record.value_class
        destination = self.remotes.get(call.destination)
        reason = self._unroutable_reason(now, record, destination)
        if reason is not None or destination is None:
            return self._answer_call(
                record,
                interface.Refuse(
                    call.call,
                    self.settings.max_retry_after_ms,
                    reason or interface.RefusalReason.UNKNOWN_DESTINATION,
                ),
            )
        # The hold of the own exchange lets one set-up a second through: without probes nothing else can
        # clear it.
        own_trial = not self.settings.probing and not call.transit and now >= self.own_exchange.trial_due_at
        own_held = (
            (self.own_exchange.hold.active[value_class] and not own_trial)
            or self.rate_hold.active[value_class]
            or self.circuit_hold.active[0]
        )
        # A closed exchange gets one set-up at a time, as a probe where probes are not allowed.
        trial = not call.transit and not destination.pending and now >= destination.trial_due_at
        closed = own_held or (destination.hold.active[value_class] and not trial)
        if now >= record.earliest_send_at and not closed:
            if (destination.free_circuits < 0 or destination.free_circuits >= call.width) and self._send(
                now, record, destination
            ):
                return True
            # If the report says that there is no group toward the destination, a tandem is the ordinary route
            # and not overflow.  Calls in excess of the share of a cold exchange are not overflow either:
            # tandems have no larger share of it, and turned such calls back.
            no_group = destination.free_circuits >= 0 and destination.group_size < call.width
            may_overflow = (
                now >= destination.cold_until or 0 <= destination.free_circuits < call.width
            ) and self._is_responsive(now, destination)
            if not call.transit and (
                no_group or (may_overflow and self._is_responsive(now, self.own_exchange))
            ):
                for tandem in self._open_tandems(now, record):
                    if self._send(now, record, tandem):
                        return True
        aim_ms = self.settings.classes[value_class % len(self.settings.classes)].aim_ms
        # If the caller has little time left, most of it is kept for the set-up.
        max_wait_ms = MAX_WAIT_SHARE * min(aim_ms, call.patience_ms)
        record.wait_until = min(
            max(record.arrived_at + max_wait_ms, record.earliest_send_at + TICK_MS),
            record.deadline_at - TICK_MS,
            record.deadline_at - self.settings.release_ms,
        )
        if call.transit or now >= record.wait_until:
            return self._answer_call(
                record,
                interface.Refuse(
                    call.call,
                    self.settings.max_retry_after_ms if closed else 0.0,
                    interface.RefusalReason.HELD if closed else interface.RefusalReason.NO_ROUTE,
                ),
            )
        self.waiting[call.call] = record
        return False

    def _unroutable_reason(
        self, now: float, record: CallRecord, destination: ExchangeState | None
    ) -> interface.RefusalReason | None:
        """Returns why no set-up may be sent for the call any more; None if one may."""
        if destination is None:
            return interface.RefusalReason.UNKNOWN_DESTINATION
        if not destination.ready:
            return interface.RefusalReason.DESTINATION_NOT_READY
        if record.attempts >= self.settings.max_attempts:
            return interface.RefusalReason.ATTEMPTS_USED
        if record.plan.exhausted:
            return interface.RefusalReason.TIMING_POLICY
        if self._is_number_busy(now, record.call.number):
            return interface.RefusalReason.NUMBER_BUSY
        return None

    def _tandems_toward(self, destination: int) -> OrderedDict[ExchangeState, tuple[float, float]]:
        """Returns the tandems toward a destination, at first in a pseudo-random order fixed for the pair."""
        if destination not in self.tandem_order:
            draws = {
                exchange: (
                    zlib.crc32(f"{self.settings.own_number} {destination} {exchange.number}".encode()) + 1.0
                )
                / 2.0**32
                for exchange in self.remotes.values()
            }
            # The size of the group is the weight in that order: large exchanges reach more destinations.
            order = sorted(
                draws, key=lambda exchange: -math.log(draws[exchange]) / (exchange.group_size + 1.0)
            )
            self.tandem_order[destination] = OrderedDict(
                (exchange, (0.0, CRANKBACK_BACK_OFF_MS)) for exchange in order
            )
        return self.tandem_order[destination]

    def _open_tandems(self, now: float, record: CallRecord) -> list[ExchangeState]:
        """Returns the tandems that the call may use now: those that have served, then the untried."""
        # Untried tandems turn calls back more often than not, which wastes work.  They are used only while
        # the own processor is responsive and few set-ups are turned back.
        may_explore = self._is_responsive(now, self.own_exchange) and not self.crankback_hold.active[0]
        if len(record.tried_tandems) >= (MAX_TANDEMS if may_explore else 1):
            return []
        destination = record.call.destination
        pools = self.settings.pools_by_class
        tandems = self._tandems_toward(destination)
        advised = self.remotes.get(record.call.via)
        if advised:
            # The exchange that advised it saw most free circuits there; a back-off still excludes it.
            tandems.move_to_end(advised, last=False)
        return [
            exchange
            for exchange, (excluded_until, back_off_ms) in tandems.items()
            if excluded_until <= now
            and (may_explore or back_off_ms < CRANKBACK_BACK_OFF_MS or exchange is advised)
            and exchange.free_circuits - record.call.width >= exchange.group_size * TRUNK_RESERVATION
            and exchange.ready
            and exchange.number != destination
            and exchange.number not in record.tried_tandems
            and (not pools or exchange.number in pools[record.call.call_class])  # pools that serve the class
            and self._is_responsive(now, exchange)
        ]

    def _send(self, now: float, record: CallRecord, exchange: ExchangeState) -> bool:
        """Sends a set-up if the rules allow it; every set-up passes here, however its route was chosen."""
        call = record.call
        if (
            record.exchange is not None
            or record.done
            or record.stands
            or now < record.earliest_send_at
            or record.attempts >= self.settings.max_attempts
            or now >= record.deadline_at
        ):
            return False  # one attempt at a time, after the last one's release, within number and time
        if (
            not exchange.ready
            or exchange is self.own_exchange
            or (call.transit and exchange.number != call.destination)
        ):
            return False  # not in service, the own exchange, or a call in transit that would go on elsewhere
        direct = exchange.number == call.destination
        timeout_ms = record.plan.attempt_wait_ms(now, direct, exchange.number, exchange.zone)
        if timeout_ms is None:
            return False  # the timing policy of its class and route does not allow it now
        if not all(
            self._use_cold_share(now, cold) for cold in (exchange, self.own_exchange) if now < cold.cold_until
        ):
            return False
        record.plan.on_attempt_sent(now)
        record.exchange = exchange
        record.attempts += 1
        if direct:
            exchange.pending[call.call] = now
        else:
            record.tried_tandems.append(exchange.number)
        exchange.free_circuits -= call.width  # a group that is not reported yet stays below 0
        self.own_exchange.trial_due_at = now + DELAY_VALIDITY_MS
        self.set_up_rate += 1000.0 / RATE_AVERAGING_MS
        # Not only at the tick: waiting calls must not exceed the rate in one burst.
        self.rate_hold.update(self.set_up_rate, self.learned_rate)
        self.actions.append(interface.SetUp(call.call, exchange.address, timeout_ms))
        return True

    def _use_cold_share(self, now: float, exchange: ExchangeState) -> bool:
        """Uses one set-up of this instance's share of a cold exchange; returns False if none is left.

        The capacity of a warm exchange is what its groups were planned for, half of it from each end.  The
        carried rate cannot stand for it: it is near zero after a restart, and the share then stayed near
        zero.  A share below `MIN_COLD_SET_UPS` in a window becomes that many in a longer one, which the
        instances begin in turn.
        """
        if exchange is self.own_exchange and self.total_planned_rate < 0.0:
            self.total_planned_rate = sum(map(self._planned_rate, self.remotes.values()))
        planned_rate = (
            self.total_planned_rate if exchange is self.own_exchange else self._planned_rate(exchange)
        )
        max_rate = max(
            self.settings.cold_overload_multiple
            * self.settings.cold_start_share
            * SET_UPS_PER_CALL
            / 2.0
            * planned_rate,
            1e-9,
        )
        window_ms = max(self.settings.cold_overload_ms, MIN_COLD_SET_UPS * 1000.0 / max_rate)
        while exchange.recent_set_ups and exchange.recent_set_ups[0] <= now - window_ms:
            exchange.recent_set_ups.popleft()
        begins_at = exchange.started_at + window_ms * self.settings.index / self.settings.instances
        if (
            self.handed_over
            or now < begins_at
            or len(exchange.recent_set_ups) >= int(max_rate * window_ms / 1000.0 + 0.001)
        ):
            return False
        exchange.recent_set_ups.append(now)
        return True

    def _planned_rate(self, exchange: ExchangeState) -> float:
        """Returns the calls per second in one direction that the group was planned for.

        Of a pool, which all instances share, it is an equal share.
        """
        # A size of 0 means that the group is not reported yet.
        load = (
            math.sqrt(SIZING_MARGIN * SIZING_MARGIN + 4.0 * max(exchange.group_size, 1.0)) - SIZING_MARGIN
        ) ** 2 / 4.0
        holding_time_ms = max(c.holding_time_ms for c in self.settings.classes) or DEFAULT_HOLDING_TIME_MS
        return (
            load
            * 1000.0
            / holding_time_ms
            / (2 if self.settings.own_number >= 0 else self.settings.instances)
        )

    def _answer_call(self, record: CallRecord, action: interface.Refuse | interface.Fail) -> bool:
        """Gives the call its one final answer."""
        if not record.done:
            self.actions.append(action)
        self._close_record(record)
        return True

    def _close_record(self, record: CallRecord) -> None:
        """Marks the call as answered; its record is kept only while an attempt is open."""
        record.done = True
        self.waiting.pop(record.call.call, None)
        if record.exchange is None:
            self.calls.pop(record.call.call, None)

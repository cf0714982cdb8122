"""The core: reports to the decision module what callers and exchanges do, and carries out its decisions.

It knows no signalling protocol.  The callers' side reaches it by `offer`, `give_up` and `hang_up`, the
exchanges' side by `on_answer`, `on_end`, `on_group_change`, `on_probe_result`, `update_exchanges` and
`on_exchange_reset`.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace

from ospreyvale.routing import interface
from ospreyvale.routing.call_table import CallTable
from ospreyvale.routing.context import Context, Log
from ospreyvale.routing.control import Control
from ospreyvale.routing.exchange_table import ExchangeTable
from ospreyvale.routing.stages.accept import accept_call
from ospreyvale.routing.stages.admit import admit_call
from ospreyvale.routing.stages.finish import finish_call
from ospreyvale.routing.stages.relay import (
    AttemptEnd,
    relay_answer,
    relay_end,
    relay_final,
    relay_hang_up,
)
from ospreyvale.routing.stages.route import find_route
from ospreyvale.routing.stages.send import cancel_attempt, send_attempt
from ospreyvale.routing.state import (
    Attempt,
    CallerPort,
    CallState,
    Clock,
    ExchangePort,
    Final,
    Offer,
    OtherProcess,
)
from ospreyvale.timing.engine import NO_TIMING_POLICY, NoTimingPolicy, TimingEngine


class Core:
    """One instance: the decision module, the tables and the stages."""

    def __init__(
        self,
        clock: Clock,
        settings: interface.Settings,
        drain_grace_ms: float,
        log: Log,
        timing: TimingEngine | NoTimingPolicy = NO_TIMING_POLICY,
    ) -> None:
        self.control = Control(settings, timing)
        call_table = CallTable(settings.release_ms, settings.max_attempts, drain_grace_ms)
        self.context = Context(clock, call_table, ExchangeTable(), self._notify_control, log)
        # Releases toward their callers the calls that an exchange ends but this process does not know: they
        # stood before a restart.
        self.orphan_port: CallerPort | None = None
        # The process that this one replaces, as long as it has calls.
        self.other_process: OtherProcess | None = None
        self._events: deque[interface.Event] = deque()
        self._processing = False
        self._latest_deadline_at = math.inf

    # ---- the callers' side ----

    def offer(self, offer: Offer, caller: CallerPort) -> bool:
        """Accepts a call; returns False if its id is in use or has run, in which case no answer follows."""
        if self.other_process is not None and self.other_process.holds(offer.call):
            self.context.counters["offers_repeated"] += 1
            return False
        left_ms = self._latest_deadline_at - self.context.clock.now
        if offer.patience_ms > left_ms:  # the decision module plans with the time that is left
            offer = replace(offer, patience_ms=left_ms)
        state = accept_call(self.context, offer, caller, self._on_expiry)
        if state is not None:
            admit_call(self.context, state)
        return state is not None

    def limit_deadlines(self, latest_at: float) -> None:
        """Limits all deadlines, also those of later calls, to a time: the process is about to stop."""
        self._latest_deadline_at = latest_at
        for state in self.context.call_table.calls.values():
            if state.final is None and state.deadline_at > latest_at:
                state.deadline_at = latest_at
                if state.timer is not None:
                    state.timer.cancel()
                state.timer = self.context.clock.call_at(
                    latest_at,
                    lambda state=state: self._on_expiry(state),  # type: ignore[misc]
                )

    def give_up(self, call: int) -> None:
        """The caller stops waiting, or its connection is closed: no answer is owed any more."""
        state = self.context.call_table.calls.get(call)
        if state is None and self.other_process is not None:
            self.other_process.give_up(call)
        if state is None or state.final is not None:
            return
        self._abandon(state)

    def release_everywhere(self, call: int) -> None:
        """Releases a call of a former process at every exchange, as it may stand at any of them."""
        self.context.counters["calls_disowned"] += 1
        for address, entry in self.context.exchange_table.entries.items():
            entry.port.release(call, address)

    def hang_up(self, call: int) -> bool:
        """Ends a standing call for its caller; returns False if there is none."""
        state = self.context.call_table.calls.get(call)
        if state is None and self.other_process is not None:
            return self.other_process.hang_up(call)
        if state is None or not state.standing:
            return False
        relay_hang_up(self.context, state)
        return True

    # ---- the exchanges' side ----

    def stands_at(self, call: int, address: bytes) -> bool:
        """Returns whether a call stands at an exchange."""
        state = self._find_call_with_attempt(call, address)
        return state is not None and state.standing

    def calls_by_exchange(self) -> dict[bytes, list[int]]:
        """Returns the calls with an open attempt or that stand, by the address of their exchange."""
        calls: dict[bytes, list[int]] = {}
        for state in self.context.call_table.calls.values():
            if state.attempt is not None:
                calls.setdefault(state.attempt.exchange.address, []).append(state.call)
        return calls

    def on_answer(self, call: int, address: bytes, description: bytes) -> bool:
        """An exchange answered; returns False if no attempt waits for that answer any more."""
        state = self._find_call_with_attempt(call, address)
        if state is None or state.standing:
            self.context.counters["late_answers"] += 1
            return False
        relay_answer(self.context, state, description)
        return True

    def on_end(self, call: int, address: bytes, end: AttemptEnd) -> None:
        """An exchange ended an attempt or a standing call."""
        state = self._find_call_with_attempt(call, address)
        if state is not None:
            relay_end(self.context, state, end)
        else:
            self._on_unknown_end(call, end.outcome)

    def on_reported_end(self, call: int, outcome: interface.Outcome) -> None:
        """Another process reports that a standing call has ended."""
        state = self.context.call_table.calls.get(call)
        if state is not None and state.standing:
            relay_end(self.context, state, AttemptEnd(outcome))
        else:
            self._on_unknown_end(call, outcome)

    def on_group_change(self, address: bytes, report: tuple[float, ...]) -> None:
        """The free circuits toward an exchange have changed."""
        self._notify_control(interface.Probed(address, interface.Outcome.OK, 0.0, report))

    def on_probe_result(
        self,
        address: bytes,
        outcome: interface.Outcome,
        delay_ms: float,
        report: tuple[float, ...] = (),
    ) -> None:
        """A probe ended.  Its delay is raised above 0, which stands for an unsolicited report."""
        self._notify_control(interface.Probed(address, outcome, max(delay_ms, 0.001), report))

    def update_exchanges(
        self, port: ExchangePort, full: bool, exchanges: tuple[interface.Exchange, ...]
    ) -> None:
        """A port reports its exchanges."""
        for address, started_at in self.context.exchange_table.update(
            self.context.clock.now, port, full, exchanges
        ):
            self.on_exchange_reset(address, started_at)
        self._notify_control(interface.Roster(True, self.context.exchange_table.exchanges()))

    def on_exchange_reset(self, address: bytes, sent_before: float = math.inf) -> None:
        """The process of an exchange has ended: ends what was sent there before a time as reset.

        Open attempts are given up at their port too, which may still hold them in a queue.
        """
        for state in list(self.context.call_table.calls.values()):
            attempt = state.attempt
            if attempt is None or attempt.exchange.address != address or attempt.sent_at >= sent_before:
                continue
            if not state.standing:
                attempt.port.cancel(state.call, address)
            relay_end(self.context, state, AttemptEnd(interface.Outcome.RESET))

    # ---- the operators' side ----

    def set_timing(self, timing: TimingEngine | NoTimingPolicy) -> None:
        """Sets the timing policy of new calls; existing calls keep theirs."""
        self.control.timing = timing

    # ---- handover between two processes ----

    def adopt(self, offer: Offer, caller: CallerPort, address: bytes, number: int, sent_at: float) -> None:
        """Takes over a standing call from the process that this one replaces."""
        entry = self.context.exchange_table.entries.get(address)
        if entry is None:  # the exchange has been removed in the meantime, which ended the call
            caller.release(offer.call, interface.Outcome.RESET)
            return
        attempt = Attempt(number, entry.exchange, entry.port, sent_at)
        if self.context.call_table.adopt(self.context.clock.now, offer, caller, attempt) is not None:
            self._notify_control(interface.Adopted(offer.to_event(), address))

    # ---- internal ----

    def _on_unknown_end(self, call: int, outcome: interface.Outcome) -> None:
        # The other process learns of the ends of its calls by itself.
        held = self.other_process is not None and self.other_process.holds(call)
        if held or call in self.context.call_table.calls or self.context.call_table.has_ended(call):
            self.context.counters["late_ends"] += 1
            self.context.log("late_end", call=f"{call:016x}", outcome=outcome.value)
        elif self.orphan_port is not None and outcome in (interface.Outcome.OK, interface.Outcome.RESET):
            # After a restart the calls of the former process are unknown here, but their callers still exist.
            self.context.counters["orphans_released"] += 1
            self.orphan_port.release(call, outcome)

    def _find_call_with_attempt(self, call: int, address: bytes) -> CallState | None:
        state = self.context.call_table.calls.get(call)
        if state is None or state.attempt is None or state.attempt.exchange.address != address:
            return None
        return state

    def _abandon(self, state: CallState) -> None:
        self.context.call_table.set_final(state, Final.ABANDONED)
        self.context.counters["calls_abandoned"] += 1
        self._notify_control(interface.Abandoned(state.call))
        if state.attempt is not None:
            cancel_attempt(self.context, state, interface.Outcome.CANCELLED)
        finish_call(self.context, state, Final.ABANDONED.value)

    def _on_expiry(self, state: CallState) -> None:
        """The attempt timed out, or the deadline passed: the decision module gives the final answer."""
        if state.final is None and state.attempt is not None:
            cancel_attempt(self.context, state, interface.Outcome.TIMEOUT)
        if state.final is None and state.attempt is None and self.context.clock.now >= state.deadline_at:
            # The call waited in the decision module, which has not answered it yet: its timer tick is late,
            # as the event loop is.
            self.context.counters["expired_waiting"] += 1
            relay_final(self.context, state, Final.FAILED, interface.RefusalReason.EXPIRED)
            self._notify_control(interface.Abandoned(state.call))

    def _notify_control(self, event: interface.Event) -> None:
        """Queues an event; the actions of an event are carried out before the next event is handled."""
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                for action in self.control.handle(self.context.clock.now, self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._processing = False

    def _carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.SetUp():
                self._set_up(action)
            case interface.Refuse() if action.call in self.context.call_table.calls:
                relay_final(
                    self.context,
                    self.context.call_table.calls[action.call],
                    Final.REFUSED,
                    action.reason,
                    action.retry_after_ms,
                )
            case interface.Fail() if action.call in self.context.call_table.calls:
                relay_final(
                    self.context, self.context.call_table.calls[action.call], Final.FAILED, action.reason
                )
            case interface.Cancel() if action.call in self.context.call_table.calls:
                state = self.context.call_table.calls[action.call]
                if (
                    state.attempt is not None
                    and not state.standing
                    and state.attempt.number == action.attempt
                ):
                    cancel_attempt(self.context, state, interface.Outcome.CANCELLED)
            case interface.Probe():
                self.context.counters["probes_sent"] += 1
                entry = self.context.exchange_table.entries.get(action.address)
                if entry is not None:
                    entry.port.probe(action.address)
            case interface.Wake():
                self.context.clock.call_at(
                    action.at_ms,
                    lambda token=action.token: self._on_timer(token),  # type: ignore[misc]
                )
            case interface.Note():
                self.context.log("module", text=action.text)

    def _on_timer(self, token: int) -> None:
        self._notify_control(interface.Woken(token))

    def _set_up(self, action: interface.SetUp) -> None:
        state = self.context.call_table.calls.get(action.call)
        entry = find_route(self.context, state, action.address) if state is not None else None
        if state is None or entry is None:
            settled = state is None or state.final is not None
            number = 0
            if state is not None:
                # A set-up that is not sent counts as an attempt, as it does in the decision module.
                number = state.attempts
                state.attempts = state.attempts + 1
            self._notify_control(
                interface.Ended(action.call, number, action.address, interface.Outcome.MOOT, 0.0, settled)
            )
            return
        send_attempt(self.context, state, entry, action.timeout_ms, self._on_expiry)

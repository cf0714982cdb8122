"""Runs instances of the decision module for the simulator, over standard input and output."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from ospreyvale.routing import interface
from ospreyvale.routing.control import Control
from ospreyvale.routing.settings import parse_settings
from ospreyvale.wirehost import wire

_OUTCOMES = {
    10: interface.Outcome.OK,
    20: interface.Outcome.ERROR,
    30: interface.Outcome.FULL,
    40: interface.Outcome.TIMEOUT,
    50: interface.Outcome.CONNECT_FAILED,
    60: interface.Outcome.RESET,
    70: interface.Outcome.CANCELLED,
    80: interface.Outcome.MOOT,
}
_CONDITIONS = {2: interface.Condition.READY, 0: interface.Condition.DRAINING, 1: interface.Condition.GONE}
# Values of BackendsChanged.how: a full list, a full list from a cache, a list that could not be fetched.
# With any other value the list has only the exchanges that changed.
_FULL_LIST = 1
_CACHED_LIST = 2
_FAILED_LIST = 3
_ALL_PEERS = 0xFFFFFFFF  # value of Signal.peer


def _decode_outcome(code: int) -> interface.Outcome:
    if code not in _OUTCOMES:
        raise ValueError(f"unknown outcome {code}")
    return _OUTCOMES[code]


def _decode_cause(why: int) -> tuple[interface.Cause, float]:
    """Returns the cause and the wait in ms, which only a full processor gives.

    `why` has the wait above the low four bits.
    """
    if why % 16 == interface.Cause.PROCESSOR_FULL.value:
        return interface.Cause.PROCESSOR_FULL, float(why // 16)
    values = {cause.value for cause in interface.Cause}
    return (interface.Cause(why) if why in values else interface.Cause.NONE), 0.0


class Host:
    """Translates the records of batches to events of the instances, and their actions to records."""

    def __init__(self) -> None:
        self.instances: dict[int, Control] = {}
        self.tables: dict[int, tuple[wire.TableEntry, ...]] = {}  # by roster_id

    def handle_batch(self, batch: wire.Batch) -> list[Any]:
        """Returns the records of the reply to one batch; raises WireError for an invalid record."""
        replies: list[Any] = []
        for index, record in enumerate(batch.records):
            try:
                self._process_record(batch.clock, record, replies)
            except ValueError as error:
                raise wire.WireError(f"{type(record).__name__}: {error}", index) from None
        return replies

    def _process_record(self, now: float, record: Any, replies: list[Any]) -> None:
        if isinstance(record, wire.Table):
            self.tables[record.roster_id] = record.lines
            return
        if isinstance(record, wire.Create):
            self.instances[record.who] = Control(parse_settings(record.params, record.prng))
            return
        if record.who not in self.instances:
            raise ValueError(f"unknown instance {record.who}")
        if isinstance(record, wire.Detach):
            del self.instances[record.who]
            return
        event = self._decode_event(record)
        if event is None:
            return
        try:
            actions = self.instances[record.who].handle(now, event)
        except Exception as error:  # reported to the simulator, never suppressed
            text = f"instance {record.who}: {type(error).__name__}: {error}"
            replies.append(wire.Broken(record.who, text.encode()[:1000]))
            return
        replies.extend(_encode_action(record.who, action) for action in actions)

    def _decode_event(self, record: Any) -> interface.Event | None:
        """Returns the event of a record; None for a list of exchanges that could not be fetched."""
        match record:
            case wire.Demand():
                return interface.Call(
                    record.rid,
                    int(record.destination),
                    record.item,
                    record.expires_in,
                    max(1, int(record.slots_needed)),
                    int(record.hop),
                    record.profile,
                    transit=bool(record.bits & 8),
                    redialled=bool(record.bits & 2),
                    cut=bool(record.bits & 16),
                )
            case wire.UnderWay():
                return interface.Standing(record.rid, record.send_no, record.office, record.delay_seen)
            case wire.Verdict():
                cause, wait_ms = _decode_cause(record.why)
                return interface.Ended(
                    record.rid,
                    record.send_no,
                    record.office,
                    _decode_outcome(record.reason),
                    record.delay_seen,
                    bool(record.settled),
                    cause,
                    wait_ms,
                    record.server_stats,
                )
            case wire.Aborted():
                return interface.Abandoned(record.rid)
            case wire.Alarm():
                return interface.Woken(record.label)
            case wire.Echo():
                return interface.Probed(
                    record.office, _decode_outcome(record.reason), record.delay_seen, record.server_stats
                )
            case wire.Peer():
                return interface.PeerMessage(record.sender, record.raw)
        if record.how == _FAILED_LIST:
            return None
        if record.roster_id not in self.tables:
            raise ValueError(f"unknown table {record.roster_id}")
        exchanges = []
        for entry in self.tables[record.roster_id]:
            if entry.condition not in _CONDITIONS:
                raise ValueError(f"unknown condition {entry.condition}")
            exchanges.append(
                interface.Exchange(
                    entry.point_code, entry.office, _CONDITIONS[entry.condition], entry.start_time, entry.site
                )
            )
        return interface.Roster(record.how in (_FULL_LIST, _CACHED_LIST), tuple(exchanges))


def _encode_action(who: int, action: interface.Action) -> Any:
    """Returns the record of an action of the instance `who`."""
    match action:
        case interface.SetUp():
            return wire.Try(who, action.call, action.address, action.timeout_ms)
        case interface.Refuse():
            return wire.Shed(who, action.call, action.retry_after_ms)
        case interface.Fail():
            return wire.DropRequest(who, action.call)
        case interface.Cancel():
            return wire.DropAttempt(who, action.call, action.attempt)
        case interface.Probe():
            return wire.Touch(who, action.address)
        case interface.Wake():
            return wire.Remind(who, action.token, action.at_ms)
        case interface.Tell():
            return wire.Signal(who, _ALL_PEERS if action.peer is None else action.peer, action.payload)
        case interface.Note():
            return wire.Remark(who, action.text.encode()[:1000])


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to batches until the input ends; raises WireError for malformed input."""
    host = Host()
    while (frame := wire.read_frame(source)) is not None:
        batch = wire.decode_batch(frame)
        sink.write(wire.encode_reply(batch.serial, host.handle_batch(batch)))
        sink.flush()


def main() -> int:
    """Serves standard input; returns 2, with one line on standard error, for malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"ospreyvale: malformed input: {error}", file=sys.stderr)
        return 2
    return 0

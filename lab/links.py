"""Measures the service of devices on poor links: `python -m lab.links [calls|loss|memory|cost|index|moves]`.

Prints tables in the format of docs/devices.md.  The seeds are fixed.  All measurements but `memory`, `cost`
and `index` run on a virtual clock and give the same figures on any machine.
"""

from __future__ import annotations

import gc
import heapq
import math
import os
import resource
import statistics
import sys
import time
from collections import Counter
from typing import Any

from lab.impairment import Impairment
from lab.phone import PhoneCall
from lab.world import World
from ospreyvale.devices.index import FinalAnswer, RequestIndex, fingerprint
from ospreyvale.devices.request_manager import OutboxMessage, RequestManager
from ospreyvale.devices.sessions import Path, Sessions
from ospreyvale.protocol import sip
from tests.rig import CLASS_NAMES, SETTINGS, Rig

PHONE_COUNT = 40
MEAN_CALL_INTERVAL_MS = 120.0  # between the calls of all phones together
STALLS = Impairment(loss=0.2, jitter_ms=30.0, stall_interval_ms=20_000.0)
CLEAN = Impairment(jitter_ms=30.0)


class NoRetransmitManager(RequestManager):
    """A request manager that sends each message only once, for comparison."""

    def _on_ack_timeout(self, item: OutboxMessage) -> None:
        item.timer = self.clock.call_at(item.expires_at, lambda: self._expire(item))


def run_calls(
    model: Impairment, seed: int, calls: int, retransmit: bool = True
) -> tuple[World, list[tuple[PhoneCall, ...]]]:
    """Places calls of both classes: half over the counter protocol, 40% over SIP, a tenth over both at once.

    Returns the world and the calls of each request, one for each transport used.
    """
    world = World(seed, model, phones=PHONE_COUNT, retransmit=retransmit, free=400.0)
    if not retransmit:
        world.edge.request_manager.__class__ = NoRetransmitManager
    for phone in world.phones:
        phone.attach()
        world.sip_phones[world.phones.index(phone)].attach()
    world.run(6_000.0)
    requests: list[tuple[PhoneCall, ...]] = []
    for n in range(calls):
        phone_index = world.random_source.randrange(PHONE_COUNT)
        exchange = world.random_source.randint(1, 4)
        name = CLASS_NAMES[world.random_source.random() < 0.3]
        patience_ms = 1_800.0 if name == "item-hold" else 2_700.0
        request = world.random_source.randbytes(8)
        slot = n % 10  # 0 to 4: counter protocol, 5 to 8: SIP, 9: both
        request_calls: list[PhoneCall] = []
        if slot <= 4 or slot == 9:
            request_calls.append(world.phones[phone_index].call(name, exchange, patience_ms, request=request))
        if slot > 4:
            request_calls.append(
                world.sip_phones[phone_index].call(name, exchange, patience_ms, request=request)
            )
        requests.append(tuple(request_calls))
        world.run(world.random_source.expovariate(1 / MEAN_CALL_INTERVAL_MS))
    world.run(60_000.0)
    return world, requests


def request_outcome(calls: tuple[PhoneCall, ...]) -> tuple[str, float]:
    """Returns the first answer to a request over any transport, and the time until it in ms."""
    answers = [
        (at - call.requested_at, outcome)
        for call in calls
        for at, outcome in call.answers
        if outcome != "given_up"
    ]
    return (min(answers)[1], min(answers)[0]) if answers else ("given up", math.inf)


def count_faults(world: World, requests: list[tuple[PhoneCall, ...]]) -> tuple[int, int, int]:
    """Counts requests with conflicting answers, unanswered requests of waiting callers, seized circuits."""
    conflicting = unanswered = 0
    for calls in requests:
        outcomes = {outcome for call in calls for _, outcome in call.answers} - {"given_up"}
        conflicting += len(outcomes) > 1
        unanswered += not outcomes and not any(call.gave_up or call.answers for call in calls)
    seized = sum(world.rig.initial_free - free for free in world.rig.free.values())
    return conflicting, unanswered, int(seized)


def service_share(requests: list[tuple[PhoneCall, ...]], class_name: str) -> float:
    """Returns the earned share of the offered worth in a call class; a late answer earns the late worth."""
    call_class = SETTINGS.classes[CLASS_NAMES.index(class_name)]
    outcomes = [request_outcome(calls) for calls in requests if calls[0].call_class == class_name]
    return sum(
        (1.0 if answer_ms <= call_class.aim_ms else call_class.late_worth)
        for outcome, answer_ms in outcomes
        if outcome == "stands"
    ) / len(outcomes)


def print_calls() -> None:
    """Measures 10,000 calls over both transports on clean and poor links, with and without retransmission.

    The poor links lose 20% of the packets in each direction, with and without stalls of 2 s.  With stalls and
    retransmission, this is the case that the operators require as proof.
    """
    print(
        "| link | calls | two answers | none | given up | circuits left "
        "| item-hold service | stock-check service |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for title, model, retransmit in (
        ("clean", CLEAN, True),
        ("20% loss each way, 2 s stalls", STALLS, True),
        ("the same, everything said once", STALLS, False),
        ("20% loss each way, no stalls", Impairment(loss=0.2, jitter_ms=30.0), True),
    ):
        world, requests = run_calls(model, 11, 10_000, retransmit)
        conflicting, unanswered, seized = count_faults(world, requests)
        given_up = sum(request_outcome(calls)[0] == "given up" for calls in requests)
        print(
            f"| {title} | {len(requests):,} | {conflicting} | {unanswered} | {given_up} | {seized} "
            f"| {service_share(requests, 'item-hold'):.3f} | {service_share(requests, 'stock-check'):.3f} |"
        )


def print_loss() -> None:
    """Measures the time until the answer for several loss rates, without stalls."""
    print("| loss each way | answered | median ms | 99th percentile ms | given up |")
    print("| --- | --- | --- | --- | --- |")
    for loss in (0.0, 0.05, 0.1, 0.2, 0.4):
        _, requests = run_calls(Impairment(loss=loss, jitter_ms=30.0), 12, 3_000)
        answer_times = sorted(ms for outcome, ms in map(request_outcome, requests) if outcome == "stands")
        given_up = sum(request_outcome(calls)[0] == "given up" for calls in requests)
        print(
            f"| {loss:.0%} | {len(answer_times) / len(requests):.3f} | {statistics.median(answer_times):.0f} "
            f"| {answer_times[int(0.99 * len(answer_times))]:.0f} | {given_up} |"
        )


def print_memory() -> None:
    """Counts the sessions that fit in 64 MB, each with two measured paths."""

    def resident_bytes() -> int:
        gc.collect()
        with open("/proc/self/statm") as source:
            return int(source.read().split()[1]) * resource.getpagesize()

    sessions = Sessions(10**7, 1e9, lambda session: None)
    initial_bytes = resident_bytes()
    count = 0
    while resident_bytes() - initial_bytes < 64 * 2**20:
        for _ in range(5_000):
            count += 1
            session = sessions.get_or_create(f"counter-{count:07}", 0.0)
            assert session is not None
            sessions.bind_cid(session, count.to_bytes(8, "big"))
            session.key = bytes(24) + count.to_bytes(8, "big")
            session.replay_window.accept(300)
            for port in (1, 2):
                path = Path("counter", (f"127.{count % 250}.0.{port}", count), 0.0, True)
                path.rtt.add_sample(30.0)
                session.add_path(path)
    print(f"sessions in 64 MB: {count:,} ({64 * 2**20 / count:,.0f} bytes each, two measured paths)")


def print_cost() -> None:
    """Measures the edge's processor time per call, relative to codec and front of plain SIP over TCP."""
    from ospreyvale.fronts.drain import Drain
    from ospreyvale.fronts.sip import SipFront
    from ospreyvale.transport.loop import Loop
    from tests.player import MemoryLink, NoPoller

    def run_plain_sip(count: int) -> float:
        rig = Rig(lambda order: ("answer", 30.0), free=400.0)
        rig.run(200.0)
        loop = Loop(lambda: rig.clock.now, NoPoller())
        front = SipFront(
            loop,
            rig.core,
            "n0",
            CLASS_NAMES,
            (9_000.0, 6_000.0),
            Counter(),
            lambda event, **more: None,
            Drain(loop, lambda event, **more: None),
            (),
            1,
            1024,
        )
        connection = MemoryLink(loop)
        spent_s = 0.0
        loop.start(front.serve(connection))
        for call in range(1, count + 1):
            invite = sip.encode(
                f"INVITE sip:{call:016x}@net SIP/2.0",
                [
                    ("via", "SIP/2.0/TCP p"),
                    ("call-id", f"{call:016x}"),
                    ("cseq", "1 INVITE"),
                    ("priority-class", "item-hold"),
                    ("expires-ms", "1800"),
                    ("p-trunk-info", f"dest:{1 + call % 4};width:1;via:-1"),
                ],
            )
            ack = sip.encode(
                f"ACK sip:{call:016x}@net SIP/2.0",
                [("via", "SIP/2.0/TCP p"), ("call-id", f"{call:016x}"), ("cseq", "1 ACK")],
            )
            started_at = time.process_time()
            connection.inbox += invite
            loop.fire(connection.readable)
            loop.turn()
            rig.run(40.0)
            connection.inbox += ack
            loop.fire(connection.readable)
            loop.turn()
            spent_s += time.process_time() - started_at
            rig.run(40.0)
            connection.sent.clear()
        return spent_s / count

    def run_devices(count: int, over_sip: bool) -> float:
        world = World(1, Impairment(delay_ms=5.0), phones=20, free=400.0)
        world.attach_sip() if over_sip else world.attach()
        spent_s = [0.0]

        def timed(function: Any) -> Any:
            def wrapper(*arguments: Any) -> Any:
                started_at = time.process_time()
                result = function(*arguments)
                spent_s[0] += time.process_time() - started_at
                return result

            return wrapper

        world.edge.sip.receive = timed(world.edge.sip.receive)  # type: ignore[method-assign]
        world.edge.counter.receive = timed(world.edge.counter.receive)  # type: ignore[method-assign]
        world.edge.request_manager.answer = timed(world.edge.request_manager.answer)  # type: ignore[method-assign]
        for n in range(count):
            phone: Any = (world.sip_phones if over_sip else world.phones)[n % 20]
            phone.call("item-hold", 1 + n % 4, 1_800.0)
            world.run(80.0)
        return spent_s[0] / count

    plain_s = statistics.median(run_plain_sip(2_000) for _ in range(5))
    for title, over_sip in (("counter protocol", False), ("SIP over UDP", True)):
        device_s = statistics.median(run_devices(2_000, over_sip) for _ in range(5))
        print(
            f"{title}: {device_s / plain_s:.2f} of plain SIP over TCP on a clean link "
            "(median of 5 runs of 2,000 calls)"
        )


class DictAndHeap:
    """The reference for the index: a dict, and a heap of the expiry times."""

    def __init__(self) -> None:
        self.entries: dict[int, FinalAnswer] = {}
        self.expiries: list[tuple[float, int]] = []

    def put(self, now: float, key: int, value: FinalAnswer) -> None:
        """Adds an entry and removes the expired ones."""
        self.entries[key] = value
        heapq.heappush(self.expiries, (now + 60_000.0, key))
        while self.expiries and self.expiries[0][0] <= now:
            self.entries.pop(heapq.heappop(self.expiries)[1], None)


def print_index() -> None:
    """Measures time and memory of a million requests in the request index and in a dict with a heap."""
    count = 1_000_000
    answer = FinalAnswer(b"12345678", 1)
    keys = [fingerprint(b"salt", f"d{n % 5_000}", n.to_bytes(8, "big")) for n in range(count)]

    def resident_bytes() -> int:
        with open("/proc/self/statm") as source:
            return int(source.read().split()[1]) * resource.getpagesize()

    def fill_heap() -> Any:
        table = DictAndHeap()
        for position, key in enumerate(keys):
            table.put(position * 0.2, key, answer)
            table.entries.get(key)
        return table

    def fill_index() -> Any:
        table: RequestIndex[Any] = RequestIndex(60_000.0)
        for position, key in enumerate(keys):
            table.rotate(position * 0.2)
            table.finish(key, answer)
            table.find(key)
        return table

    median_s = {}
    for name, fill in (("dict with a heap", fill_heap), ("two generations", fill_index)):
        times = []
        sizes = []
        entries = 0
        for _ in range(3):  # in a new process each, so that none reuses memory freed by another
            gc.collect()
            read, write = os.pipe()
            if not os.fork():
                initial_bytes = resident_bytes()
                started_at = time.process_time()
                table = fill()
                cpu_s = time.process_time() - started_at
                size = resident_bytes() - initial_bytes
                entries = len(table.entries) if isinstance(table, DictAndHeap) else len(table)
                os.write(write, f"{cpu_s} {size} {entries}".encode())
                os._exit(0)
            os.wait()
            cpu_text, size_text, entries_text = os.read(read, 100).decode().split()
            times.append(float(cpu_text))
            sizes.append(int(size_text))
            entries = int(entries_text)
        median_s[name] = statistics.median(times)
        print(f"{name}: {entries:,} held at the end, {statistics.median(sizes) / 2**20:.0f} MiB more")
    ratio = median_s["two generations"] / median_s["dict with a heap"]
    print(f"time of two generations over a dict with a heap: {ratio:.2f}")


def print_moves() -> None:
    """Measures the service while addresses change every 5 s, without and with loss."""
    print("| link | calls | given up | service |")
    print("| --- | --- | --- | --- |")
    for loss in (0.0, 0.2):
        model = Impairment(
            loss=loss, jitter_ms=30.0, address_changes_at=tuple(5_000.0 * n for n in range(1, 60))
        )
        world = World(13, model, phones=PHONE_COUNT, free=400.0)
        world.attach()
        calls = world.place_calls(2_000, MEAN_CALL_INTERVAL_MS)
        print(
            f"| {loss:.0%} loss, a new address every 5 s | {len(calls):,} "
            f"| {sum(call.gave_up for call in calls)} "
            f"| {world.service_share(calls):.3f} |"
        )
        assert world.faults() == []


def main() -> None:
    """Prints the measurements named on the command line, or all."""
    measurements = {
        "calls": print_calls,
        "loss": print_loss,
        "memory": print_memory,
        "cost": print_cost,
        "index": print_index,
        "moves": print_moves,
    }
    for name in sys.argv[1:] or measurements:
        print(f"\n{name}")
        measurements[name]()


if __name__ == "__main__":
    main()

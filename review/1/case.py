"""The processor of an exchange hangs for 6 s; calls that come to their end meanwhile are released after it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import *  # noqa: F403

ONE_WAY_S = 0.02  # "8 to 25 ms one way between them"
HANG_S = 6.0  # "take set-ups and answer none for 5.4 to 21 s"
EXCHANGES = 7  # "up to 15% of the exchanges": one of seven
CALLS = 30
INTERVAL_S = 0.2  # between two set-ups, and between two ends
RELEASE_S = 1.0 + 0.05  # the rule's bound, and 50 ms as for every time limit


async def case(record, directory):
    exchanges = [Exchange(number, record) for number in range(EXCHANGES)]
    for exchange in exchanges:
        await exchange.start()
    far = exchanges[1]
    path = Proxy(record, "path to exchange 1", far.port, ONE_WAY_S)
    far.endpoint_port = path.port
    bus = EventBus(record, exchanges)
    await bus.start()
    program = Program(record, directory, bus)
    program.start()
    await program.ready()
    caller = Caller("caller", record, program.port)
    await caller.connect()
    await asyncio.sleep(1.0)
    calls = [0x1000 + index for index in range(CALLS)]
    for call in calls:
        caller.invite(call, 1)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(1.0)
    if any(caller.answers.get((call, "INVITE"), (0, 0))[1] != 200 for call in calls):
        raise CannotRun("a call did not stand")

    works_at = now() + HANG_S
    if TROUBLE:
        far.hang(True)
    await asyncio.sleep(works_at - 1.3 - now())
    caller.invite(0x2000, 1)  # one more call, which waits for the processor
    for call in calls:
        if far.hung and now() >= works_at:
            far.hang(False)
        await asyncio.sleep(INTERVAL_S if not far.hung else min(INTERVAL_S, max(0.0, works_at - now())))
        far.end_call(call)
    await asyncio.sleep(10.0)

    late = []
    for call, at in far.released_here.items():
        heard = caller.releases.get(call)
        if call in calls and (heard is None or heard > at + RELEASE_S):
            late.append(call)
            record(
                f"call {call:016x}: released by the exchange at {at - record.started:.3f},"
                f" released to its caller {'never' if heard is None else f'at {heard - record.started:.3f}'}"
            )
    record(f"{len(far.released_here)} calls released by the exchange, {len(late)} of them not to their callers in time")
    return bool(late)


play(case)

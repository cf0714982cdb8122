"""The network resets connections to an exchange under set-ups while callers hang up; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Caller, Exchange, NetworkPath, World, now_ms, run

ONE_WAY_S = 0.02  # between two zones: 8 to 25 ms
RESETS = 15
PAUSE_S = 2.0  # between two resets
CALLS_PER_S = 25.0
MEAN_HOLD_S = 3.0  # drawn from 1 to 5 s
SETTLE_S = 12.0


async def case(world: World) -> list[str]:
    """Returns the calls that callers hung up and that still stand at the exchange."""
    paths: list[NetworkPath] = []

    async def in_front(exchange: Exchange) -> int:
        paths.append(NetworkPath(world.record, exchange, ONE_WAY_S))
        return await paths[0].start()

    await world.start(in_front={1: in_front})
    far = world.exchanges[1]
    far.circuits = 400
    caller = Caller(world.record)
    await caller.connect(world.program.port)
    source = random.Random(9)
    hung_up: dict[int, float] = {}

    async def one_call() -> None:
        call, answer = caller.invite(1)
        if await asyncio.wait_for(answer, 10.0) == 200:
            await asyncio.sleep(source.uniform(1.0, 2.0 * MEAN_HOLD_S - 1.0))
            if call not in caller.released and await asyncio.wait_for(caller.bye(call), 5.0) == 200:
                hung_up[call] = now_ms()

    tasks: list[asyncio.Task[None]] = []

    async def offer_calls() -> None:
        while True:
            tasks.append(asyncio.create_task(one_call()))
            await asyncio.sleep(source.expovariate(CALLS_PER_S))

    offering = asyncio.create_task(offer_calls())
    await asyncio.sleep(2.0 * MEAN_HOLD_S)
    for _ in range(RESETS):
        if TROUBLE:
            paths[0].reset_at_set_up = True
        await asyncio.sleep(PAUSE_S)
    offering.cancel()
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    world.record.say(f"{len(tasks)} calls, {len(hung_up)} hung up with 200, {len(far.standing)} left standing")
    return [
        f"{call:016x}: hung up by its caller with 200 to the BYE, and still stands at {far.name} "
        f"{(now_ms() - hung_up[call]) / 1000.0:.0f} s later"
        for call in far.standing
        if call in hung_up
    ]


run(case, __file__)

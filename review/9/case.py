"""An exchange forgets its idle connection while calls stand there, at a site without probes; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Caller, Exchange, NetworkPath, World, run, scot_stock_net, stand

IDLE_S = 10.0  # ConnIdleMs of the settings
CALLS = 8
WAIT_S = 12.0
LIMIT_MS = 8_000.0 + 50.0  # for a release towards the client, if none could be sent


async def case(world: World) -> list[str]:
    """Returns the calls whose callers were not told of their end in time."""
    paths: list[NetworkPath] = []

    async def in_front(exchange: Exchange) -> int:
        paths.append(NetworkPath(world.record, exchange))
        return await paths[0].start()

    await world.start(site=scot_stock_net, in_front={1: in_front}, ConnIdleMs=1000.0 * IDLE_S)
    far = world.exchanges[1]
    caller = Caller(world.record)
    caller.customer = ""
    await caller.connect(world.program.port)
    calls = await stand(caller, far, CALLS, "pallet-transfer", 2)
    await asyncio.sleep(IDLE_S + 0.5)
    if TROUBLE:
        paths[0].forget()
    await asyncio.sleep(1.5)
    for call in calls:
        far.end_call(call)
    await asyncio.sleep(WAIT_S)
    broken = []
    for call in calls:
        ended_at = far.over[call][0]
        told_at = caller.released.get(call)
        if told_at is None or told_at > ended_at + LIMIT_MS:
            when = "was not told" if told_at is None else f"was told {told_at - ended_at:.0f} ms later"
            broken.append(f"{call:016x} ended at {far.name}; its caller {when} ({WAIT_S:.0f} s watched)")
    return broken


run(case, __file__)

"""A machine freezes and wakes again; it reads requests late whose clients have
sent their jobs again, to a node of another zone."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standin  # noqa: E402

ROUNDS = 6
CLIENTS = 8
BUDGET_MS = 1500
RESEND_MS = 1300
FREEZE_S = 3.5


async def client(day, first, then, number):
    """Hands a job in, waits for its time budget, closes its channel, and sends
    the job again after the delay of the pages."""
    await asyncio.sleep(0.05 + number * 0.1)
    name = day.new_job([{"count": 1, "cpu": 3000, "mem_mb": 64,
                         "estimate_ms": 900}], 900)
    reply = await day.post(name, first, BUDGET_MS, BUDGET_MS / 1000)
    if not isinstance(reply, standin.Reply):
        await asyncio.sleep(RESEND_MS / 1000)
        await day.post(name, then, BUDGET_MS)


async def case(day, trouble):
    # The first host is the strongest of its zone, so that it gives the orders.
    day.host("front-1", "zone-1", share=0.62)
    frozen = day.host("front-2", "zone-1", share=0.19)
    other = day.host("front-3", "zone-2")
    for number in range(6):
        day.runner(f"runner-{number + 1}", f"zone-{number % 2 + 1}")
    day.checks.append(day.check_twice)
    await day.start()
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        if trouble:
            frozen.signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                FREEZE_S, frozen.signal, signal.SIGCONT)
        await asyncio.gather(*(client(day, frozen, other, number)
                               for number in range(CLIENTS)))
        await asyncio.sleep(5)


standin.main(case)

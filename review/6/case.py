"""A rolling restart while a runner that is at work has lost the store: the restarted host takes the shard over without
knowing the runner, and starts its task again elsewhere."""
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from world import *

JOB = "5c0e7a21d94b36f8"


async def case(world):
    await world.start_store()
    for i in range(5):
        await world.add_runner(f"runner-{i}", "patan", ["a", "r1-1"])
    owner, restarted, entry = [await world.add_host(i, "patan", 0.25) for i in (1, 2, 3)]
    await world.all_ready()
    await asyncio.sleep(CONTACT_S + 1)
    if world.owner(world.hosts) is not owner:
        raise CannotRun("another host owns the shard")
    world.post(entry, JOB, job(20000), 25000)
    await world.until(lambda: world.runs_of(JOB), 3, "the job started")
    runner = next(one for one in world.runners if one.name == world.runs[0]["runner"])

    # Two cuts, between which the runner has no report to send.
    await runner.reported.wait()
    began = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0, began + seconds - time.monotonic()))

    async def cut_twice():
        await at(0.1)
        runner.cut(5)
        await at(5.9)
        runner.cut(5)
    if TROUBLE:
        world.spawn(cut_twice())

    # Planned work: the hosts are stopped and started in turn.
    async def restart(host):
        host.send_signal(signal.SIGTERM)
        await host.wait_end()
        await host.start()
    await at(2.3)
    await restart(restarted)
    world.note("entry", runner=runner.name, listed=runner.is_listed())
    await at(9)
    second = world.spawn(restart(owner))
    await at(14)
    await second
    twice = overlaps(world.runs_of(JOB))
    return bool(twice), "; ".join(f"{one['task']} at work on {one['runner']} and {other['runner']} for {ms} ms"
                                  for one, other, ms in twice) or "no two runs at the same time"


play(case)

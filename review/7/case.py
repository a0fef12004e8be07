"""Rolling restart beside a new runner while the store's reads are behind: the restarted host takes the shard over without
knowing the runner that is at work, and starts the task again elsewhere."""
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from world import *

JOB = "5c0e7a21d94b36f8"


async def case(world):
    await world.start_store()
    for i in range(4):
        await world.add_runner(f"runner-{i}", "patan", ["a", "r1-1"])
    owner, restarted, entry = [await world.add_host(i, "patan", 0.25) for i in (1, 2, 3)]
    await world.all_ready()
    await asyncio.sleep(CONTACT_S + 1)
    if world.owner(world.hosts) is not owner:
        raise CannotRun("another host owns the shard")

    # Other work fills the four runners for a while, so that the new one gets the job.
    for i in range(4):
        world.post(entry, f"000000000000000{i}", job(3500, cpu=12000))
    await world.until(lambda: len(world.runs) == 4, 3, "other jobs started")

    # Planned work: the hosts are stopped and started in turn, and a runner is added.
    async def restart(host):
        host.send_signal(signal.SIGTERM)
        await host.wait_end()
        await host.start()
    first = world.spawn(restart(restarted))
    await asyncio.sleep(0.9)
    added = await world.add_runner("runner-4", "patan", ["a", "r1-1"])
    world.note("runner_added", runner=added.name)
    world.post(entry, JOB, job(12000, cpu=12000), 20000)
    await world.until(lambda: world.runs_of(JOB), 3, "the job started")
    if world.runs_of(JOB)[0]["runner"] != added.name:
        raise CannotRun("the job started elsewhere")
    if TROUBLE:
        world.note("store_compacts", behind_s=5.5, for_s=12)
        world.spawn(world.store.compact(5.5, 12))
    await first
    await asyncio.sleep(2.8)
    # The next one in turn.
    second = world.spawn(restart(owner))
    await asyncio.sleep(4)
    await second
    twice = overlaps(world.runs_of(JOB))
    return bool(twice), "; ".join(f"{one['task']} at work on {one['runner']} and {other['runner']} for {ms} ms"
                                  for one, other, ms in twice) or "no two runs at the same time"


play(case)

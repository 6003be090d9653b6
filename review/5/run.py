"""See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import BOUNDS, HOST, Deployment, play

ROUTES = [{"name": "desk", "host": HOST, "prefix": "/desk/", "service": "desk", "priority": 0, "maxAttempts": 4,
           "stretch": 4.0, "targetDurationMs": 1000},
          {"name": "laundry", "host": HOST, "prefix": "/laundry/", "service": "desk", "priority": 2, "maxAttempts": 4,
           "stretch": 4.0, "targetDurationMs": 1000}]
# A service whose tasks fail shortly after each start.
HOPELESS = {"cpu": 200, "ms": 60, "fails": True}
HOPELESS_TASKS = 12
HOPELESS_AT_S = 5.0
PLAIN = {"cpu": 1000, "ms": 400, "fails": False}
# Steps that follow each other.
STEPS = 8
TRAFFIC_S = 20.0
PLAIN_PER_S = 1
WATCH_S = 3.0


def make():
    return Deployment(pathlib.Path(__file__).parent, ROUTES, [("a", f"r{i // 3 + 1}") for i in range(6)])


async def hand_in_plain(deployment, plain):
    size = {"count": 1, "cpu": PLAIN["cpu"], "memMb": 200, "estimateMs": PLAIN["ms"]}
    steps = [size] + [{**size, "after": [number]} for number in range(STEPS - 1)]
    for _ in range(int(TRAFFIC_S * PLAIN_PER_S)):
        plain.append(await deployment.submit("laundry", PLAIN, steps))
        await asyncio.sleep(1 / PLAIN_PER_S)


async def hand_in_hopeless(deployment):
    await asyncio.sleep(HOPELESS_AT_S)
    await deployment.submit("desk", HOPELESS, [{"count": HOPELESS_TASKS, "cpu": HOPELESS["cpu"], "memMb": 200,
                                                "estimateMs": 1000, "longRunning": True}])


async def story(deployment):
    record = deployment.record
    plain = []
    parts = [hand_in_plain(deployment, plain)]
    if deployment.trouble:
        parts.append(hand_in_hopeless(deployment))
    await asyncio.gather(*parts)
    record.note("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    # Rule LOST: for 3 s on end nothing of the job runs although a task's turn has come, less than half of the service is in
    # use, and there is room for twice the job.
    quiet_since = {}
    watched_from = record.now()
    while record.now() - watched_from < 15.0:
        roomy = sum(deployment.free_cpu(worker) // PLAIN["cpu"] for worker in deployment.workers) >= 2
        idle = deployment.used_cpu() * 2 < sum(worker.cpu for worker in deployment.workers)
        for job in plain:
            done = {end[1] for worker in deployment.workers for end in worker.history
                    if end[1].startswith(job) and end[3] == "done"}
            waits = deployment.jobs[job]["accepted"] and len(done) < STEPS and not deployment.running_tasks(job)
            if not (waits and roomy and idle):
                quiet_since.pop(job, None)
            elif record.now() - quiet_since.setdefault(job, record.now()) > WATCH_S:
                status, content = await deployment.query(job)
                return (f"LOST: later than {BOUNDS['finish_s']} s after the end of the traffic, job {job} had nothing "
                        f"running for {WATCH_S:.0f} s with {len(done)} of {STEPS} steps done and "
                        f"{deployment.used_cpu()} of {sum(worker.cpu for worker in deployment.workers)} thousandths of a "
                        f"core in use; {sum(1 for each in plain if deployment.jobs[each]['accepted'])} jobs were accepted, "
                        f"{len(quiet_since)} wait; it is shown as {content.get('state', status)}")
        await asyncio.sleep(0.1)
    return None


play(make, story)

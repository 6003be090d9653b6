"""See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import BOUNDS, HOST, Deployment, play

ROUTES = [{"name": "reserve", "host": HOST, "prefix": "/reserve/", "service": "desk", "priority": 0, "maxAttempts": 4,
           "stretch": 4.0, "targetDurationMs": 1000},
          {"name": "laundry", "host": HOST, "prefix": "/laundry/", "service": "desk", "priority": 2, "maxAttempts": 4,
           "stretch": 4.0, "targetDurationMs": 1000}]
# Work for which only one worker has the label: 75 of these fit on it at once.
LABELLED = {"cpu": 200, "ms": 20000, "fails": False}
LABELLED_JOBS = 75
PLAIN = {"cpu": 1000, "ms": 400, "fails": False}
# Seconds of traffic, and when the worker is lost.
TRAFFIC_S = 20.0
LOSS_AT_S = 5.0
PLAIN_PER_S = 2
WATCH_S = 5.0


def make():
    # One worker of eight is lost: 12.5%. The other seven can run all jobs but the labelled ones.
    return Deployment(pathlib.Path(__file__).parent, ROUTES, [("b", "r1")] + [("a", f"r{i // 3 + 1}") for i in range(7)])


async def hand_in_labelled(deployment):
    step = {"count": 1, "cpu": LABELLED["cpu"], "memMb": 200, "estimateMs": LABELLED["ms"], "requiredLabel": "b"}
    calls = []
    for _ in range(LABELLED_JOBS):
        calls.append(asyncio.ensure_future(deployment.submit("reserve", LABELLED, [step])))
        await asyncio.sleep(10.0 / LABELLED_JOBS)
    await asyncio.gather(*calls)


async def hand_in_plain(deployment, plain):
    step = {"count": 1, "cpu": PLAIN["cpu"], "memMb": 200, "estimateMs": PLAIN["ms"]}
    for _ in range(int(TRAFFIC_S * PLAIN_PER_S)):
        plain.append(await deployment.submit("laundry", PLAIN, [step]))
        await asyncio.sleep(1 / PLAIN_PER_S)


async def lose_worker(deployment):
    await asyncio.sleep(LOSS_AT_S)
    await deployment.workers[0].crash()
    # After three heartbeats that didn't come.
    await asyncio.sleep(4.5)
    deployment.remove_entry(deployment.workers[0])


async def story(deployment):
    record = deployment.record
    plain = []
    parts = [hand_in_labelled(deployment), hand_in_plain(deployment, plain)]
    if deployment.trouble:
        parts.append(lose_worker(deployment))
    await asyncio.gather(*parts)
    record.note("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    for job in plain:
        await deployment.query(job)
    waiting = [job for job in plain if deployment.jobs[job]["accepted"] and not deployment.starts_of(job)]
    record.note(f"{len(waiting)} of {len(plain)} plain jobs have not begun")
    # Rule LOST: for 3 s on end nothing of the job runs, less than half of the service is in use, and there is room for
    # twice the job.
    watched_from = record.now()
    while waiting and record.now() - watched_from < WATCH_S:
        up = [worker for worker in deployment.workers if worker.up]
        roomy = sum(deployment.free_cpu(worker) // PLAIN["cpu"] for worker in up) >= 2
        idle = deployment.used_cpu() * 2 < sum(worker.cpu for worker in up)
        if not (roomy and idle):
            return None
        waiting = [job for job in waiting if not deployment.starts_of(job)]
        await asyncio.sleep(0.1)
    if not waiting:
        return None
    _, content = await deployment.query(waiting[0])
    return (f"LOST: {len(waiting)} accepted jobs that seven workers could run had nothing running for {WATCH_S:.0f} s, "
            f"later than {BOUNDS['finish_s']} s after the end of the traffic, with {deployment.used_cpu()} of "
            f"{sum(worker.cpu for worker in up)} thousandths of a core in use; the first is shown as {content['state']}")


play(make, story)

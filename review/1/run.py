"""See claim.txt."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import HOST, CannotRun, Deployment, play

ROUTES = [{"name": "notices", "host": HOST, "prefix": "/notices/", "service": "desk", "priority": 1, "maxAttempts": 4,
           "stretch": 4.0, "targetDurationMs": 1000}]
# Small tasks, of which 800 fit on a worker at once.
TASK = {"cpu": 20, "ms": 2000, "fails": False}
JOBS = 50
TASKS_OF_JOB = 20
FREEZE_S = 4.0


def make():
    return Deployment(pathlib.Path(__file__).parent, ROUTES, [("a", f"r{i // 3 + 1}") for i in range(6)])


def all_starts(deployment):
    return [(start, worker) for worker in deployment.workers for start in worker.starts]


async def story(deployment):
    record = deployment.record
    await asyncio.sleep(1.0)
    step = {"count": TASKS_OF_JOB, "cpu": TASK["cpu"], "memMb": 10, "estimateMs": TASK["ms"]}
    jobs = await asyncio.gather(*(deployment.submit("notices", TASK, [step]) for _ in range(JOBS)))
    until = record.now() + 5.0
    while len(all_starts(deployment)) < JOBS * TASKS_OF_JOB * 0.9:
        await asyncio.sleep(0.02)
        if record.now() > until:
            raise CannotRun("the tasks did not start")
    first = min(start[0] for start, _ in all_starts(deployment))
    # The tasks end soon.
    await asyncio.sleep(max(0.0, first + TASK["ms"] / 1000 - 0.1 - record.now()))
    leader = deployment.leader()
    if leader is None:
        raise CannotRun("no daemon leads")
    if deployment.trouble:
        leader.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, leader.signal, signal.SIGCONT)
    await asyncio.sleep(FREEZE_S + 10.0)
    # Rule TWICE: no start after a run has ended done, if that end is taken note of then or later in a lease that lasted.
    ended = {}
    for worker in deployment.workers:
        for _, task, _, ended_at in worker.noted:
            ended[task] = min(ended_at, ended.get(task, ended_at))
    again = [(start, worker.name) for start, worker in all_starts(deployment) if start[0] > ended.get(start[1], 1e9)]
    states = [(await deployment.query(job))[1].get("state") for job in jobs]
    record.note(f"states of the jobs: { {state: states.count(state) for state in set(states)} }")
    if not again:
        return None
    (at, task, attempt, _), name = again[0]
    return (f"TWICE: {len({start[1] for start, _ in again})} of {JOBS * TASKS_OF_JOB} tasks were started again after a run "
            f"that had ended as done and was taken note of; the first, {task}, had ended at {ended[task]:.3f} and was started "
            f"on {name} at {at:.3f} as attempt {attempt}")


play(make, story)

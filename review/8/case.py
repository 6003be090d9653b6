"""A worker loses power and starts again under its id, at another address."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import System, Worker, main, now  # noqa: E402
from http_server import NO_ANSWER, HttpServer  # noqa: E402

WORKERS = 8
# The first worker that gets a start after this goes dark, for this long.
CRASH_AT_S = 6.0
DOWN_S = 1.5
TRAFFIC_S = 30.0
FINISH_S = 14.0
TASKS = 12


class CrashingWorker(Worker):
    """Its clock has run for an hour when the script begins, and starts anew with each life."""

    crash_at = None
    victim = None

    def __init__(self, record, store, name, ip):
        super().__init__(record, store, name, ip)
        self.offset = 3600000
        self.dark = False

    def clock_ms(self):
        return int(self.offset + (now() - self.begun) * 1000)

    def turn(self):
        if not self.dark:
            super().turn()

    async def take(self, method, path, headers, body):
        crash_at = CrashingWorker.crash_at
        if path == "/v1/run-start" and crash_at is not None and now() >= crash_at and CrashingWorker.victim is None:
            CrashingWorker.victim = self
            self.dark = True
            self.record.note(f"worker {self.name} loses power with {len(self.runs)} runs")
            asyncio.get_running_loop().call_later(DOWN_S, lambda: asyncio.ensure_future(self.be_born()))
        if self.dark:
            return NO_ANSWER
        answer = await super().take(method, path, headers, body)
        return NO_ANSWER if self.dark else answer

    async def be_born(self):
        old = f"{self.ip}:{self.port}"
        await self.server.close()
        self.server = HttpServer(self.take)
        self.port = await self.server.start(self.ip)
        self.begun, self.offset = now(), 0
        self.born = int(time.time() * 1000)
        self.runs, self.ends, self.number, self.token, self.until, self.stopped = {}, [], 0, 0, 0, {}
        self.dark = False
        self.record.note(f"worker {self.name} starts again at {self.ip}:{self.port}, before at {old}")
        self.beat()


async def case(trouble):
    CrashingWorker.victim = CrashingWorker.crash_at = None
    system = System(pathlib.Path(__file__).resolve().parent, workers=WORKERS, worker=CrashingWorker)
    record = system.record
    accepted = []
    try:
        await system.start()
        await asyncio.sleep(4)
        begun = now()
        CrashingWorker.crash_at = begun + CRASH_AT_S if trouble else None
        content = {"spec": "1 reservation", "steps": [{"count": TASKS, "cpu": 200, "memMb": 100, "estimateMs": 1000}]}
        number = 0

        async def hand_in(job):
            if await system.submit(job, content, tries=4):
                accepted.append((job, now()))

        pending = []
        while now() < begun + TRAFFIC_S:
            number += 1
            pending.append(asyncio.create_task(hand_in(f"{0xb000000000000000 + number:016x}")))
            await asyncio.sleep(0.2)
        await asyncio.gather(*pending)
        record.note(f"end of the traffic: {len(accepted)} of {number} jobs accepted")
        await asyncio.sleep(FINISH_S)
        open_jobs = []
        for job, at in accepted:
            status, body = await system.call(system.daemons[int(job, 16) % 3], "GET", f"/batch/{job}")
            if body.get("state") != "done":
                open_jobs.append(job)
                record.note(f"GET {job}: {status} {body}, accepted {now() - at:.1f} s ago")
        running = sum(len(worker.runs) for worker in system.workers)
        record.note(f"{FINISH_S:.0f} s after the traffic: {len(open_jobs)} of {len(accepted)} accepted jobs are not done; "
                    f"{running} tasks run on {WORKERS} idle workers of 16 cores")
        print("broken" if open_jobs else "held", f"{len(open_jobs)} of {len(accepted)} accepted jobs are not done")
        return 1 if open_jobs else 0
    finally:
        await system.stop()


main(case)

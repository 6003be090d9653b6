"""Urgent steps that no worker can run, and less urgent jobs beside idle workers."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness_3 as harness
from harness_3 import now

HOPELESS = 8
HOPELESS_WITHIN_S = 3.0
PLAIN_PER_S = 4
TRAFFIC_S = 40.0


class HopelessSteps(harness.Case):
    workers_count = 8

    async def plain_jobs(self, until):
        """Ordinary traffic: small jobs of two tasks."""
        self.plain = []
        while now() < until:
            job = harness.job_id()
            body = {"spec": json.dumps({"cpu": 1000, "ms": 600}),
                    "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 600}]}
            if await self.submit("batch", job, body):
                self.plain.append(job)
            await asyncio.sleep(1 / PLAIN_PER_S)

    async def hand_in_hopeless(self):
        """Jobs that can never be done: no worker has their label. They are to run each hour from a day in 1970 on, because
        `firstMs` was given in seconds."""
        body = {"spec": json.dumps({"cpu": 1000, "ms": 600}),
                "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 3600000, "gang": True,
                           "requiredLabel": "c"}],
                "repeatCount": 8760, "firstMs": int(time.time()), "intervalMs": 3600000}
        self.hopeless = 0
        for _ in range(HOPELESS):
            self.hopeless += await self.submit("urgent", harness.job_id(), body)
            await asyncio.sleep(HOPELESS_WITHIN_S / HOPELESS)

    async def play(self):
        start = now()
        traffic = asyncio.create_task(self.plain_jobs(start + TRAFFIC_S))
        await asyncio.sleep(5.0)
        if self.trouble:
            await self.hand_in_hopeless()
        await traffic
        self.note(f"end of the traffic; {len(self.plain)} plain jobs were accepted, and "
                  f"{self.hopeless if self.trouble else 0} that can't be done")
        await asyncio.sleep(harness.BOUNDS["finish_s"])
        await self.judge()

    def at_work(self, job):
        return any(task.startswith(job) for worker in self.workers for task in worker.runs)

    async def judge(self):
        capacity = sum(worker.capacity["cpu"] for worker in self.workers)
        unfinished = []
        for job, (status, answer) in (await self.states("batch", list(self.plain))).items():
            if status == 410 or answer.get("state") in ("failed", "cancelled"):
                self.fail(f"LOST: {job} was accepted and is shown as {status} {answer}")
            elif answer.get("state") != "done":
                unfinished.append(job)
                self.note(f"{job} is shown as {status} {answer}")
        waiting_since = dict.fromkeys(unfinished, now())
        until = now() + 5.0
        while now() < until:
            used = sum(worker.used() for worker in self.workers)
            for job in unfinished:
                if self.at_work(job) or used >= capacity / 2:
                    waiting_since[job] = now()
            await asyncio.sleep(0.05)
        lost = [job for job in unfinished if now() - waiting_since[job] >= 3.0]
        if lost:
            self.fail(f"LOST: {len(lost)} of {len(self.plain)} accepted jobs have had nothing at work for 3 s; "
                      f"{sum(worker.used() for worker in self.workers)} of {capacity} thousandths of a core are in use")


harness.main(HopelessSteps, pathlib.Path(__file__).resolve().parent)

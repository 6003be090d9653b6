"""What must hold, judged from what clients and workers see."""

import asyncio
import collections
import json
import time


def now():
    return asyncio.get_running_loop().time()


class Checker:
    def __init__(self, attempts):
        self.attempts = attempts
        self.violations = []
        self.runs = {}
        # The attempt of each gang that works.
        self.working = {}
        # Ends as done and as failed of a task, or of a gang by its step; those that were taken note of; starts that came
        # after ends.
        self.done = {}
        self.failed = {}
        self.noted = set()
        # Ends after which the worker's lease lapsed before they were taken note of.
        self.lapsed = set()
        self.starts_after_ends = []
        # When a client was first shown a job as done.
        self.shown_done = {}
        self.started_jobs = set()
        self.specs = {}
        # What workers saw, for the logs; how often members of gangs ended in each way.
        self.trace = []
        self.gang_ends = collections.Counter()
        # The worker of each attempt of a task.
        self.worker_of = {}
        # Checks of tenants, if there are any.
        self.tenants = None

    def fail(self, text):
        self.violations.append(f"{now():.2f} {text}")
        self.note(f"VIOLATION {text}")

    def note(self, text):
        self.trace.append(f"{now():.3f} {time.strftime('%H:%M:%S')} {text}")

    # --- from workers ---

    def run_started(self, worker, run):
        task = run["task"]
        job = task.split(".")[0]
        self.started_jobs.add(job)
        used = sum(json.loads(each["spec"])["cpu"] for each in worker.runs.values())
        if used > worker.capacity["cpu"]:
            self.fail(f"{worker.name} has {used} of {worker.capacity['cpu']} after the start of {task}")
        if task in self.runs:
            self.fail(f"{task} runs on {self.runs[task]} and on {worker.name}")
        self.note(f"start {task} attempt={run['attempt']} worker={worker.name}")
        first = self.worker_of.setdefault((task, run["attempt"]), worker.name)
        if first != worker.name:
            self.fail(f"attempt {run['attempt']} of {task} was used on {first} before, and now on {worker.name}")
        self.starts_after_ends.append((task, worker.name, run["attempt"], list(self.done.get(run["group"], [])),
                                       list(self.failed.get(run["group"], []))))
        if job in self.shown_done:
            self.fail(f"{task} was started on {worker.name} (attempt {run['attempt']}) after its job was shown as done at "
                      f"{self.shown_done[job]:.2f}")
        if self.specs.get(job) != run["spec"]:
            self.fail(f"{task} was started with a payload that no client sent")
        self.runs[task] = worker.name
        if self.tenants is not None:
            self.tenants.run_started(worker, run)

    def run_ended(self, worker, run, how, number):
        self.run_gone(worker, run)
        self.note(f"end {run['task']} attempt={run['attempt']} worker={worker.name} {how} number={number}")
        self.gang_ends[how] += run["gang"] is not None
        ends = {"done": self.done, "failed": self.failed}.get(how)
        if ends is not None:
            ends.setdefault(run["group"], []).append((worker.name, worker.born, number))

    def gang_works(self, gang):
        if gang.name in self.working:
            self.fail(f"{gang.name} works as attempt {self.working[gang.name]} and as attempt {gang.attempt}")
        self.working[gang.name] = gang.attempt

    def gang_over(self, gang):
        if self.working.get(gang.name) == gang.attempt:
            del self.working[gang.name]

    def run_gone(self, worker, run):
        if self.runs.get(run["task"]) == worker.name:
            del self.runs[run["task"]]

    def end_noted(self, worker, number):
        end = (worker.name, worker.born, number)
        if end not in self.lapsed:
            self.noted.add(end)
            self.note(f"noted worker={worker.name} number={number}")

    def lease_lapsed(self, worker):
        """Ends before this that nobody took note of don't bind anybody: the task may run elsewhere by now."""
        for ends in (*self.done.values(), *self.failed.values()):
            for end in ends:
                if end[:2] == (worker.name, worker.born) and end not in self.noted:
                    self.lapsed.add(end)

    # --- from clients ---

    def job_shown(self, job, state):
        if state == "done" and job not in self.shown_done:
            self.shown_done[job] = now()
            self.note(f"shown as done {job}")

    def finish(self, clients):
        """`clients` has the outcome of each job: see soak.Client."""
        for task, worker, attempt, done, failed in self.starts_after_ends:
            # One end stands for its whole gang.
            if not self.noted.isdisjoint(done):
                self.fail(f"{task} was started again on {worker} (attempt {attempt}) after an end that was taken note of")
            if len(self.noted.intersection(failed)) >= self.attempts:
                self.fail(f"{task} was started on {worker} (attempt {attempt}) after {self.attempts} failed runs")
        for job, seen in clients.items():
            outcomes = seen["outcomes"]
            if outcomes and all(outcome in (401, 403, 429, 503) for outcome in outcomes) and job in self.started_jobs:
                self.fail(f"{job} ran although all its submissions were refused")
            if 200 in outcomes and not seen["cancelled"]:
                may_fail = any(len(ends) >= self.attempts and group.startswith(job)
                               for group, ends in self.failed.items())
                expected = ("failed",) if seen["fails"] else ("done", "failed") if may_fail else ("done",)
                if seen["state"] not in expected:
                    self.fail(f"{job} was accepted and is shown as {seen['state']}, expected {' or '.join(expected)}")
            if 410 in seen["states"] and 200 in outcomes:
                self.fail(f"{job} was accepted and then said not to exist")

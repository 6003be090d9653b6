"""Guards against clients whose valid calls drive the leader, or its successor, over its memory: three daemons with the
soak's store and workers, beside ordinary clients. 100 such clients once took a leader to 4,542 MB in 8 s."""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import resource
import signal
import sys
import tempfile
import time

import load  # noqa: F401  (finds misc/cluster.py)
from cluster import SANITIZER_MARKS
from untrusted_clients import SANITIZER_ENV, STALL_S, Watch, answered, close, crowd, flood, sanitizer_bytes

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from soak import ADDRESS, HOST, Soak, now  # noqa: E402

MEMORY_MB = 64
MAX_FDS = 320
DAEMONS, WORKERS, ORDINARY_CLIENTS = 3, 2, 2
CROWD = 24
FLOOD_S = 5.0
# Lines of calls that no accepted job stands behind; a flood of them writes several times as much without a limit.
LOG_BYTES = 1 << 20
TAKEOVER_LIMIT_S = 30.0
STEP = {"count": 1, "cpu": 200, "memMb": 100, "estimateMs": 100}
SPEC = json.dumps({"cpu": 200, "ms": 100, "fails": False, "gangs": [0] * 250})


DEADLINE = "X-Wigeonkeel-Deadline-Ms"


def job(steps, **fields):
    return {"spec": SPEC, "steps": steps, **fields}


# Name, method and body of the calls; each names another job. Scheduled jobs have all occurrences overdue.
SHAPES = [
    ("one step of one task", "POST", job([STEP])),
    ("60 steps of one task", "POST", job([STEP] * 60)),
    ("one step of 1,000 tasks", "POST", job([{**STEP, "count": 1000}])),
    ("one step of 10,000 tasks", "POST", job([{**STEP, "count": 10000}])),
    ("250 steps of 10,000 tasks", "POST", job([{**STEP, "count": 10000}] * 250)),
    ("steps with long names", "POST", job([{**STEP, "image": "x" * 800}] * 250)),
    ("20,000 overdue occurrences", "POST", job([STEP], repeatCount=20000, firstMs=1000, intervalMs=60000)),
]
# Calls after which no job, or one, is accepted.
SHAPES_WITHOUT_JOBS = [
    ("submissions without steps", "POST", job([])),
    ("submissions with too long a spec", "POST", {**job([STEP]), "spec": "x" * 5000}),
    ("submissions of one job", "POST", job([STEP])),
    ("queries of one job", "GET", None),
    ("cancels of unknown jobs", "DELETE", None),
    ("cancels of one unknown job", "DELETE", None),
]
ABANDONED_SHAPES = [("submissions that are abandoned while the leader is paused", "POST",
                     job([{**STEP, "image": "x" * 800}] * 250))]


def call(method, number, body=None, headers=""):
    text = b"" if body is None else json.dumps(body).encode()
    return (f"{method} /batch/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n{headers}"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


def calls(name, method, body):
    """Returns a function of the next call."""
    numbers = itertools.repeat(1) if " of one " in name else itertools.count(1)
    return lambda: call(method, next(numbers), body)


def flood_all(watches, daemons, shape):
    clients = [client for index in range(CROWD)
               for client in crowd(ADDRESS, daemons[index % len(daemons)].ports["frontend"], 1)]
    watch = argparse.Namespace(sample=lambda: [each.sample() for each in watches])
    # Queries have a job to find.
    first = call("POST", 1, job([STEP])) if shape[1] == "GET" else b""
    flood(watch, clients, calls(*shape), first=first, limit=FLOOD_S)
    close(clients)


def abandon_all(watches, followers, shape):
    """Large submissions with a late deadline; the clients are gone before anybody answers them."""
    body = shape[2]
    numbers = itertools.count(1)
    until = time.monotonic() + FLOOD_S
    while time.monotonic() < until:
        clients = [client for index in range(CROWD)
                   for client in crowd(ADDRESS, followers[index % len(followers)].ports["frontend"], 1)]
        for client in clients:
            client.settimeout(STALL_S)
            try:
                client.sendall(call(shape[1], next(numbers), body, headers=f"{DEADLINE}: 60000\r\n"))
            except OSError:
                pass
        for watch in watches:
            watch.sample()
        close(clients, reset=True)


def problems_of(daemon, watch, at_rest, name):
    watch.sample()
    peak = watch.peak() if daemon.is_up() else None
    if peak is None:
        return [f"{name}: {daemon.key} has ended"]
    print(f"  {name}: {daemon.key} {peak >> 20} MiB, {watch.descriptors} descriptors", flush=True)
    problems = []
    if peak > (MEMORY_MB << 20) + at_rest:
        problems.append(f"{name}: {daemon.key} {peak >> 20} MiB, at most {((MEMORY_MB << 20) + at_rest) >> 20} are allowed")
    if watch.descriptors > MAX_FDS:
        problems.append(f"{name}: {daemon.key} {watch.descriptors} descriptors, at most {MAX_FDS} are allowed")
    return problems


def log_problems(soak, sizes, name):
    """`sizes`: of the logs before the crowd came."""
    problems = []
    for daemon, before in sizes.items():
        written = soak.log_of(daemon).stat().st_size - before
        print(f"  {name}: {daemon.key} {written >> 10} KiB of log", flush=True)
        if written > LOG_BYTES:
            problems.append(f"{name}: {daemon.key} {written >> 10} KiB of log, at most {LOG_BYTES >> 10} are allowed")
    return problems


async def ask(daemons, name):
    """An ordinary client gets the leader's answer through each daemon. A new leader has read all records by then."""
    problems = []
    for daemon in daemons:
        for address, path in (("frontend", "/batch/"), ("readiness", "/v1/readyz")):
            if not await asyncio.to_thread(answered, ADDRESS, daemon.ports[address], path, host=HOST,
                                           begins=b"HTTP/1.1 200"):
                problems.append(f"{name}: no answer at the {address} address of {daemon.key}")
    return problems


async def play(build, folder, shape):
    name = shape[0]
    options = argparse.Namespace(build=build, logs=folder, seed=1, seconds=0, daemons=DAEMONS, workers=WORKERS,
                                 clients=ORDINARY_CLIENTS, tenants="never", only=None)
    soak = Soak(options, 1)
    soak.limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
    await soak.set_up()
    try:
        await asyncio.sleep(3.0)
        for number in range(ORDINARY_CLIENTS):
            soak.spawn(soak.client(number, now() + 600))
        watches = {each: Watch(each.process.pid, [each.ports["frontend"]]) for each in soak.daemons}
        at_rest = sanitizer_bytes(soak.daemons[0].process.pid)
        sizes = {each: soak.log_of(each).stat().st_size for each in soak.daemons}
        if shape in ABANDONED_SHAPES:
            paused = soak.leader()
            paused.signal(signal.SIGSTOP)
            others = [each for each in soak.daemons if each is not paused]
            await asyncio.to_thread(abandon_all, list(watches.values()), others, shape)
            paused.signal(signal.SIGCONT)
        else:
            await asyncio.to_thread(flood_all, list(watches.values()), soak.daemons, shape)
        problems = await ask(soak.daemons, name)
        for daemon, watch in watches.items():
            problems += problems_of(daemon, watch, at_rest, name)
        if shape in SHAPES_WITHOUT_JOBS:
            problems += log_problems(soak, sizes, name)
        leader, claims = soak.leader(), soak.store.claims
        successors = [each for each in soak.daemons if each is not leader]
        leader.signal(signal.SIGKILL)
        until = time.monotonic() + TAKEOVER_LIMIT_S
        while soak.store.claims == claims and time.monotonic() < until:
            await asyncio.sleep(0.1)
        problems += await ask(successors, f"{name}, after the takeover")
        for daemon in successors:
            problems += problems_of(daemon, watches[daemon], at_rest, f"{name}, after the takeover")
    finally:
        await soak.tear_down()
    for daemon in soak.daemons:
        if any(mark in soak.log_of(daemon).read_text(errors="replace") for mark in SANITIZER_MARKS):
            problems.append(f"{name}: the sanitizers reported a fault in {daemon.key}")
    return problems


def main():
    os.environ.update({key: os.environ.get(key, value) for key, value in SANITIZER_ENV.items()})
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2048)), hard))
    problems = []
    begun = time.monotonic()
    for shape in SHAPES + SHAPES_WITHOUT_JOBS + ABANDONED_SHAPES:
        if not sys.argv[2:] or shape[0] in sys.argv[2:]:
            with tempfile.TemporaryDirectory(prefix="wigeonkeel-") as folder:
                problems += asyncio.run(play(sys.argv[1], folder, shape))
    print(f"{time.monotonic() - begun:.0f} s", flush=True)
    assert not problems, "\n".join(problems)


main()

"""Crowds of untrusted clients whose calls are valid, at a leader and its followers, beside ordinary clients: three daemons
with the soak's store and workers."""

import argparse
import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import typing

import load  # noqa: F401  (finds misc/cluster.py)
from cluster import SANITIZER_MARKS
from untrusted_clients import (SANITIZER_ENV, STALL_S, Watch, answered, close, crowd, flood, raise_descriptor_limit,
                               sanitizer_bytes)

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
TAKEOVER_INTERVAL_S = 1.5
DEADLINE = "X-Wigeonkeel-Deadline-Ms"
STEP = {"count": 1, "cpu": 200, "memMb": 100, "estimateMs": 100}
SPEC = json.dumps({"cpu": 200, "ms": 100, "fails": False, "gangs": [0] * 250})


def job(steps, **fields):
    return {"spec": SPEC, "steps": steps, **fields}


def call(method, number, body=None, headers=""):
    text = b"" if body is None else json.dumps(body).encode()
    return (f"{method} /batch/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n{headers}"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


def flood_all(watch, daemons, shape):
    """All calls name one job if the name of the shape says so, otherwise each another one."""
    clients = [client for index in range(CROWD)
               for client in crowd(ADDRESS, daemons[index % len(daemons)].ports["frontend"], 1)]
    numbers = itertools.repeat(1) if " of one " in shape.name else itertools.count(1)
    # Queries have a job to find.
    first = call("POST", 1, job([STEP])) if shape.method == "GET" else b""
    flood(watch, clients, lambda: call(shape.method, next(numbers), shape.body), first=first, limit=FLOOD_S)
    close(clients)


def abandon_all(watch, daemons, shape):
    """Calls with a late deadline; the clients are gone before anybody answers them."""
    numbers = itertools.count(1)
    until = time.monotonic() + FLOOD_S
    while time.monotonic() < until:
        clients = [client for index in range(CROWD)
                   for client in crowd(ADDRESS, daemons[index % len(daemons)].ports["frontend"], 1)]
        for client in clients:
            client.settimeout(STALL_S)
            try:
                client.sendall(call(shape.method, next(numbers), shape.body, headers=f"{DEADLINE}: 60000\r\n"))
            except OSError:
                pass
        watch.sample()
        close(clients, reset=True)


async def flooded(soak, watch, shape):
    await asyncio.to_thread(flood_all, watch, soak.daemons, shape)


async def abandoned_while_paused(soak, watch, shape):
    leader = soak.leader()
    leader.signal(signal.SIGSTOP)
    await asyncio.to_thread(abandon_all, watch, [each for each in soak.daemons if each is not leader], shape)
    leader.signal(signal.SIGCONT)


async def beside_takeovers(soak, watch, shape):
    """Leaders are killed, and shut down, while the crowd sends."""
    crowd_ends = asyncio.ensure_future(flooded(soak, watch, shape))
    for number in (signal.SIGKILL, signal.SIGTERM):
        await asyncio.sleep(TAKEOVER_INTERVAL_S)
        await soak.leader().restart(number, 0.2)
    await crowd_ends


@dataclasses.dataclass
class Shape:
    """`method` and `body` of a crowd's calls; the crowd is a function of a soak, a watch and the shape."""
    name: str
    method: str
    body: typing.Any = None
    crowd: typing.Any = flooded
    accepts_jobs: bool = True


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
    """Returns what did not hold during the crowd and after a takeover that follows it."""
    name = shape.name
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
        all_watches = argparse.Namespace(sample=lambda: [each.sample() for each in watches.values()])
        await shape.crowd(soak, all_watches, shape)
        problems = await ask(soak.daemons, name)
        for daemon in soak.daemons:
            if daemon.process.pid != watches[daemon].pid:
                watches[daemon] = Watch(daemon.process.pid, [daemon.ports["frontend"]], from_now=False)
        for daemon, watch in watches.items():
            problems += problems_of(daemon, watch, at_rest, name)
        if not shape.accepts_jobs:
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
    # The checker does not know the jobs of the crowd.
    problems += [f"{name}: {violation}" for violation in soak.checker.violations if "that no client sent" not in violation]
    for daemon in soak.daemons:
        if any(mark in soak.log_of(daemon).read_text(errors="replace") for mark in SANITIZER_MARKS):
            problems.append(f"{name}: the sanitizers reported a fault in {daemon.key}")
    return problems


def run(shapes, arguments):
    """`arguments`: the build folder, then names of shapes; all by default."""
    os.environ.update({key: os.environ.get(key, value) for key, value in SANITIZER_ENV.items()})
    raise_descriptor_limit()
    problems = []
    begun = time.monotonic()
    for shape in shapes:
        if not arguments[1:] or shape.name in arguments[1:]:
            with tempfile.TemporaryDirectory(prefix="wigeonkeel-") as folder:
                problems += asyncio.run(play(arguments[0], folder, shape))
    print(f"{time.monotonic() - begun:.0f} s", flush=True)
    assert not problems, "\n".join(problems)

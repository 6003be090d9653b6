"""Worker stand-ins in a process of their own, for cases with thousands of tasks. Standard library only.

    workers_3.py COUNT FIRST

Prints one JSON line with the ports, and one with the state every quarter of a second. A line on the standard input sets
how new and present runs of lasting tasks behave: `crash` or `calm`."""

import asyncio
import collections
import json
import os
import sys
import time

HOLD_MAX_MS = 6000
STOP_S = 0.3
# A lasting task of a crashing image fails this long after its start.
CRASH_S = 0.2


class State:
    crashing = False
    starts = 0
    failures = 0
    twice = []
    running = {}


class Worker:
    capacity = 16000

    def __init__(self, number):
        self.id = f"srv-{number:03d}-{int(time.time() * 1000) & 0xffffff:06x}"
        self.number = number
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.runs = {}
        self.ends = collections.deque()
        self.count = 0
        self.token = 0
        self.until = 0
        self.highest = {}
        self.waiting = []

    def clock(self):
        return 1000 + int((time.monotonic() - self.origin) * 1000)

    def end(self, task, how):
        run = self.runs.pop(task)
        if State.running.get(task) == self.id:
            del State.running[task]
        State.failures += how == "failed"
        self.count += 1
        self.ends.append([self.count, task, run[0], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run[0])
        for wake in self.waiting:
            wake()
        self.waiting.clear()

    def turn(self):
        clock, moment = self.clock(), time.monotonic()
        for task, run in list(self.runs.items()):
            if clock > self.until:
                self.end(task, "lapsed")
            elif run[3] is not None and moment >= run[3]:
                self.end(task, "stopped")
            elif run[2] is None:
                if State.crashing and moment >= run[4] + CRASH_S:
                    self.end(task, "failed")
            elif moment >= run[2]:
                self.end(task, "done")

    def reply(self, status, **fields):
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    def order(self, path, content):
        if content.get("fencingToken", 0) < self.token:
            return self.reply(409, reason="fence")
        self.token = content.get("fencingToken", 0)
        task, attempt = content["task"], content["attempt"]
        run = self.runs.get(task)
        if path == "/v1/run-stop":
            if run is None:
                self.highest[task] = max(self.highest.get(task, 0), attempt)
            elif run[0] == attempt and run[3] is None:
                run[3] = time.monotonic() + STOP_S
            return self.reply(200)
        if run is not None and run[0] == attempt:
            return self.reply(200)
        clock = self.clock()
        if content["untilMs"] < clock:
            return self.reply(409, reason="late")
        self.until = max(self.until, min(content["untilMs"], clock + HOLD_MAX_MS))
        if run is not None or attempt <= self.highest.get(task, 0):
            return self.reply(409, reason="old")
        truth = json.loads(content["spec"])
        moment = time.monotonic()
        # attempt, cpu, end, stop, start, whether it started before the image crashed
        self.runs[task] = [attempt, truth["cpu"], None if truth["ms"] == 0 else moment + truth["ms"] / 1000, None, moment,
                           not State.crashing]
        State.starts += 1
        if task in State.running:
            State.twice.append(task)
        State.running[task] = self.id
        return self.reply(200)

    def hold(self, content):
        if "untilMs" in content:
            self.until = max(self.until, min(content["untilMs"], self.clock() + HOLD_MAX_MS))
        while self.ends and self.ends[0][0] <= content["lastSeen"]:
            self.ends.popleft()

    def lists(self):
        moment = time.monotonic()
        running = [[task, run[0], "", 100 if run[2] is None else 50, run[1]] for task, run in self.runs.items()]
        return self.reply(200, running=running, finished=[self.ends[i] for i in range(min(500, len(self.ends)))])


class Connection(asyncio.Protocol):
    def __init__(self, worker):
        self.worker = worker
        self.buffer = b""
        self.busy = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        self.work()

    def work(self):
        while not self.busy:
            head, mark, rest = self.buffer.partition(b"\r\n\r\n")
            if not mark:
                return
            lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length") or 0)
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.handle(lines[0].split(" ")[1], headers, json.loads(rest[:length]) if length else {})

    def handle(self, path, headers, content):
        worker = self.worker
        if headers.get("x-wigeonkeel-expect-instance") != worker.id:
            self.answer(worker.reply(421))
        elif path != "/v1/hold":
            self.answer(worker.order(path, content))
        elif content.get("fencingToken", 0) < worker.token:
            self.answer(worker.reply(409, reason="fence"))
        else:
            worker.token = content.get("fencingToken", 0)
            worker.hold(content)
            if worker.ends or not content.get("waitMs"):
                self.answer(worker.lists())
                return
            self.busy = True
            loop = asyncio.get_running_loop()

            def wake():
                if self.busy:
                    self.busy = False
                    timer.cancel()
                    self.answer(worker.lists())
                    self.work()
            timer = loop.call_later(min(content["waitMs"], 2000) / 1000, wake)
            worker.waiting.append(wake)

    def answer(self, answer):
        text = json.dumps(answer[1]).encode()
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (answer[0], len(text), text))


async def main(count, first):
    loop = asyncio.get_running_loop()
    workers = [Worker(first + number) for number in range(count)]
    ports = []
    for worker in workers:
        server = await loop.create_server(lambda worker=worker: Connection(worker), "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps([[worker.id, worker.number, worker.born, port] for worker, port in zip(workers, ports)]), flush=True)

    def command():
        line = sys.stdin.readline()
        if not line:
            # The script has ended.
            os._exit(0)
        State.crashing = line.strip() == "crash"
    loop.add_reader(sys.stdin, command)
    reported = 0.0
    while True:
        for worker in workers:
            worker.turn()
        if time.monotonic() - reported > 0.25:
            reported = time.monotonic()
            jobs = collections.Counter(task[:16] for worker in workers for task in worker.runs)
            print(json.dumps({"jobs": jobs, "used": sum(run[1] for worker in workers for run in worker.runs.values()),
                              "ends": sum(len(worker.ends) for worker in workers), "starts": State.starts,
                              "failures": State.failures, "twice": len(State.twice)}), flush=True)
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

"""Stand-ins and helpers for the scripts of the second review: the store, workers, a link of limited bandwidth, daemons
started as the deploy file says, and clients. Everything listens on loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from http_server import HttpClient, HttpServer  # noqa: E402
from platform_standin import Store as SoakStore  # noqa: E402

HOST = "desk.example"
POOL = "pool"


def now():
    return asyncio.get_running_loop().time()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


class Store(SoakStore):
    """The soak's store, with the limits of the pages: 500 items or 1 MB a page, and the largest value."""

    def __init__(self, record, value_bytes=1048576):
        super().__init__(random.Random(1))
        self.record = record
        self.value_bytes = value_bytes
        # What a store that has been used for a while has counted.
        self.revision = 1200000
        self.too_large = 0

    async def answer(self, method, path, query, content):
        if path != "/v1/kv-range":
            return await super().answer(method, path, query, content)
        keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            size += len(json.dumps(self.items[key]))
            if page and (len(page) == 500 or size > 1000000):
                break
            page.append(key)
        return 200, {"items": [self.items[key] for key in page], "morePages": len(page) < len(keys),
                     "currentRev": self.revision}

    def transact(self, content):
        for row in content.get("writes", []):
            size = len(base64.b64decode(row["value"]))
            if size > self.value_bytes:
                self.too_large += 1
                if self.too_large <= 5:
                    self.record.note(f"store refuses a value of {size} bytes for {row['key']}: 400")
                return 400, {"error": "a value is too large"}
        return super().transact(content)


class Link:
    """A proxy whose bytes share a bandwidth, one budget for each direction, as those of a machine's own link do."""

    def __init__(self, target, bytes_per_s):
        self.target = target
        self.rate = bytes_per_s
        self.free_at = {"out": 0.0, "back": 0.0}

    async def start(self, ip):
        self.server = await asyncio.start_server(self._accept, ip, 0)
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self._copy(reader, far_writer, "out"), self._copy(far_reader, writer, "back"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(4096):
            begin = max(now(), self.free_at[direction])
            self.free_at[direction] = begin + len(data) / self.rate
            delay = self.free_at[direction] - now()
            if delay > 0.001:
                await asyncio.sleep(delay)
            writer.write(data)
            await writer.drain()
        writer.close()


class Worker:
    """Runs what it is told as the pages say: leases, stops, ends and fencing tokens. A task takes the seconds that its
    specification begins with."""

    def __init__(self, record, store, name, ip, cpu=16000):
        self.record = record
        self.store = store
        self.name = name
        self.ip = ip
        self.cpu = cpu
        self.begun = now()
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.ends = []
        self.number = 0
        self.token = 0
        self.until = 0
        self.stopped = {}
        self.changed = asyncio.Event()
        self.starts = 0
        self.server = HttpServer(self.take)

    async def start(self):
        self.port = await self.server.start(self.ip)
        self.beat()

    def beat(self):
        entry = {"service": POOL, "addr": f"{self.ip}:{self.port}", "zone": "z", "version": "1", "slots": 8,
                 "state": "ready", "coldLeftMs": 0, "seq": 1, "born": self.born,
                 "capacity": {"cpu": self.cpu, "memMb": 1000000, "gpu": 0}, "labels": ["a", "r1"]}
        self.store.put(f"servers/{self.name}", base64.b64encode(json.dumps(entry).encode()).decode())

    def clock_ms(self):
        return int(5000 + (now() - self.begun) * 1000)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.number += 1
        self.ends.append([self.number, task, run["attempt"], how, ""])
        self.stopped[task] = max(self.stopped.get(task, 0), run["attempt"])
        if how != "done":
            self.record.note(f"worker {self.name}: {task} attempt {run['attempt']} ends {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def turn(self):
        lapsed = self.clock_ms() > self.until
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif run["stop_at"] is not None and now() >= run["stop_at"]:
                self.end(task, "stopped")
            elif now() >= run["ends_at"]:
                self.end(task, "done")

    async def take(self, _method, path, headers, body):
        content = json.loads(body) if body else {}
        if headers.get("x-wigeonkeel-expect-instance") != self.name:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        if content["fencingToken"] < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = content["fencingToken"]
        if path == "/v1/hold":
            return await self.hold(content)
        return self.stop(content) if path == "/v1/run-stop" else self.begin(content)

    def begin(self, content):
        task, attempt = content["task"], content["attempt"]
        present = self.runs.get(task)
        if present is not None and present["attempt"] == attempt:
            return 200, {"clockMs": self.clock_ms()}
        if content["untilMs"] < self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.until = max(self.until, content["untilMs"])
        if present is not None or attempt <= self.stopped.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        seconds = float(content["spec"].split(" ", 1)[0])
        self.runs[task] = {"attempt": attempt, "started": now(), "ends_at": now() + seconds, "stop_at": None}
        self.starts += 1
        self.record_start(task, attempt)
        return 200, {"clockMs": self.clock_ms()}

    def record_start(self, task, attempt):
        self.record.note(f"worker {self.name}: {task} attempt {attempt} starts")

    def stop(self, content):
        run = self.runs.get(content["task"])
        if run is not None and run["attempt"] == content["attempt"] and run["stop_at"] is None:
            run["stop_at"] = now() + 0.2
        elif run is None:
            self.stopped[content["task"]] = max(self.stopped.get(content["task"], 0), content["attempt"])
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, content):
        self.until = max(self.until, min(content.get("untilMs", 0), self.clock_ms() + 6000))
        self.ends = [end for end in self.ends if end[0] > content["lastSeen"]]
        if not self.ends and content.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), content["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["attempt"], "", min(99, int(100 * (now() - run["started"])
                                                          / max(0.001, run["ends_at"] - run["started"]))), 0]
                   for task, run in self.runs.items()]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:500]}


class Daemon:
    """One process of the deploy file's role on an address of its own."""

    def __init__(self, system, name, ip, link_mbps):
        self.system = system
        self.name = name
        self.ip = ip
        self.link_mbps = link_mbps
        self.ports = {"frontend": 8161, "readiness": 8167, "control": 8166}
        self.process = None

    async def start(self):
        if not hasattr(self, "settings"):
            server = self.system.store.server_for(self.name)
            port = await server.start(self.ip)
            if self.link_mbps:
                port = await Link((self.ip, port), self.link_mbps * 125000).start(self.ip)
            self.write_settings(port)
        log = open(self.system.folder / f"{self.name}.log", "ab")
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["entry"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WIGEONKEEL_BOOT"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.system.record.note(f"{self.name} is started")

    def write_settings(self, store_port):
        settings = {
            "nodeName": self.name, "role": "entry", "machineClass": "frontend", "serves": ["frontend", "control"],
            "ip": self.ip, "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen": {name: f"{self.ip}:{port}" for name, port in self.ports.items()},
            "portRange": [7720, 7735], "seeds": [f"{ip}:8166" for ip in self.system.ips[:3]], "bootstrap": True,
            "limits": {"cpuShare": 0.5 if (self.link_mbps or 0) >= 100 else 0.12, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": float(self.link_mbps or 1000), "diskMb": 0},
            "heartbeatMs": 1500, "commandMode": "call",
            "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
                       "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                       "checkpointIntervalS": 2, "restoreMs": 250},
            "platform": {"addr": f"{self.ip}:{store_port}", "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        self.settings = self.system.folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        self.system.record.note(f"SIGKILL {self.name}")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class System:
    def __init__(self, folder, links=(None, None, None), workers=4, worker=Worker):
        """`links`: the bandwidth of each daemon's link to the store in Mbit/s, or None where it doesn't matter. A link of
        100 Mbit/s or more belongs to a machine with half a core, which leads if it can."""
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.ips = [f"{net}.{number + 1}" for number in range(len(links))]
        self.store = Store(self.record)
        self.daemons = [Daemon(self, f"n{number}", ip, link) for number, (ip, link) in enumerate(zip(self.ips, links))]
        self.workers = [worker(self.record, self.store, f"w{number}", f"{net}.{100 + number}")
                        for number in range(workers)]
        self.tasks = []

    async def start(self):
        for worker in self.workers:
            await worker.start()
        routes = [{"name": name, "host": HOST, "prefix": f"/{name}/", "service": POOL, "priority": priority,
                   "maxAttempts": 4, "stretch": 4.0, "targetDurationMs": 3000}
                  for name, priority in (("urgent", 0), ("batch", 2))]
        text = json.dumps({"version": 3, "routes": routes, "services": [{"name": POOL}], "limits": {}})
        self.store.put("op/config", base64.b64encode(text.encode()).decode())
        for daemon in self.daemons:
            await daemon.start()
        self.tasks.append(asyncio.get_running_loop().create_task(self.turn()))

    async def turn(self):
        beat = now()
        while True:
            for worker in self.workers:
                worker.turn()
            if now() - beat > 1.5:
                beat = now()
            await asyncio.sleep(0.02)

    def leader(self):
        return next((each for each in self.daemons if each.name == self.store.leader), None)

    async def call(self, daemon, method, path, content=None, deadline=3.0):
        """The status; 0 without an answer."""
        client = HttpClient(daemon.ip, daemon.ports["frontend"])
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "X-Wigeonkeel-Deadline-Ms": str(int(deadline * 1000))}
        try:
            status, _, body = await client.request(method, path, headers, content, deadline + 0.5)
            return status, body
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, {}
        finally:
            client.close()

    async def submit(self, job, content, queue="batch", tries=20):
        """True once a daemon has answered 2xx."""
        for attempt in range(tries):
            daemon = self.daemons[(int(job, 16) + attempt) % len(self.daemons)]
            status, _ = await self.call(daemon, "POST", f"/{queue}/{job}", content)
            if status == 200:
                return True
            self.record.note(f"POST {job} at {daemon.name}: {status}")
            await asyncio.sleep(0.5)
        return False

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.is_up():
                daemon.process.send_signal(signal.SIGKILL)
                await daemon.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def main(case):
    """Runs the case, which returns 1 if the rule was broken and 0 if it held; 2 if it can't run."""
    async def limited():
        return await asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 110)
    try:
        sys.exit(asyncio.run(limited()))
    except Exception as error:  # pylint: disable=broad-except
        # Python's own exit code for an uncaught error is that of a broken rule.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)

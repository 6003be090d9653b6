"""Starts stand-ins and daemons on a loopback address of their own, for the quick start and the process tests."""

import http.client
import json
import os
import random
import signal
import subprocess
import tempfile
import time

STORE_PORT, STORE_CONTROL_PORT, VM_LIST_PORT = 7001, 7901, 7002
CALLER_PORT, METRICS_PORT, OPERATOR_PORT, PEER_PORT, WORKER_PORT = 7100, 7150, 7400, 7300, 7201


SANITIZER_MARKS = ("ERROR: AddressSanitizer", "ERROR: LeakSanitizer", ": runtime error: ")


class Failed(Exception):
    """A condition that a test waits for did not come true, or a process did not start."""


def http_call(address, port, method, path, body=None, timeout=5.0):
    """Returns (status, decoded JSON). Raises OSError or http.client.HTTPException if there is no answer."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    finally:
        connection.close()


def wait_until(condition, limit, what, interval=0.02):
    """Polls a condition; waits are bounded by the condition and never fixed."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(interval)
    raise Failed(f"not within {limit} s: {what}")


class Process:
    """A child process; its standard error goes to a file."""

    def __init__(self, name, arguments, log):
        self.name, self.arguments, self.log = name, arguments, log
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        os.kill(self.child.pid, number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def freeze(self):
        self.send(signal.SIGSTOP)

    def thaw(self):
        self.send(signal.SIGCONT)

    def terminate(self, limit=15.0):
        """Graceful stop. Returns the exit status; raises Failed if the process does not end."""
        self.send(signal.SIGTERM)
        try:
            return self.child.wait(limit)
        except subprocess.TimeoutExpired as error:
            raise Failed(f"{self.name} did not end within {limit} s of SIGTERM") from error


class Cluster:
    """Store, VM list, workers and daemons. Use it as a context manager; on the way out all processes are ended."""

    def __init__(self, build, daemons=1, workers=3, worker_flags=(), settings=None, daemon_settings=None, relayed=()):
        """`settings` are for all daemons, `daemon_settings` for one by its index; both by section and key. Daemons
        and workers named in `relayed` are known under `relay_address`, where the test listens at their ports."""
        self.build, self.settings, self.daemon_settings = build, settings or {}, daemon_settings or {}
        self.relayed = relayed
        self.address = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
        self.relay_address = self.address.rsplit(".", 1)[0] + ".255"
        self.folder = tempfile.TemporaryDirectory(prefix="wigeonkeel-")
        self.known = self._known_settings()
        self.store = self._standin("store_standin", STORE_PORT, "store",
                                   [f"--control_port={STORE_CONTROL_PORT}"])
        self.vm_list = self._standin("vm_list_standin", VM_LIST_PORT, "vm_list")
        self.workers = [self._standin("worker_standin", WORKER_PORT + i, f"w-{i + 1}",
                                      [f"--name=w-{i + 1}", f"--rack=rack-{i % 2 + 1}", f"--zone={zone(i)}",
                                       *worker_flags])
                        for i in range(workers)]
        self.daemons = [self._daemon(i, daemons) for i in range(daemons)]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, failure, *_):
        reports = [process.name for process in [*self.daemons, *self.workers, self.vm_list, self.store]
                   if any(mark in self.log(process) for mark in SANITIZER_MARKS)]
        self.stop()
        # A report ends the process, which a test that expects failures would not notice.
        if reports and failure is None:
            raise Failed(f"the sanitizers reported a fault in: {', '.join(reports)}")

    def _path(self, name):
        return os.path.join(self.folder.name, name)

    def _standin(self, program, port, name, flags=()):
        return Process(name, [os.path.join(self.build, program), f"--address={self.address}", f"--port={port}",
                              *flags], self._path(name + ".log"))

    def _known_settings(self):
        """Names that the built daemon knows."""
        text = subprocess.run([os.path.join(self.build, "wigeonkeeld"), "--print_settings_reference"], check=True,
                              capture_output=True, text=True).stdout
        known, section = set(), ""
        for line in text.splitlines():
            if line.startswith("## ["):
                section = line[4:].rstrip("]")
            elif line.startswith("| ") and not line.startswith("| key"):
                known.add(f"{section}.{line.split('|')[1].strip().strip('`')}")
        return known

    def known_address(self, name):
        return self.relay_address if name in self.relayed else self.address

    def _daemon(self, index, count):
        name = f"d-{index + 1}"
        others = [i for i in range(count) if i != index]
        peers = ",".join(f"d-{i + 1}@{self.known_address(f'd-{i + 1}')}:{PEER_PORT + i}" for i in others)
        values = {
            "daemon": {"name": name, "address": self.known_address(name), "zone": zone(index)},
            "caller_http": {"address": self.address, "port": CALLER_PORT + index},
            "metrics_http": {"address": self.address, "port": METRICS_PORT + index},
            "operator_http": {"address": self.address, "port": OPERATOR_PORT + index},
            "store": {"address": self.address, "port": STORE_PORT},
            "vm_list": {"address": self.address, "port": VM_LIST_PORT, "interval": 200},
            "peer_link": {"address": self.address, "port": PEER_PORT + index},
            "cluster": {"peers": peers},
        }
        for extra in (self.settings, self.daemon_settings.get(index, {})):
            for section, entries in extra.items():
                values.setdefault(section, {}).update(entries)
        # An unknown name would leave a default in force, and the test would test something else.
        unknown = [f"{section}.{key}" for section, entries in values.items() for key in entries
                   if section != "operators" and f"{section}.{key}" not in self.known]
        if unknown:
            raise Failed(f"the daemon does not know these settings: {', '.join(unknown)}")
        lines = []
        for section, entries in values.items():
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in entries.items())]
        with open(self._path(name + ".ini"), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return Process(name, [os.path.join(self.build, "wigeonkeeld"), f"--settings={self._path(name + '.ini')}"],
                       self._path(name + ".log"))

    def start(self):
        for process in [self.store, self.vm_list, *self.workers]:
            process.start()
        self.wait_for_port(VM_LIST_PORT, self.vm_list)
        self.wait_for_port(STORE_PORT, self.store)
        for i, worker in enumerate(self.workers):
            self.wait_for_port(WORKER_PORT + i, worker)
            self.list_worker(i)
        for i in range(len(self.daemons)):
            self.start_daemon(i)

    def list_worker(self, index):
        """Puts a worker into the VM list with the address where daemons reach it."""
        name = self.workers[index].name
        http_call(self.address, VM_LIST_PORT, "PUT", f"/v1/vms/{name}",
                  {"address": self.known_address(name), "port": WORKER_PORT + index, "zone": zone(index),
                   "rack": f"rack-{index % 2 + 1}"})

    def metrics(self, index):
        """Values of a daemon's metrics page by name."""
        connection = http.client.HTTPConnection(self.address, METRICS_PORT + index, timeout=5.0)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        lines = [line.rsplit(" ", 1) for line in text.splitlines() if line and not line.startswith("#")]
        return {name: float(value) for name, value in lines}

    def stop(self):
        for process in [*self.daemons, *self.workers, self.vm_list, self.store]:
            if process.running():
                process.kill()
        self.folder.cleanup()

    def start_daemon(self, index):
        self.daemons[index].start()
        self.wait_for_port(CALLER_PORT + index, self.daemons[index])

    def wait_for_port(self, port, process):
        def answers():
            if not process.running():
                with open(process.log, encoding="utf-8", errors="replace") as log:
                    raise Failed(f"{process.name} ended at once: {log.read()[-1000:]}")
            try:
                http_call(self.address, port, "GET", "/")
            except ValueError:
                return True
            except (OSError, http.client.HTTPException):
                return False
            return True
        wait_until(answers, 10, f"{process.name} takes connections")

    def control(self, port, body):
        status, answer = http_call(self.address, port, "POST", "/v1/control", body)
        if status != 200:
            raise Failed(f"control request refused: {answer}")

    def log(self, process):
        with open(process.log, encoding="utf-8", errors="replace") as log:
            return log.read()

    def records(self):
        """What each worker saw."""
        return [http_call(self.address, WORKER_PORT + i, "GET", "/v1/records")[1]
                for i, worker in enumerate(self.workers) if worker.running()]

    def runs(self):
        """Runs of all workers with times on one clock, in milliseconds since the epoch."""
        result = []
        for record in self.records():
            for run in record["runs"]:
                run = dict(run, worker=record["worker"])
                run["started_ms"] += record["wall_offset_ms"]
                run["ended_ms"] = run.get("ended_ms", 1 << 60) + record["wall_offset_ms"]
                result.append(run)
        return result

    def submit(self, body, limit=30.0, first=0):
        """Submits until the outcome is final or the limit has passed. Each retry goes to the next daemon, keeps the
        id and raises `attempt`. Returns the last answer; its `attempts` tells how many were made."""
        body = {"created_ms": int(time.time() * 1000), "payload": marker(body), **body}
        answer = {"outcome": "unknown", "reason": "never answered"}
        end = time.monotonic() + limit
        attempt = 0
        while time.monotonic() < end:
            port = CALLER_PORT + (first + attempt) % len(self.daemons)
            attempt += 1
            try:
                _, answer = http_call(self.address, port, "POST", "/v1/requests", {**body, "attempt": attempt},
                                      max(0.1, end - time.monotonic()))
            except (OSError, http.client.HTTPException, ValueError) as error:
                answer = {"outcome": "unknown", "reason": f"no answer: {error}"}
            answer["attempts"] = attempt
            final = answer["outcome"] in ("done", "failed")
            if final or (answer["outcome"] == "not_run" and not answer.get("retry_after_ms")):
                return answer
            # Full jitter, as docs/interface.md asks of callers.
            time.sleep(random.uniform(0, min(1.0, 0.02 * 2 ** min(attempt, 6))))
        return answer

    def verdict(self, bodies):
        """Counts from the workers' records: requests, done, lost, doubled. A request is done if all its tasks ended
        as done; doubled if a task ran twice at a time, or a non-idempotent one was started twice."""
        by_marker = {}
        for run in self.runs():
            by_marker.setdefault(run["payload"], []).append(run)
        done = doubled = 0
        for body in bodies:
            runs = by_marker.get(marker(body), [])
            by_task = {}
            for run in runs:
                by_task.setdefault(run["task"], []).append(run)
            complete = sum(any(run["state"] == "done" for run in task) for task in by_task.values())
            done += complete >= body.get("tasks", 1)
            doubled += any(is_doubled(task) for task in by_task.values())
        return {"requests": len(bodies), "done": done, "lost": len(bodies) - done, "doubled": doubled}


def zone(index):
    """Daemons and workers are spread over three availability zones, so that each daemon has workers of its own."""
    return f"zone-{'abc'[index % 3]}"


def marker(body):
    """The payload by which a request is found in the workers' records."""
    return f"{body['operator']}/{body['id']}"


def is_doubled(runs):
    runs = sorted(runs, key=lambda run: run["started_ms"])
    overlap = any(later["started_ms"] < earlier["ended_ms"] for earlier, later in zip(runs, runs[1:]))
    return overlap or (len(runs) > 1 and not runs[0]["idempotent"])

"""Guards against clients that drive wigeonkeel_entry over its memory, out of descriptors or into silence: unread answers
to pipelined requests once made it keep what was sent (178 MiB of 192 MB). The daemon has no store."""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time

import load  # noqa: F401  (finds misc/cluster.py)
from cluster import SANITIZER_MARKS
from untrusted_clients import (SANITIZER_ENV, answered, check_address, frame_patterns, http_patterns,
                               raise_descriptor_limit)

MEMORY_MB = 64
MAX_FDS = 320
NAMES = ("frontend", "readiness", "control", "metrics")
JOB = "/v1/jobs/0123456789abcdef"


def free_ports(address, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Daemon:
    def __init__(self, build, folder):
        self.address = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
        *ports, store = free_ports(self.address, len(NAMES) + 1)
        self.ports = dict(zip(NAMES, ports))
        listen = {name: f"{self.address}:{self.ports[name]}" for name in NAMES[:3]}
        settings = {"nodeName": "n1", "listen": listen, "seeds": [],
                    "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": MAX_FDS},
                    "platform": {"addr": f"{self.address}:{store}"}}
        path = os.path.join(folder, "n1.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, "n1.log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(build, "wigeonkeel_entry"), f"--settings={path}", f"--metrics_port={self.ports['metrics']}"],
            stdout=self.log, stderr=self.log, env={**os.environ, **SANITIZER_ENV})

    def __enter__(self):
        if not answered(self.address, self.ports["readiness"], "/v1/readyz"):
            self.__exit__()
            raise AssertionError("the daemon does not start")
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.log.close()


PATTERNS = {
    "readiness": http_patterns(["/v1/readyz"], []),
    "frontend": http_patterns([JOB, "/v1/jobs/"], [(JOB, b"x" * 2000)]),
    "metrics": http_patterns(["/metrics"], []),
    "control": frame_patterns(),
}


def main():
    raise_descriptor_limit()
    problems = []
    begun = time.monotonic()
    for name in sys.argv[2:] or PATTERNS:
        with tempfile.TemporaryDirectory(prefix="wigeonkeel-") as folder, Daemon(sys.argv[1], folder) as daemon:
            print(f"{name}:", flush=True)
            found = check_address(daemon.process.pid, daemon.address, daemon.ports[name], PATTERNS[name],
                                  daemon.ports["readiness"], "/v1/readyz", (MEMORY_MB << 20, MAX_FDS))
            problems += [f"{name}: {problem}" for problem in found]
            # The address itself answers too, not only that of readiness.
            if name != "control" and not answered(daemon.address, daemon.ports[name], "/"):
                problems.append(f"{name}: no answer at the address afterwards")
            with open(daemon.log.name, encoding="utf-8", errors="replace") as log:
                if any(mark in log.read() for mark in SANITIZER_MARKS):
                    problems.append(f"{name}: the sanitizers reported a fault")
    print(f"{time.monotonic() - begun:.0f} s", flush=True)
    assert not problems, "\n".join(problems)


main()

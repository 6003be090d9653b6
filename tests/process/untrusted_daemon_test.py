"""Guards against clients that drive wigeonkeeld over its memory, out of descriptors or into silence, at each address that it
listens on."""

import itertools
import json
import os
import sys
import time

from load import OPERATOR_HEADERS, request, wait_ready
from cluster import CALLER_PORT, METRICS_PORT, OPERATOR_PORT, PEER_PORT, Cluster, http_call
from untrusted_clients import (SANITIZER_ENV, answered, check_address, flooded, frame_patterns, get, http_patterns,
                               post, raise_descriptor_limit)

MEMORY_MB = 64
MAX_FDS = 320
# Named by its client; exists once it has been submitted.
JOB = {**request(1, run_ms=10), "created_ms": int(time.time() * 1000), "payload": "p", "attempt": 1}
KNOWN_JOB, UNKNOWN_JOB = (f"/v1/requests?operator=faraja&id={name}" for name in (JOB["id"], "none"))
SETTINGS = {"operators": {"faraja": OPERATOR_HEADERS["X-Wigeonkeel-Key"]}, "caller_http": {"max_connections": 128, "max_waiting": 128, "max_held": 16 << 20},
            "operator_http": {"max_connections": 64, "max_waiting": 64, "max_held": 8 << 20},
            "request": {"max_bytes": 8 << 20}, "job": {"max_bytes": 16 << 20}, "forward": {"max_bytes": 4 << 20}}
# Of a client that submits jobs of many tasks: a process which takes all of them exceeds the memory bound many times over.
JOB_FLOOD_BYTES = 64 << 10


def submissions(**fields):
    """Returns a function of the next submission; each has an id of its own."""
    numbers = itertools.count(1)
    return lambda: post("/v1/requests", json.dumps({**JOB, "id": f"c-{next(numbers)}", "wait": False, **fields}).encode())


def queries():
    numbers = itertools.count(1)
    return lambda: get(f"/v1/requests?operator=faraja&id=u-{next(numbers)}")


# Calls that name different requests.
CALLS = [
    ("submissions, read", flooded(submissions(), take=65536)),
    ("submissions with large payloads", flooded(submissions(idempotent=True, payload="x" * 200000))),
    ("submissions with large payloads that need the journal", flooded(submissions(payload="x" * 200000))),
    ("batch jobs of 20,000 tasks", flooded(submissions(kind="batch", tasks=20000), take=65536, total=JOB_FLOOD_BYTES,
                                           linger=2.0)),
    ("batch jobs with large payloads", flooded(submissions(kind="batch", tasks=2, payload="x" * 200000))),
    ("queries of unknown requests, read", flooded(queries(), take=65536)),
]
PATTERNS = {
    CALLER_PORT: http_patterns([KNOWN_JOB, UNKNOWN_JOB], [("/v1/requests", json.dumps(JOB).encode())]) + CALLS,
    METRICS_PORT: http_patterns(["/readyz", "/metrics"], []),
    OPERATOR_PORT: http_patterns(["/v1/status"], [("/v1/settings", b"x" * 2000)]),
    PEER_PORT: frame_patterns(),
}


def main():
    for name, value in SANITIZER_ENV.items():
        os.environ.setdefault(name, value)
    raise_descriptor_limit()
    problems = []
    begun = time.monotonic()
    for port in [int(word) for word in sys.argv[2:]] or PATTERNS:
        with Cluster(sys.argv[1], daemons=1, workers=1, settings=SETTINGS) as cluster:
            wait_ready(cluster)
            assert http_call(cluster.address, CALLER_PORT, "POST", "/v1/requests", JOB)[0] == 200
            print(f"{port}:", flush=True)
            found = check_address(cluster.daemons[0].child.pid, cluster.address, port, PATTERNS[port],
                                  METRICS_PORT, "/readyz", (MEMORY_MB << 20, MAX_FDS))
            problems += [f"{port}: {problem}" for problem in found]
            if port != PEER_PORT and not answered(cluster.address, port, "/"):
                problems.append(f"{port}: no answer at the address afterwards")
    print(f"{time.monotonic() - begun:.0f} s", flush=True)
    assert not problems, "\n".join(problems)


main()

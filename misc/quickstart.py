"""Runs the six jobs of the two operators on a small cluster, kills a daemon on the way and prints the outcomes."""

import argparse
import concurrent.futures
import os
import subprocess
import sys

from cluster import OPERATOR_PORT, Cluster, Failed, wait_until

SMALL = {"cpu_milli": 500, "memory_mib": 256, "slots": 1}
BATCH = {"cpu_milli": 2000, "memory_mib": 1024}

JOBS = [
    ("Faraja, reservation", {"operator": "faraja", "id": "reservation-1", "workload": "reservation", "kind": "request", "idempotent": False,
                             "urgency": 9, "size": SMALL, "run_ms": 300}),
    ("Faraja, laundry batch", {"operator": "faraja", "id": "laundry-1", "workload": "laundry-batch", "kind": "batch", "idempotent": True,
                               "tasks": 6, "size": BATCH, "run_ms": 1500}),
    ("Faraja, overnight reconciliation", {"operator": "faraja", "id": "reconciliation-1", "workload": "overnight-reconciliation", "kind": "batch",
                                          "idempotent": True, "tasks": 2, "size": BATCH, "run_ms": 3000}),
    ("co-op, term roster", {"operator": "coop", "id": "roster-1", "workload": "term-roster", "kind": "gang", "idempotent": True, "tasks": 4,
                            "size": BATCH, "run_ms": 1000}),
    ("co-op, gap-fill", {"operator": "coop", "id": "gap-fill-1", "workload": "gap-fill", "kind": "request", "idempotent": True,
                         "urgency": 7, "size": SMALL, "run_ms": 200}),
    ("co-op, notice", {"operator": "coop", "id": "notice-1", "workload": "notice", "kind": "request", "idempotent": False, "urgency": 8,
                       "size": SMALL, "run_ms": 200}),
]


# Keys of the operators at this cluster only.
KEYS = {"faraja": "quickstart-faraja", "coop": "quickstart-coop"}


def apply_settings(cluster, build):
    """Puts both example configurations in force on all daemons."""
    for name, key in KEYS.items():
        path = os.path.join(os.path.dirname(__file__), "..", "operator", "examples", f"{name}.ini")
        command = [os.path.join(build, "wigeonkeelctl"), "apply", path, f"--operator={name}", "--wait",
                   f"--daemon={cluster.address}:{OPERATOR_PORT}"]
        subprocess.run(command, env={**os.environ, "WIGEONKEEL_KEY": key}, timeout=60, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    settings = {"operators": KEYS}
    with Cluster(options.build, options.daemons, options.workers, settings=settings) as cluster:
        print(f"{options.daemons} daemons and {options.workers} workers run on {cluster.address}", flush=True)
        apply_settings(cluster, options.build)
        with concurrent.futures.ThreadPoolExecutor(len(JOBS)) as pool:
            # Each client begins at another daemon.
            waiting = {pool.submit(cluster.submit, body, 60, i): name for i, (name, body) in enumerate(JOBS)}
            if options.daemons > 1:
                wait_until(cluster.runs, 15, "a task has started")
                cluster.daemons[-1].kill()
                print(f"killed daemon {cluster.daemons[-1].name}", flush=True)
            for future in concurrent.futures.as_completed(waiting):
                answer = future.result()
                print(f"{waiting[future]}: {answer['outcome']} after {answer['attempts']} attempts"
                      f" {answer.get('reason', '')}", flush=True)
        bodies = [body for _, body in JOBS]
        try:
            wait_until(lambda: cluster.verdict(bodies)["lost"] == 0, 20, "all tasks have ended")
        except Failed:
            pass
        result = cluster.verdict(bodies)
    print("quickstart: {requests} requests, {done} done, {lost} lost, {doubled} doubled".format(**result))
    return 0 if result["lost"] == 0 and result["doubled"] == 0 else 1


if __name__ == "__main__":
    sys.exit(main())

"""Measures what control costs a daemon, at several numbers of daemons and workers, idle and under requests.

Prints lines `name value unit`: totals per daemon, and slopes fitted to them by least squares. Bytes and calls are
counted by the daemons (page /metrics); processor time and memory come from /proc."""

import argparse
import base64
import concurrent.futures
import os
import statistics
import sys
import time

from cluster import CALLER_PORT, METRICS_PORT, STORE_PORT, VM_LIST_PORT, WORKER_PORT, Cluster, http_call, wait_until
from http.client import HTTPConnection, HTTPException

ZONES = 3
LANES = {"peers_bytes": "peer_bytes_sent", "workers_bytes": "worker_bytes_sent", "store_bytes": "store_bytes_sent",
         "vm_list_bytes": "vm_list_bytes_sent"}
COUNTS = {"peer_frames": "peer_frames_sent", "peer_keep_alives": "peer_keep_alives",
          "worker_exchanges": "worker_exchanges", "worker_bytes_received": "worker_bytes_received",
          "store_bytes_received": "store_bytes_received", "vm_list_bytes_received": "vm_list_bytes_received",
          "vm_list_reads": "vm_list_reads", "store_reads": "store_reads", "store_writes": "store_writes",
          "store_lease_calls": "store_lease_calls", "store_watches": "store_watches",
          "requests": "requests_submitted", "starts": "starts_sent"}
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def read_metrics(address, port):
    connection = HTTPConnection(address, port, timeout=5)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    values = {}
    for line in text.splitlines():
        if line.startswith("wigeonkeel_"):
            name, value = line.rsplit(" ", 1)
            values[name.removeprefix("wigeonkeel_").removesuffix("_total")] = float(value)
    return values


def read_process(pid):
    """Processor seconds and resident bytes."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as text:
        fields = text.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS, int(fields[21]) * PAGE


def sample(cluster):
    result = []
    for i, daemon in enumerate(cluster.daemons):
        values = read_metrics(cluster.address, METRICS_PORT + i)
        values["cpu"], values["rss"] = read_process(daemon.child.pid)
        values["time"] = time.monotonic()
        result.append(values)
    return result


def rates(before, after):
    """Per daemon and second, the mean over the daemons; `rss` is the largest."""
    def rate(key):
        return statistics.mean((b.get(key, 0) - a.get(key, 0)) / (b["time"] - a["time"])
                               for a, b in zip(before, after))
    result = {name: rate(key) for name, key in (LANES | COUNTS).items()}
    result["sent"] = sum(result[lane] for lane in LANES)
    result["cpu"] = 100 * rate("cpu")
    result["rss"] = max(b["rss"] for b in after) / 1e6
    return result


def spread_zones(cluster):
    for i, worker in enumerate(cluster.workers):
        http_call(cluster.address, VM_LIST_PORT, "PUT", f"/v1/vms/{worker.name}",
                  {"address": cluster.address, "port": WORKER_PORT + i, "zone": f"zone-{'abc'[i % ZONES]}",
                   "rack": f"rack-{i // 6}"})


def send_request(cluster, index, number, run_ms, idempotent):
    body = {"operator": "faraja", "id": f"cost-{number}", "kind": "request", "idempotent": idempotent, "urgency": 5,
            "attempt": 1, "created_ms": int(time.time() * 1000), "payload": "x", "run_ms": run_ms,
            "size": {"cpu_milli": 10, "memory_mib": 16}}
    try:
        _, answer = http_call(cluster.address, CALLER_PORT + index, "POST", "/v1/requests", body, 60)
    except (OSError, HTTPException, ValueError):
        return "no answer"
    return answer.get("outcome", "none")


def drive(cluster, per_second, seconds, run_ms, idempotent, first):
    """Sends requests at a steady rate to the daemons in turn. Returns the outcomes."""
    with concurrent.futures.ThreadPoolExecutor(min(400, int(per_second * (run_ms / 1000 + 1)) + 8)) as pool:
        begin = time.monotonic()
        futures = []
        for n in range(int(per_second * seconds)):
            time.sleep(max(0.0, begin + n / per_second - time.monotonic()))
            futures.append(pool.submit(send_request, cluster, n % len(cluster.daemons), first + n, run_ms, idempotent))
        marks = sample(cluster)
        return marks, [future.result() for future in futures]


def settled(cluster, daemons):
    """True when every daemon is ready and exchanges with workers have begun."""
    return all(read_metrics(cluster.address, METRICS_PORT + i).get("worker_exchanges", 0) > 0
               for i in range(daemons))


def journal_size(cluster):
    """Bytes of all journal records in the store."""
    _, answer = http_call(cluster.address, STORE_PORT, "POST", "/v1/call", {"op": "list", "key": "j/"})
    return sum(len(base64.b64decode(entry["value_base64"])) if "value_base64" in entry
               else len(entry.get("value", "").encode()) for entry in answer["entries"])


def measure_journal(options, requests=600):
    """Prints the size of a journal entry with its outcome. All entries stay: the run is shorter than the horizon."""
    with Cluster(options.build, 1, 4, settings={"vm_list": {"interval": 1000}}) as cluster:
        wait_until(lambda: settled(cluster, 1), 30, "workers are owned")
        time.sleep(options.settle)
        _, outcomes = drive(cluster, 60, requests / 60, 20, False, 0)
        done = sum(outcome == "done" for outcome in outcomes)
        # The last outcomes wait up to 1 s for a commit.
        time.sleep(2)
        print_line("control/journal_entry_bytes", journal_size(cluster) / max(1, done), "bytes")


def measure(options, daemons, workers):
    """Yields (state, rates, note)."""
    settings = {"vm_list": {"interval": 1000}}
    with Cluster(options.build, daemons, workers, options.worker_flags, settings=settings) as cluster:
        spread_zones(cluster)
        wait_until(lambda: settled(cluster, daemons), 30, "workers are owned")
        # Owner leases of 4 s and the first full reports are past after this.
        time.sleep(options.settle)
        before = sample(cluster)
        time.sleep(options.seconds)
        yield "idle", rates(before, sample(cluster)), ""
        number = 0
        for state, run_ms, idempotent in (("requests", 20, True), ("recorded", 20, False), ("running", 4000, True)):
            for per_second in options.loads:
                warm, _ = drive(cluster, per_second, 2, 20, idempotent, number)
                before = sample(cluster)
                after, outcomes = drive(cluster, per_second, options.seconds, run_ms, idempotent, number + 10 ** 6)
                number += 2 * 10 ** 6
                bad = sum(outcome != "done" for outcome in outcomes)
                yield f"{state}_{per_second}", rates(before, after), f"{len(outcomes)} sent, {bad} not done"


def fit(rows, columns, target):
    """Least squares with a constant term. Returns one coefficient per column, the constant first."""
    matrix = [[1.0, *[row[column] for column in columns], row[target]] for row in rows]
    size = len(columns) + 1
    normal = [[sum(line[i] * line[j] for line in matrix) for j in range(size + 1)] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda r: abs(normal[r][i]))
        normal[i], normal[pivot] = normal[pivot], normal[i]
        for other in range(size):
            if other != i and normal[i][i]:
                factor = normal[other][i] / normal[i][i]
                normal[other] = [a - factor * b for a, b in zip(normal[other], normal[i])]
    return [normal[i][size] / normal[i][i] if normal[i][i] else 0.0 for i in range(size)]


def print_line(name, value, unit):
    print(f"{name} {value:.6g} {unit}", flush=True)


UNITS = {"cpu": "percent_of_core", "rss": "MB", "sent": "bytes_per_s"}


def unit_of(name):
    if name in UNITS:
        return UNITS[name]
    return "bytes_per_s" if "bytes" in name else "per_s"


def print_slopes(points):
    idle = [row for row in points if row["state"] == "idle"]
    by_size = {(row["daemons"], row["workers"]): row for row in idle}
    loaded = [dict(row, cpu_extra=row["cpu"] - by_size[row["daemons"], row["workers"]]["cpu"],
                   worker_extra=row["workers_bytes"] - by_size[row["daemons"], row["workers"]]["workers_bytes"],
                   peer_extra=row["peers_bytes"] - by_size[row["daemons"], row["workers"]]["peers_bytes"],
                   store_extra=row["store_bytes"] - by_size[row["daemons"], row["workers"]]["store_bytes"])
              for row in points if row["state"] != "idle"]
    per_peer = fit(idle, ["peer_count"], "peers_bytes")
    print_line("control/slope/bytes_per_peer", per_peer[1], "bytes_per_s")
    per_worker = fit(idle, ["owned"], "workers_bytes")
    print_line("control/slope/bytes_per_owned_worker", per_worker[1], "bytes_per_s")
    cpu = fit(idle, ["peer_count", "owned"], "cpu")
    print_line("control/slope/cpu_constant", cpu[0], "percent_of_core")
    print_line("control/slope/cpu_per_peer", cpu[1], "percent_of_core")
    print_line("control/slope/cpu_per_owned_worker", cpu[2], "percent_of_core")
    memory = fit(idle, ["peer_count", "owned"], "rss")
    print_line("control/slope/rss_constant", memory[0], "MB")
    print_line("control/slope/rss_per_peer", 1000 * memory[1], "kB")
    print_line("control/slope/rss_per_owned_worker", 1000 * memory[2], "kB")
    for kind in ("requests", "recorded"):
        rows = [row for row in loaded if row["state"].startswith(kind)]
        for target, unit in (("cpu_extra", "ms"), ("worker_extra", "bytes"), ("peer_extra", "bytes"),
                             ("store_extra", "bytes"), ("store_writes", "writes")):
            moment = sum(row["requests"] ** 2 for row in rows)
            slope = sum(row["requests"] * row[target] for row in rows) / moment if moment else 0
            # One percent of a core is 10 ms of processor time a second.
            print_line(f"control/slope/{target.removesuffix('_extra')}_per_{kind}",
                       slope * 10 if target == "cpu_extra" else slope, unit)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--settle", type=float, default=6)
    parser.add_argument("--loads", type=int, nargs="*", default=[20, 60])
    parser.add_argument("--sizes", nargs="*", default=["1x8", "1x50", "3x24", "3x50", "7x14", "7x50"])
    parser.add_argument("--label", default="control")
    parser.add_argument("--worker-flags", nargs="*", default=[], help="flags of the worker stand-ins, without --")
    options = parser.parse_args()
    options.worker_flags = [f"--{flag}" for flag in options.worker_flags]
    points = []
    for size in options.sizes:
        daemons, workers = (int(part) for part in size.split("x"))
        for state, row, note in measure(options, daemons, workers):
            row = dict(row, state=state, daemons=daemons, workers=workers, peer_count=daemons - 1,
                       owned=workers / daemons)
            for name in [*LANES, "sent", *COUNTS, "cpu", "rss"]:
                print_line(f"{options.label}/{state}/daemons_{daemons}/workers_{workers}/{name}", row[name], unit_of(name))
            print(f"{size} {state}: {note}", file=sys.stderr, flush=True)
            points.append(row)
    print_slopes(points)
    measure_journal(options)


if __name__ == "__main__":
    main()

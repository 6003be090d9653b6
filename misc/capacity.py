"""Prints docs/CAPACITY.md from bench/results.txt; with --check, fails if the committed page differs."""

import argparse
import math
import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")

# The target, from docs/design.md, section "Size within two years".
WORKERS, TASKS, JOBS_A_DAY, STARTS, ZONES, CHANGES_A_DAY = 6100, 130000, 47000, 2400, 14, 3600
CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 2.2, 32.0, 2000.0
STORE_WRITES, STORE_READS = 300, 2000
# Defaults of the settings, from docs/settings.md.
HEARTBEAT, FANOUT, EXCHANGE, VM_INTERVAL, COMMIT_INTERVAL, PARTITIONS, HORIZON = 0.5, 8, 1.0, 1.0, 0.1, 32, 900
# Frames of drivers/peer_protocol/peer_codec.h: bytes, and heartbeats between two frames on an idle connection.
KEEP_ALIVE_FRAME, IDLE_FRAME, IDLE_HEARTBEATS = 4, 5, 20
TODAY = "idle/daemons_7/workers_50"


def read_results():
    values, heading = {}, ""
    with open(os.path.join(ROOT, "bench", "results.txt"), encoding="utf-8") as text:
        for line in text:
            if line.startswith("# control:"):
                heading = line[2:].strip()
            elif not line.startswith("#"):
                name, value, _ = line.split()
                values[name] = float(value)
    return values, heading


# Measured on the users' bench on 4 December 2026, one run each: cores of the busiest daemon over the day, and its
# peak memory in MB.
PLATFORM_RUNS = [
    ("quiet day, 7 daemons, 48 workers, 37 jobs a second", 0.0322, 2.9),
    ("scale-1, 7 daemons, 48 workers", 0.0307, 3.1),
    ("trouble-3 of the grown Faraja, 30 daemons, 350 workers", 0.0746, 13.9),
    ("trouble-3 of the grown co-op, 45 daemons, 350 workers", 0.0911, 13.7),
]


SWEEP_ROWS = [
    ["31 / 300", "0.802", "0.682", "13.8", "437", "1,196"],
    ["97 / 1,002", "0.767", "0.641", "38.7", "1,298", "3,752"],
    ["297 / 3,000", "0.290", "0.132", "58.4", "1,977", "5,965"],
    ["target: 6,086 machines", "-", "-", "388", "14,000", "49,000"],
]
# The same by site, on the x86-64 machine: with tenants and without.
TENANT_SWEEP_ROWS = [
    ["putnu-skaits-grown", "33 / 299", "0.939", "0.667", "8.3", "8.6", "411", "1,175"],
    ["putnu-skaits-grown", "100 / 999", "0.953", "0.716", "24.2", "18.7", "1,022", "3,121"],
    ["putnu-skaits-grown", "300 / 3,000", "0.830", "0.519", "49.0", "29.8", "1,734", "5,031"],
    ["zvukarchiv-tt-grown", "28 / 299", "0.997", "0.933", "13.5", "9.1", "672", "1,199"],
    ["zvukarchiv-tt-grown", "99 / 999", "0.970", "0.897", "27.4", "16.9", "1,255", "2,884"],
    ["zvukarchiv-tt-grown", "301 / 3,000", "0.801", "0.656", "52.8", "32.1", "2,304", "5,435"],
]


def platform_lines():
    yield ""
    yield "## Measured: `wigeonkeel_entry` on the platform"
    yield ""
    yield from table(["run", "busiest daemon, cores", "peak MB"],
                     [[name, f"{cores:.4f}", f"{memory:.3g}"] for name, cores, memory in PLATFORM_RUNS])
    yield ""
    yield ("On days of trouble several daemons lead in turn, so that the busiest one carries a part of the day only. "
           "One leader carries all orders and looks; followers carry clients' connections and questions to the adviser. "
           "What breaks first is the leader's processor, with the rate of starts and ends. At 6,100 workers and 2,400 "
           "starts a second one leader does not suffice: leaders for each pool, each with its own claim and commit "
           "streams, would divide it; that is not built.")
    yield ""
    yield "## Measured: how the leader grows with the fleet"
    yield ""
    yield ("`fleetbench sweep` of the large Faraja, one play each on the arm64 machine, on landing 6. The target's row is "
           "the sweep's own extrapolation.")
    yield ""
    yield from table(["daemons / workers", "served", "worth", "leader, percent of a core", "kB sent a second",
                      "connections"], SWEEP_ROWS)
    yield ("The middle daemon uses 4 to 8% of a core at the target. Orders of the growth: what a leader sends and computes "
           "grows with starts + ends + renewals, so with the workers; the heartbeats that it sends grow with the daemons, "
           "those of a follower do not; its connections grow with 3 to 4 a worker and one a daemon; a placement pass "
           "examines at most 60 blocked steps x workers, and its share of the processor is bounded by the time between "
           "passes. A start sends about 0.8 kB at payloads of 450 bytes: 2,400 starts a second are 1.9 MB a second, which "
           "a link of 200 Mbit/s carries and one of 2 Mbit/s does not (docs/incidents/large-fleets.md). Processor and "
           "connections bind first, between 1,000 and 3,000 workers.")
    yield ""
    yield ("On the x86-64 machine, 7 December 2026, `fleetbench sweep` of a deployment with tenants and of one without, one "
           "play each, no rule broken at any size:")
    yield ""
    yield from table(["site", "daemons / workers", "served", "worth", "leader, percent of a core", "MB", "kB sent a second",
                      "connections"], TENANT_SWEEP_ROWS)
    yield ("The leader's processor grows with the machines to the power 0.77 on putnu-skaits and 0.59 on zvukarchiv, its "
           "memory to 0.54 and 0.55. Before tenants, shares and speeds it used 7.1, 22.9 and 46.8% of a core on "
           "putnu-skaits and 13.6, 25.8 and 54.4% on zvukarchiv, by the measurements that the users give for the former "
           "landing. A pass of the placement over 10,000 waiting steps takes 3.1 to 3.3 ms with no, 20, 95 and 1,000 "
           "tenants (`bench/placement_benchmark.cpp`): the tables of tenants grow with the tenants only, and jobs and runs "
           "hold an index.")
    yield ""
    yield "Rows of the users' letter that no run of ours has measured: 12,000 accelerators (an accelerator counts 8 cores on"
    yield ("the bench; none of the played sites has any), 47,000 jobs a day (0.54 a second, far below the 143 a second of "
           "the large site), 3,600 changes of configuration a day in force within 11 s (one in 24 s; the large site's days "
           "have two to five in 34 s, in force within 4 s by the rule CONFIG, which was kept).")


def show(value):
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(heads, rows):
    yield "| " + " | ".join(heads) + " |"
    yield "|" + "---|" * len(heads)
    for row in rows:
        yield "| " + " | ".join(cell if isinstance(cell, str) else show(cell) for cell in row) + " |"
    yield ""


class Model:
    """Costs of one daemon without work, worked out from the measured slopes."""

    def __init__(self, values):
        self.values = values
        slope = lambda name: values[f"control/slope/{name}"]
        self.peer = slope("bytes_per_peer") * HEARTBEAT
        self.exchange = slope("bytes_per_owned_worker") * EXCHANGE
        idle = lambda name: values[f"control/{TODAY}/{name}"]
        self.today = idle
        self.fixed = idle("store_bytes") + idle("vm_list_bytes")
        self.vm_row = idle("vm_list_bytes_received") / idle("vm_list_reads") / 50
        self.cpu_idle = idle("cpu")
        self.cpu_request = max(slope("cpu_per_requests"), slope("cpu_per_recorded"))
        self.slope = slope

    def peers(self, daemons):
        """Heartbeats, keep-alives to those whose heartbeats come here, and the frames on idle connections."""
        sent_to = min(FANOUT, daemons - 1)
        answered = min(sent_to, daemons - 1 - sent_to)
        idle = daemons - 1 - sent_to - answered
        return (sent_to * self.peer + answered * KEEP_ALIVE_FRAME + idle * IDLE_FRAME / IDLE_HEARTBEATS) / HEARTBEAT

    def idle_bytes(self, daemons):
        return self.fixed + self.peers(daemons) + self.workers(daemons, EXCHANGE)

    def workers(self, daemons, interval):
        return WORKERS / daemons * self.exchange / interval

    def interval(self, daemons):
        """Interval of exchanges that the limit leaves; None if the rest already takes all of it."""
        left = BYTES_LIMIT - self.fixed - self.peers(daemons)
        return WORKERS / daemons * self.exchange / left if left > 0 else None

    def cpu_fixed(self):
        """Percent of a core that neither grows with workers nor with starts: the daemon and the peers it watches."""
        return self.slope("cpu_constant") + FANOUT * max(0.0, self.slope("cpu_per_peer"))

    def cpu_workers(self):
        """Percent of a core, over all daemons, for the exchanges with all workers."""
        return WORKERS * max(0.0, self.slope("cpu_per_owned_worker"))

    def daemons_by_cpu(self):
        """Each percent of a core is 10 ms a second."""
        return math.ceil((STARTS * self.cpu_request / 10 + self.cpu_workers()) / (CPU_LIMIT - self.cpu_fixed()))

    def daemons_idle(self):
        return math.ceil(self.cpu_workers() / (CPU_LIMIT - self.cpu_fixed()))

    def daemons_by_bytes(self):
        """Fewest daemons that keep the limit of bytes with today's intervals; None if no number does."""
        return next((n for n in range(1, WORKERS + 1) if self.idle_bytes(n) <= BYTES_LIMIT), None)

    def memory(self, daemons):
        own = WORKERS / daemons
        cell = own * self.values["memory_per_worker"] + TASKS / daemons * self.values["memory_per_task"]
        links = (daemons - 1) * self.slope("rss_per_peer") + own * self.slope("rss_per_owned_worker")
        return self.slope("rss_constant") + links / 1e3 + cell / 1e6


def today_section(model):
    yield "## Measured: 7 daemons, 50 workers, without work"
    yield ""
    value = model.today
    rows = [("processor, percent of a core", value("cpu"), CPU_LIMIT),
            ("resident memory, MB", value("rss"), MEMORY_LIMIT), ("bytes sent a second", value("sent"), BYTES_LIMIT)]
    yield from table(["per daemon", "measured", "limit", "kept"],
                     [(name, got, limit, "yes" if got <= limit else "**no**") for name, got, limit in rows])
    before = lambda name: model.values.get(f"control_before/{TODAY}/{name}")
    yield "Bytes sent a second; HTTP headers are counted, those of TCP and IP are not:"
    yield ""
    yield from table(["to", "before", "now"], [
        (name, "-" if before(key) is None else before(key), value(key))
        for name, key in (("peers", "peers_bytes"), ("workers", "workers_bytes"), ("store", "store_bytes"),
                          ("VM list", "vm_list_bytes"), ("all", "sent"))])
    yield ("\"Before\" sent whole heartbeats and renewed through whole exchanges. "
           f"With workers that don't offer `renew_call`: {show(model.values[f'control_without_renew_call/{TODAY}/sent'])} "
           f"bytes, {show(model.values[f'control_without_renew_call/{TODAY}/workers_bytes'])} of them to workers. Received: "
           f"{show(value('worker_bytes_received'))} bytes a second from workers, "
           f"{show(value('vm_list_bytes_received'))} from the VM list "
           f"({show(model.vm_row)} bytes a VM and read), {show(value('store_bytes_received'))} from the store. "
           f"Store calls a second: {show(value('store_reads'))} reads, {show(value('store_lease_calls'))} lease "
           f"renewals, {show(value('store_watches'))} watches begun, {show(value('store_writes'))} writes.")
    yield ""


def slope_section(model):
    yield "## Measured slopes"
    yield ""
    slope = model.slope
    yield from table(["per", "processor", "bytes sent", "memory"], [
        ("daemon", f"{show(slope('cpu_constant'))} % of a core", f"{show(model.fixed)} a second",
         f"{show(slope('rss_constant'))} MB"),
        ("peer", f"{show(slope('cpu_per_peer'))} %", f"{show(slope('bytes_per_peer'))} a second",
         f"{show(slope('rss_per_peer'))} kB"),
        ("owned worker", f"{show(slope('cpu_per_owned_worker'))} %",
         f"{show(slope('bytes_per_owned_worker'))} a second",
         f"{show(slope('rss_per_owned_worker'))} kB with its connections, {show(model.values['memory_per_worker'])} bytes in the cell"),
        ("running task", "not separated", "0 without a change: leases are renewed by worker, not by task",
         f"{show(model.values['memory_per_task'])} bytes in the cell"),
        ("request, idempotent", f"{show(slope('cpu_per_requests'))} ms",
         f"{show(slope('worker_per_requests'))} to workers, {show(slope('peer_per_requests'))} to peers", "not measured"),
        ("request, recorded", f"{show(slope('cpu_per_recorded'))} ms",
         f"{show(slope('worker_per_recorded'))} to workers, {show(slope('store_per_recorded'))} to the store", "not measured")])
    yield ("Slopes per request are over the whole way through the daemons (entry, home, owner). Processor slopes per "
           "peer and per worker are within the noise of the run; the constant is not. The journal was short: see the "
           "store below for a full one. Memory per configuration record is not measured.")
    yield ""


def interval_section(model):
    yield "## Worked out: bytes against promises"
    yield ""
    yield (f"Work itself can't be meant by {show(BYTES_LIMIT)} bytes a second: {show(STARTS)} starts a second at "
           f"{show(model.slope('worker_per_requests'))} bytes each are "
           f"{show(STARTS * model.slope('worker_per_requests') / 1000)} kB a second over all daemons. The limit is "
           "taken for what a daemon sends without work: heartbeats, renewals, leases, watches, list reads.")
    yield ""
    rows = []
    count, need = model.daemons_by_cpu(), model.daemons_by_bytes()
    for daemons in sorted({7, 61, count, 244, 610} | ({need} if need else set())):
        interval = model.interval(daemons)
        rows.append([str(daemons), WORKERS / daemons, model.peers(daemons), model.workers(daemons, EXCHANGE),
                     model.idle_bytes(daemons),
                     "none" if interval is None else f"{show(interval)} / {show(4 * interval)}"])
    yield from table(["daemons", "workers each", "to peers", "to workers", "bytes a second with today's intervals",
                      "exchange interval / owner lease in s that the limit would need"], rows)
    yield (f"A renewal per task and second would be {show(TASKS)} messages a second, a report per worker and second "
           f"{show(WORKERS)}. Neither is sent: one exchange renews the owner and, in groups, the leases of all tasks, "
           "and a worker reports through a waiting call only when something changes. What remains is one exchange a "
           f"worker and interval of {show(model.exchange)} bytes (with workers that offer `renew_call`).")
    yield ""
    interval = model.interval(count)
    yield (f"With the lease of 4 s and the limit, **{need or 'no number of'} daemons** are needed"
           f"{f', {show(WORKERS / need)} workers each' if need else ''}. With the {count} that processor time asks for "
           f"(see below), a daemon sends {show(model.idle_bytes(count))} bytes a second, or the interval must be "
           f"{show(interval)} s and the lease {show(4 * interval)} s. Neither the 3 s for a leaving worker nor the 1.9 s for urgent work depend on the "
           "interval (next table); only the time until the workers of a dead daemon are taken over does. The lease, "
           "the limit or the number must give way. A way out that is not built: with the ability `fencing` a takeover "
           "need not wait for the lease, so that the lease, and with it the interval, may be long.")
    yield ""
    yield ("Heartbeats without news are 5 bytes; under load they carry the changed amounts (see the measured runs "
           "with requests in `bench/results.txt`).")
    yield ""
    yield from table(["promise", "what it needs", "result"], [
        ("leaving worker: no new work 3 s after a daemon knows", "news to the owner, not to all",
         "today each daemon reads the whole VM list every second. If the list is read in turn: rendezvous hashing names the owner, so one message of the daemon that knows is enough, within one heartbeat. "
         "News along the ring alone takes a logarithmic number of heartbeats "
         f"(up to {math.ceil(math.log2(model.daemons_by_cpu()))}) of 0.5 s: too late. Not built"),
        ("urgent start within 1.9 s with one daemon killed", "other workers than those of the dead daemon",
         "independent of the exchange interval: starts are sent at once and results come through the waiting call. "
         f"1 of {model.daemons_by_cpu()} daemons holds {100 / model.daemons_by_cpu():.1f}% of the workers until its lease ends"),
        ("owner lease (4 s)", "four exchanges a lease", "grows to four intervals; requests on workers of a dead daemon "
         "are answered after that time. Offers wait for the longest lease, so that all daemons must know the longest "
         "one before one daemon may lengthen its own. Not built")])


def daemons_section(model):
    count = model.daemons_by_cpu()
    yield "## Worked out: number of daemons"
    yield ""
    yield (f"Processor time decides. A request costs {show(model.cpu_request)} ms, all daemons on its way together: "
           f"{show(STARTS * model.cpu_request / 10)}% of a core over all daemons at {show(STARTS)} starts a second. "
           f"The exchanges with {show(WORKERS)} workers take {show(model.cpu_workers())}%, and a daemon with its peers "
           f"{show(model.cpu_fixed())}%. With {show(CPU_LIMIT)}% each, this needs **{count} daemons**, "
           f"{show(WORKERS / count)} workers each, about {show(count / ZONES)} in each availability zone, if the work "
           "at the peak counts as control. The VM list of this size is left out (not measured). If "
           f"only control without work counts, the processor asks for {model.daemons_idle()} daemons, and bytes decide "
           "(table above).")
    yield ""
    yield (f"Memory at {count} daemons: {show(model.memory(count))} MB, without the VM list that each daemon keeps "
           f"({WORKERS} entries, not measured) and the journal's partitions. Limit {show(MEMORY_LIMIT)} MB.")
    yield ""
    return count


def role_section(model, count):
    own, tasks = WORKERS / count, TASKS / count
    changes = CHANGES_A_DAY / 86400
    yield f"## Worked out: roles at {count} daemons"
    yield ""
    yield from table(["role", "state", "messages", "processor time", "carried by", "breaks first, and what changes then"], [
        ("daemon as entry", "open calls", f"{show(STARTS / count)} requests a second at the peak",
         f"{show(STARTS / count * model.cpu_request / 10)} % of a core with home and owner",
         "forward to the home, acknowledged at once", f"connections to all peers: {IDLE_FRAME} bytes in {IDLE_HEARTBEATS} "
         "heartbeats each; connect on demand"),
        ("daemon as owner", f"{show(own)} workers, {show(tasks)} tasks, a fifth services: "
         f"{show((own * model.values['memory_per_worker'] + tasks * model.values['memory_per_task']) / 1e6)} MB in the cell",
         f"{show(own)} exchanges and {show(model.workers(count, EXCHANGE))} bytes a second",
         f"{show(own * max(0.0, model.slope('cpu_per_owned_worker')))} % without work",
         "owner lease on the worker, renewal in groups", "bytes: lengthen interval and lease together"),
        ("daemon, VM list", f"{WORKERS} entries",
         f"{show(model.vm_row * WORKERS / VM_INTERVAL / 1000)} kB a second received",
         "not measured", "reads at an interval", "the list: read in turn, each daemon once in several seconds, and tell "
         "the owner of what changed"),
        ("daemon as configuration watcher", "one record a team and operator",
         f"{show(changes)} changes a second, at most {show(changes * 3600)} an hour", "not measured",
         "one watch on `w/`; peers compare revisions in heartbeats (11 s allowed)",
         "records of 196 kB: a change is sent whole"),
        ("worker link", f"{show(model.slope('rss_per_owned_worker'))} kB a worker", "one exchange a worker and interval, one waiting call",
         "in owner", "two HTTP connections", "HTTP heads are what is left of a renewal: fewer renewals, by `fencing`"),
        ("store", f"{PARTITIONS} journal partitions", "next table", "-", "group commit", "bytes of full partitions"),
        ("command line", "-", "an operator's call; `--wait` asks for the lowest revision", "-", "heartbeats", "-")])


def store_section(model, count):
    yield "## Worked out: store"
    yield ""
    value = model.today
    commits = PARTITIONS / COMMIT_INTERVAL
    writes = [("journal commits, upper bound (32 partitions, 100 ms)", commits, 0, 0),
              ("jobs, one record each, mean of the day", JOBS_A_DAY / 86400, 0, 0),
              ("configuration", CHANGES_A_DAY / 86400, CHANGES_A_DAY / 86400 * count, 0),
              ("member leases", value("store_lease_calls") * count, 0, 0),
              ("sessions and journal reads without work", 0, value("store_reads") * count, 0),
              ("watches", 0, value("store_watches") * count, count)]
    rows = [(name, w, r, waiting) for name, w, r, waiting in writes]
    total = [sum(row[i] for row in writes) for i in (1, 2, 3)]
    rows.append(("all", *total))
    yield from table(["calls a second", "writes", "reads", "waiting"], rows)
    yield (f"Against several hundred writes ({STORE_WRITES} taken) and {show(STORE_READS)} reads: reads with waiting "
           f"watches are {show(100 * (total[1] + total[2]) / STORE_READS)}% of theirs; writes "
           f"{'exceed' if total[0] > STORE_WRITES else 'are within'} theirs if every partition commits every "
           "100 ms. The bound is reached from about 320 recorded requests a second; `journal.commit_interval` at "
           "200 ms halves it and adds up to 0.1 s to a start.")
    yield ""
    entry = model.values["control/journal_entry_bytes"]
    yield (f"A commit writes a whole partition. With entries of {show(entry)} bytes (measured, short results) kept for "
           f"{HORIZON} s, 1 MB is full at {show(PARTITIONS * 1e6 / entry / HORIZON)} recorded requests a second over "
           "all partitions, and a home then sends up to 10 MB a second and partition. This breaks first in the store. "
           "What would be changed: an open and some closed segments per partition, so that a commit writes only the "
           "open one. VM failures (37 a day), a lost rack or zone cost no store call for their workers, because "
           "ownership is on the workers. A restart of a daemon costs a lease, a member record and a session; if all "
           f"1,700 restarts a day were of daemons, {show(3 * 1700 / 86400)} writes a second. With the regions apart, each side keeps its workers; "
           "the side without the store runs first attempts from memory and refuses jobs and changes.")
    yield ""


def page():
    values, heading = read_results()
    model = Model(values)
    lines = ["# Capacity", "", "Printed by `misc/capacity.py` from `bench/results.txt`; don't edit. \"Measured\" "
             "sections come from runs of `misc/bench_control.sh` and `misc/bench.sh`; \"worked out\" ones are "
             f"calculated from them for the target in `docs/design.md`. Run: {heading}. The machine was shared: "
             "processor figures depend on its load, bytes and counts hardly do. Pictures: `docs/waiting_time.svg`, "
             "`docs/control_cost.svg`.", ""]
    count = model.daemons_by_cpu()
    for section in (today_section(model), slope_section(model), interval_section(model), daemons_section(model),
                    role_section(model, count), store_section(model, count)):
        lines += section
    return "\n".join(lines).rstrip() + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = page().rstrip("\n") + "\n" + "\n".join(platform_lines()) + "\n"
    if not options.check:
        sys.stdout.write(text)
        return
    with open(PAGE, encoding="utf-8") as file:
        if file.read() != text:
            sys.exit("docs/CAPACITY.md differs from bench/results.txt; print it with misc/capacity.py")


if __name__ == "__main__":
    main()

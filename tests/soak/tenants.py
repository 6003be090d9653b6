"""Tenants of the soak: API keys and caps, versions of the configuration that change them, calls with keys that must be
refused, and what must hold of them. All that is drawn here comes from generators of its own, so that a seed without
tenants plays as if there were none."""

import asyncio
import collections
import json
import math
import random

from platform_standin import now

# Seeds below were played, and are listed in docs/soak.md, before there were tenants: they have none by default.
FIRST_SEED = 10000
SEED_SHARE = 0.5
# A version is in force at a daemon once the daemon could reach the store for this long; within the platform's 2 to 4 s.
APPLY_S = 3.0
# An order that passes a link this shortly after the link held bytes back may have been held.
HELD_S = 0.5
TASK_MEMORY_MIB = 100
# 0 is no limit. The smallest cap is below some gangs, which are refused, and makes the other steps run in waves.
CPU_CAPS = (0, 2400, 4000, 8000)
MEMORY_CAPS = (0, 400, 1000)
# Holds back no gang, so that jobs accepted before a cap was lowered end after the faults.
LAST_CAP = {"cpu": 20000, "memMb": 4000}
WEIGHTS = (0.5, 1.0, 2.0, 5.0)
FOREIGN_CALL_SHARE = 0.2
NO_ANSWER = (-1, 0)
# Answers that are given without a look at the job: no key check was passed. 503 also stands for a daemon without a
# configuration, and for one that has no leader.
NOT_SERVED = (*NO_ANSWER, 401, 404, 503)
# 504 is the answer of a daemon that doesn't hear from the leader.
NOT_SHOWN = (*NO_ANSWER, 401, 403, 503, 504)


def has_tenants(seed):
    return seed >= FIRST_SEED and random.Random(f"tenants-{seed}").random() < SEED_SHARE


class Change:
    """When a version was written: for how long each daemon had reached the store by then."""

    def __init__(self, reached):
        self.reached = dict(reached)


class Key:
    """A key that a client may present. Without `added`, no configuration ever held it; without a text, there is none."""

    def __init__(self, text, tenant=None, added=None):
        self.text = text
        self.tenant = tenant
        self.added = added
        self.revoked = None

    def headers(self):
        return {} if self.text is None else {"Authorization": f"Bearer {self.text}"}


class Tenant:
    def __init__(self, name, weight, cap):
        self.name = name
        self.weight = weight
        # Keys in force, and those that were revoked.
        self.keys = []
        self.former = []
        # Each cap with the change that brought it, the newest last.
        self.caps = [(Change({}), cap)]

    def row(self):
        return {"name": self.name, "weight": self.weight, "cap": self.caps[-1][1],
                "apiKeys": [key.text for key in self.keys]}


class Tenants:
    def __init__(self, soak, seed):
        self.soak = soak
        self.rng = random.Random(f"tenants-{seed}-changes")
        # Calls depend on timing; what they draw must not change the versions.
        self.call_rng = random.Random(f"tenants-{seed}-calls")
        # Seconds during which each daemon could reach the store.
        self.reached = collections.Counter()
        self.sampled_at = None
        self.held_at = {}
        self.tenant_of = {}
        self.counts = collections.Counter()
        self.tenants = [Tenant(f"tenant{i}", self.rng.choice(WEIGHTS), self.draw_cap())
                        for i in range(self.rng.randint(3, 5))]
        for tenant in self.tenants:
            self.add_key(tenant)
            self.add_key(tenant)

    # --- versions of the configuration ---

    def rows(self):
        return [tenant.row() for tenant in self.tenants]

    def draw_cap(self):
        return {"cpu": self.rng.choice(CPU_CAPS), "memMb": self.rng.choice(MEMORY_CAPS)}

    def add_key(self, tenant):
        tenant.keys.append(Key(f"{self.rng.getrandbits(96):024x}", tenant, Change(self.reached)))

    def revoke_key(self, tenant):
        key = tenant.keys.pop(self.rng.randrange(len(tenant.keys)))
        key.revoked = Change(self.reached)
        tenant.former.append(key)

    def set_cap(self, tenant, cap):
        tenant.caps.append((Change(self.reached), cap))

    def draw_change(self):
        tenant = self.rng.choice(self.tenants)
        what = self.rng.choice(("key added", "key revoked", "cap"))
        if what == "cap":
            self.set_cap(tenant, self.draw_cap())
        elif what == "key revoked" and len(tenant.keys) > 1:
            self.revoke_key(tenant)
        else:
            self.add_key(tenant)
        self.write(f"{tenant.name}: {what}, {len(tenant.keys)} keys, cap {tenant.caps[-1][1]}")

    def write(self, text):
        self.soak.configure(self.rng)
        self.counts["versions"] += 1
        self.soak.note(f"version {self.soak.version}: {text}")

    async def change(self, until):
        """Writes versions one by one and in quick succession; the last one lets all jobs end."""
        while now() < until:
            for _ in range(self.rng.choice((1, 1, 2, 4))):
                self.draw_change()
                await asyncio.sleep(self.rng.choice((0.0, 0.1)))
            await asyncio.sleep(self.rng.choice((0.3, 1.0, 2.5)))
        for tenant in self.tenants:
            self.set_cap(tenant, LAST_CAP)
        self.write(f"all caps {LAST_CAP}")

    # --- how old a version is to a daemon ---

    def can_reach_store(self, daemon):
        link, store = daemon.store_proxy, self.soak.store
        is_cut = link.refused or link.lost or link.held or any(pair["silent"] for pair in link.open_pairs.values())
        return daemon.is_up() and not (daemon.paused or is_cut or store.fault or store.fault_of.get(daemon.key))

    def sample(self):
        """Called every few milliseconds."""
        elapsed = 0.0 if self.sampled_at is None else now() - self.sampled_at
        self.sampled_at = now()
        for daemon in self.soak.all_daemons:
            if self.can_reach_store(daemon):
                self.reached[daemon.key] += elapsed
        for worker in self.soak.workers:
            if any(link.held for link in worker.links.values()):
                self.held_at[worker] = now()

    def is_applied(self, change, daemon_key):
        return self.reached[daemon_key] - change.reached.get(daemon_key, 0.0) > APPLY_S

    # --- calls ---

    def assign(self, job, number):
        self.tenant_of[job] = self.tenants[number % len(self.tenants)]

    def own_key(self, path):
        """A key in force of the tenant of the path's job; of any tenant if the path names none."""
        tenant = self.tenant_of.get(path.rsplit("/", 1)[1]) or self.call_rng.choice(self.tenants)
        return self.call_rng.choice(tenant.keys)

    def never_held(self):
        text = self.call_rng.choice(self.call_rng.choice(self.tenants).keys).text
        other = f"{self.call_rng.getrandbits(96):024x}"
        return Key(self.call_rng.choice((None, "", other, text[:-1], f"{text}0")))

    def foreign_key(self, job):
        """A key that must not serve calls about the job, or no longer."""
        tenant = self.tenant_of[job]
        other = self.call_rng.choice([each for each in self.tenants if each is not tenant])
        keys = [self.never_held(), self.call_rng.choice(other.keys)]
        return self.call_rng.choice(keys + ([self.call_rng.choice(tenant.former)] if tenant.former else []))

    async def foreign_call(self, call, queue, job, body):
        """Now and then calls about an accepted job, or submits an unknown one, with a key that must not serve it."""
        if self.call_rng.random() >= FOREIGN_CALL_SHARE:
            return
        key = self.foreign_key(job)
        if key.added is None and self.call_rng.random() < 0.3:
            # Its payload is not registered with the checker: any start of it is reported.
            spec = json.dumps({**json.loads(body["spec"]), "unknown": True})
            await call("POST", f"/{queue}/{self.call_rng.getrandbits(64):016x}", {**body, "spec": spec}, key)
            return
        # A key that was revoked just now may still serve the call: its tenant's job must not be cancelled by it.
        methods = ("GET", "POST") if key.tenant is self.tenant_of[job] else ("GET", "POST", "DELETE")
        method = self.call_rng.choice(methods)
        await call(method, f"/{queue}/{job}", body if method == "POST" else None, key)

    def expect(self, daemon, key):
        """Whether the daemon must refuse the key, and whether it must accept it, from what is known before the call."""
        if key.added is None:
            return True, False
        if key.revoked is not None:
            return self.is_applied(key.revoked, daemon.key), False
        return False, self.is_applied(key.added, daemon.key)

    def judge(self, daemon, key, expected, call, status):
        must_refuse, must_accept = expected
        path = call.split(" ")[1]
        tenant = self.tenant_of.get(path.rsplit("/", 1)[1])
        kind = ("key that no configuration held" if key.added is None else "key of another tenant"
                if tenant is not None and key.tenant is not tenant else "revoked key" if key.revoked else "valid key")
        if status not in NO_ANSWER:
            self.counts[f"{kind}: {status}"] += 1
        if must_refuse:
            self.counts["calls that had to be refused"] += 1
        text = f"{daemon.key} answers {status} to {call} with a {kind} ({key.text})"
        if must_refuse and status not in NOT_SERVED:
            self.soak.checker.fail(text)
        elif tenant is not None and key.tenant not in (None, tenant) and status not in NOT_SHOWN:
            self.soak.checker.fail(text)
        elif must_accept and key.revoked is None and status == 401:
            self.soak.checker.fail(f"{text}, in force for more than {APPLY_S} s")
        elif tenant is not None and key.tenant is tenant and status == 403:
            self.soak.checker.fail(text)

    # --- workers ---

    def highest_cap(self, tenant, sender, resource):
        """The highest cap that may be in force at the daemon."""
        successors = [change for change, _ in tenant.caps[1:]] + [None]
        caps = [cap[resource] or math.inf for (_, cap), successor in zip(tenant.caps, successors)
                if successor is None or not self.is_applied(successor, sender)]
        return max(caps)

    def run_started(self, worker, run):
        tenant = self.tenant_of.get(run["task"].split(".")[0])
        if tenant is None:
            return
        # An order that arrives late was decided under a cap that may be gone.
        if run["late"] or now() - self.held_at.get(worker, -math.inf) < HELD_S:
            self.counts["late starts"] += 1
            return
        runs = [each for every in self.soak.workers for each in every.runs.values()
                if self.tenant_of.get(each["task"].split(".")[0]) is tenant]
        used = {"cpu": sum(each["size"]["cpu"] for each in runs), "memMb": TASK_MEMORY_MIB * len(runs)}
        sender = self.soak.store.claimant(run["token"])
        for resource, amount in used.items():
            cap = self.highest_cap(tenant, sender, resource)
            self.counts["starts under a cap"] += resource == "cpu" and cap < math.inf
            if amount > cap:
                self.soak.checker.fail(f"{tenant.name} has {amount} of {cap} {resource} after the start of {run['task']} "
                                       f"on {worker.name} by {sender}")

    # --- the whole ---

    def last_calls(self):
        """Keys and the status that each daemon answers for them once it has the newest version."""
        former = [key for tenant in self.tenants for key in tenant.former]
        return [(self.own_key("/"), 200), (Key(None), 401), (self.never_held(), 401)] + [(key, 401) for key in former]

    def check_logs(self):
        keys = [key.text for tenant in self.tenants for key in (*tenant.keys, *tenant.former)]
        for log in sorted(self.soak.folder.glob("n*.log")):
            text = log.read_text(errors="replace")
            if any(key in text for key in keys):
                self.soak.checker.fail(f"{log.name} shows a key")

    def summary(self):
        return f"{len(self.tenants)} tenants: " + ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))

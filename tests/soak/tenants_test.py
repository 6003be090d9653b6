"""The soak's checks of tenants, without daemons. A check that finds nothing would hide every fault of its kind."""

import asyncio
import json
import pathlib
import random
import sys
import tempfile
import types
import unittest

import platform_standin
import tenants
from checker import Checker

JOB = "00000000000000aa"
UNLIMITED = {"cpu": 0, "memMb": 0}


class TenantsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        rng = random.Random(1)
        self.checker = Checker(2)
        self.store = platform_standin.Store(rng)
        self.store.claim_revisions = [(1, "n0"), (5, "n1")]
        self.daemon = types.SimpleNamespace(key="n1")
        self.soak = types.SimpleNamespace(checker=self.checker, store=self.store, all_daemons=[], version=1)
        self.tenants = self.checker.tenants = tenants.Tenants(self.soak, 1)
        self.soak.workers = [platform_standin.Worker(rng, f"w{i}", "z", self.checker, self.store, {}) for i in range(2)]
        self.spec = json.dumps({"cpu": 1000, "ms": 1000, "fails": False, "gangs": [0]})
        self.checker.specs[JOB] = self.spec
        self.tenants.assign(JOB, 0)
        self.tenant, self.other = self.tenants.tenants[:2]
        self.tenants.set_cap(self.tenant, UNLIMITED)
        self.pass_time(60)

    def pass_time(self, seconds, daemon="n1"):
        self.tenants.reached[daemon] += seconds

    def start(self, worker, index, token=7, late=False):
        until = self.soak.workers[worker].clock_ms() + 1000
        status, _ = self.soak.workers[worker].order("/v1/run-start", {
            "task": f"{JOB}.0.0.{index}", "attempt": 1, "spec": self.spec, "untilMs": until, "fencingToken": token}, late)
        self.assertEqual(status, 200)

    def answer(self, status, key, method="GET", job=JOB, expected=None):
        """What the checks say of an answer to a call that was sent just now."""
        self.checker.violations.clear()
        expected = expected or self.tenants.expect(self.daemon, key)
        self.tenants.judge(self.daemon, key, expected, f"{method} /batch/{job}", status)
        return len(self.checker.violations)

    async def test_the_runs_of_a_tenant_on_all_workers_count_against_its_cap(self):
        self.tenants.set_cap(self.tenant, {"cpu": 1500, "memMb": 0})
        self.pass_time(10)
        self.start(0, 0)
        self.assertEqual(self.checker.violations, [])
        self.start(1, 1)
        self.assertIn("has 2000 of 1500 cpu", self.checker.violations[0])

    async def test_memory_counts_too(self):
        self.tenants.set_cap(self.tenant, {"cpu": 0, "memMb": 150})
        self.pass_time(10)
        self.start(0, 0)
        self.start(1, 1)
        self.assertIn("has 200 of 150 memMb", self.checker.violations[0])

    async def test_a_lowered_cap_binds_the_leader_once_it_could_apply_it(self):
        self.tenants.set_cap(self.tenant, {"cpu": 500, "memMb": 0})
        self.pass_time(tenants.APPLY_S - 0.1)
        # What another daemon could read does not matter.
        self.pass_time(60, "n0")
        self.start(0, 0)
        self.assertEqual(self.checker.violations, [])
        self.pass_time(0.2)
        self.start(0, 1)
        self.assertEqual(len(self.checker.violations), 1)

    async def test_a_late_start_is_exempt_and_counts_for_the_next(self):
        self.tenants.set_cap(self.tenant, {"cpu": 1500, "memMb": 0})
        self.pass_time(10)
        self.start(0, 0)
        self.start(1, 1, late=True)
        self.assertEqual(self.checker.violations, [])
        self.start(1, 2)
        self.assertIn("has 3000 of 1500 cpu", self.checker.violations[0])

    async def test_a_key_that_no_configuration_held_is_never_served(self):
        for text in (None, "", "0" * 24):
            key = tenants.Key(text)
            self.assertEqual([self.answer(status, key) for status in (0, 401, 503, 200, 403, 410, 429, 504)],
                             [0, 0, 0, 1, 1, 1, 1, 1])

    async def test_a_revoked_key_is_not_served_once_the_daemon_could_apply_its_version(self):
        self.tenants.revoke_key(self.tenant)
        key = self.tenant.former[0]
        self.assertEqual(self.answer(200, key), 0)
        early = self.tenants.expect(self.daemon, key)
        self.pass_time(tenants.APPLY_S + 0.1)
        self.assertEqual(self.answer(200, key), 1)
        self.assertEqual(self.answer(401, key), 0)
        # A call that was sent before is judged by what was known then.
        self.assertEqual(self.answer(200, key, expected=early), 0)

    async def test_a_key_of_another_tenant_never_uses_a_job(self):
        key = self.other.keys[0]
        for method in ("GET", "POST", "DELETE"):
            self.assertEqual([self.answer(status, key, method) for status in (403, 503, 504, 200, 410, 429)],
                             [0, 0, 0, 1, 1, 1])
            # It is a valid key, and the daemon has had the time to apply it.
            self.assertEqual(self.answer(401, key, method), 1)

    async def test_a_valid_key_is_not_refused_once_the_daemon_could_apply_its_version(self):
        self.tenants.add_key(self.tenant)
        key = self.tenant.keys[-1]
        self.assertEqual(self.answer(401, key), 0)
        self.pass_time(tenants.APPLY_S + 0.1)
        self.assertEqual([self.answer(status, key) for status in (401, 403, 200)], [1, 1, 0])
        expected = self.tenants.expect(self.daemon, key)
        self.tenant.keys = [key]
        self.tenants.revoke_key(self.tenant)
        # Revoked while the call was under way.
        self.assertEqual(self.answer(401, key, expected=expected), 0)

    async def test_a_daemon_that_cannot_reach_the_store_has_more_time(self):
        link = types.SimpleNamespace(refused=False, lost=set(), held=set(), open_pairs={})
        daemon = types.SimpleNamespace(key="n1", store_proxy=link, paused=False, is_up=lambda: True)
        self.soak.all_daemons.append(daemon)
        before = self.tenants.reached["n1"]
        for fault, begin, end in (("store", lambda: self.store.fault_of.update(n1="silent"), self.store.fault_of.clear),
                                  ("link", lambda: link.lost.add("out"), link.lost.clear),
                                  ("pause", lambda: setattr(daemon, "paused", True),
                                   lambda: setattr(daemon, "paused", False))):
            begin()
            self.tenants.sample()
            await asyncio.sleep(0.01)
            self.tenants.sample()
            self.assertEqual(self.tenants.reached["n1"], before, fault)
            end()
        await asyncio.sleep(0.01)
        self.tenants.sample()
        self.assertGreater(self.tenants.reached["n1"], before)

    async def test_a_key_in_a_log_is_reported(self):
        with tempfile.TemporaryDirectory() as folder:
            self.soak.folder = pathlib.Path(folder)
            (self.soak.folder / "n0.log").write_text("nothing\n")
            self.tenants.check_logs()
            self.assertEqual(self.checker.violations, [])
            (self.soak.folder / "n1.log").write_text(f"key={self.other.keys[0].text}\n")
            self.tenants.check_logs()
            self.assertEqual(len(self.checker.violations), 1)

    async def test_known_seeds_have_no_tenants(self):
        self.assertFalse(any(tenants.has_tenants(seed) for seed in range(tenants.FIRST_SEED)))
        drawn = sum(tenants.has_tenants(tenants.FIRST_SEED + number) for number in range(200))
        self.assertTrue(60 < drawn < 140)


if __name__ == "__main__":
    sys.exit(unittest.main())

#!/usr/bin/env python3
"""Random faults, up to two at the same time, on 11 daemons, engines and plain
services under calls and changes.  The invariants are checked all the while and
again when all is healed.  tests/cluster.py says how to run this file.

MIXED_SEED and MIXED_STEPS choose another history than that of ./check;
tests/fuzz-processes tries one after the other."""
import http.client
import os
import random
import shutil
import threading
import time

import callers
import changes
from cluster import Background, ClusterTest, main, request, wait_until

SEED = int(os.environ.get("MIXED_SEED", "1"))
STEPS = int(os.environ.get("MIXED_STEPS", "6"))
TOKENS = 12
ENGINES = 4
CALLERS = 4
KEYED_CALLERS = 3
VOTERS = 3
# Faults of an engine that are used up, and with which fields.
ENGINE_FAULTS = [("truncate", {"n": 3}), ("foreign", {}),
                 ("duplicate_tokens", {}), ("reorder_tokens", {}),
                 ("reject", {}), ("silent", {})]
FAULT_USES = 3
FINAL = (200, 502)  # the result, or that it is unknown for good
FINAL_S = 120  # a safety: no fault lasts so long


def declared(marker):
    """The document of the callers' tests with a service that tells it from
    all others."""
    return callers.document(min_copies=2, services={
        marker: {"kind": "plain"}})


class Traffic:
    """Callers, operators and what they were told."""

    def __init__(self, test, c, seed):
        self.test, self.c = test, c
        self.replies, self.calls = [], {}
        self.accepted = changes.Accepted(document=declared)
        self.accepted.add({"version": 1}, "first", "ada", declared("first"))
        self.watch = changes.Watch(c.daemons.values())
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._numbers = iter(range(10**9))
        self._operator = Background(self._submit, pause_s=0.2)
        self._callers = [
            *(Background(self._stream) for _ in range(CALLERS)),
            *(Background(self._assign) for _ in range(KEYED_CALLERS)),
            Background(self._submit_stale, pause_s=0.5)]

    def _number(self):
        with self._lock:
            return next(self._numbers)

    def _entry(self):
        with self._lock:
            return self._random.choice(self.c.entries)

    def _stream(self):
        r = callers.ask(self._entry().callers, f"prompt {self._number()}",
                        TOKENS)
        self.replies.append(r)

    def _assign(self):
        """Sends one key until its answer is final."""
        key = f"key-{self._number()}"
        mine = self.calls[key] = []
        end = time.monotonic() + FINAL_S
        while not mine or mine[-1].status not in FINAL:
            assert time.monotonic() < end, (key, mine[-1])
            mine.append(callers.assign(self._entry().callers, key,
                                       timeout_s=4))
            time.sleep(0.05)

    def _submit(self):
        self.accepted.submit(self._entry(), f"change-{self._number()}")

    def _submit_stale(self):
        """A change on top of what is no longer in force is never taken."""
        change_id = f"stale-{self._number()}"
        try:
            a = self._entry().submit(0, change_id, declared(change_id), "bea",
                                     timeout_s=4)
        except (OSError, http.client.HTTPException):
            return
        assert a.status in (409, 503, 504), a

    def finish(self):
        """The last of each is answered, now that all is healed."""
        for one in (self._operator, *self._callers):
            one.finish()
        self.accepted.submit(self._entry(), "last-change")
        self.watch.finish(self.test)


class Faults:
    """What is hurt at the moment, and how to heal it."""

    def __init__(self, c, engines, services, rng):
        self.c, self.engines, self.services = c, engines, services
        self.rng = rng
        self._hurt = {}  # process: how it is healed
        self.kinds = [self.kill_entry, self.freeze_entry, self.stop_entry,
                      self.kill_voter, self.freeze_voter, self.wipe_voter,
                      self.kill_engine, self.freeze_engine, self.fault_engine,
                      self.kill_service, self.fault_service, self.kill_all]

    @property
    def voters(self):
        return [d for d in self.c.daemons.values() if "control" in d.roles]

    def _whole(self, some):
        return [p for p in some if p not in self._hurt]

    def _pick(self, some):
        whole = self._whole(some)
        return self.rng.choice(whole) if len(whole) > 1 else None

    def _kill(self, some):
        p = self._pick(some)
        if p is not None:
            p.kill()
            self._hurt[p] = p.start

    def _freeze(self, some):
        p = self._pick(some)
        if p is not None:
            p.stop()
            self._hurt[p] = p.cont

    def kill_entry(self):
        self._kill(self.c.entries)

    def freeze_entry(self):
        self._freeze(self.c.entries)

    def stop_entry(self):
        p = self._pick(self.c.entries)
        if p is not None:
            p.term()
            self._hurt[p] = lambda: (p.wait(), p.start())

    def _leader_first(self):
        leader = self.c.leader()
        return [leader, leader] if leader and self.rng.random() < 0.6 else (
            self.voters)

    def kill_voter(self):
        self._kill(self._leader_first())

    def freeze_voter(self):
        self._freeze(self._leader_first())

    def wipe_voter(self):
        """A disk is lost; only while the other voters are whole."""
        if len(self._whole(self.voters)) < VOTERS:
            return
        p = self._pick(self.voters)
        p.kill()
        shutil.rmtree(p.data_folder)
        p.start()
        wait_until("the repair", lambda: self._all_vote(p))

    def _all_vote(self, p):
        rows = self.c.wait_leader().dump()["control"]["voters"]
        roles = {m["name"]: m["role"] for m in rows}
        return (roles.get(p.name) == "voter" and len(rows) == VOTERS
                and set(roles.values()) == {"voter"})

    def kill_engine(self):
        self._kill(self.engines)

    def freeze_engine(self):
        self._freeze(self.engines)

    def fault_engine(self):
        p = self._pick(self.engines)
        if p is not None:
            kind, fields = self.rng.choice(ENGINE_FAULTS)
            callers.set_fault(p, kind, count=FAULT_USES, **fields)

    def kill_service(self):
        self._kill(self.services)

    def fault_service(self):
        p = self._pick(self.services)
        if p is not None:
            callers.set_fault(p, self.rng.choice(["die_before", "die_after"]),
                              count=1)
            self._hurt[p] = lambda: (p.kill(), p.start())

    def kill_all(self):
        """Every daemon at once, if none of them is hurt already."""
        daemons = list(self.c.daemons.values())
        if len(self._whole(daemons)) == len(daemons):
            self.c.kill(*daemons)
            for d in daemons:
                self._hurt[d] = d.start

    def heal(self):
        for fn in self._hurt.values():
            fn()
        self._hurt = {}


class Mixed(ClusterTest):

    def test_mixed_faults(self):
        print(f"seed {SEED}, {STEPS} steps", flush=True)
        rng = random.Random(SEED)
        c = callers.fleet(self, declared("first"))
        engines = callers.engines(c, ENGINES, decode_ms=5)
        services = [callers.service(c, f"s{i}", work_ms=20) for i in (1, 2)]
        traffic = Traffic(self, c, SEED)
        faults = Faults(c, engines, services, rng)
        for step in range(STEPS):
            chosen = rng.sample(faults.kinds, rng.choice((1, 2)))
            print(step, [f.__name__ for f in chosen], flush=True)
            for hurt in chosen:
                hurt()
                time.sleep(rng.uniform(0, 1.5))
            time.sleep(rng.uniform(0.2, 3))
            faults.heal()
            time.sleep(rng.uniform(0, 2))
        self._healed(c)
        traffic.finish()
        self._check(c, traffic, engines, services)

    def _healed(self, c):
        """All is served again by every entry."""
        for e in c.entries:
            wait_until(f"{e.name} to answer streams", lambda: callers.ask(
                e.callers, "healed", TOKENS).whole)
            wait_until(f"{e.name} to take calls", lambda: callers.assign(
                e.callers, f"healed-{e.name}").status == 200)

    def _check(self, c, traffic, engines, services):
        answers = [r for rs in traffic.calls.values() for r in rs]
        print(f"{len(traffic.replies)} streams, "
              f"{sum(r.whole for r in traffic.replies)} whole; "
              f"{len(traffic.calls)} keys, {len(answers)} calls; "
              f"{traffic.accepted.version} changes", flush=True)
        callers.check_truthful(self, engines, traffic.replies)
        callers.check_truthful(self, services, answers)
        self._check_streams(c, traffic.replies)
        self._check_keys(services, traffic.calls)
        for d in c.daemons.values():
            traffic.accepted.check(self, d)
        for e in engines:
            s = request(e.address, "GET", "/fake/state").json
            self.assertFalse(s["overcommitted"], e.name)

    def _check_streams(self, c, replies):
        """What came is the beginning of the right answer, or all of it."""
        self.assertTrue(any(r.whole for r in replies))
        for r in replies:
            right = callers.ask(c.fakes["oracle"].address, r.prompt, TOKENS)
            self.assertFalse(r.foreign, r)
            if r.whole and r.error is None:
                self.assertEqual(r.text, right.text, r)
            self.assertTrue(right.text.startswith(r.text), (r, right))

    def _check_keys(self, services, calls):
        """No key ran twice, and all who were told a result were told the
        same one."""
        ran = [row["key"] for s in services
               for row in callers.ledger(s, "ran")]
        self.assertEqual(len(ran), len(set(ran)))
        for key, replies in calls.items():
            results = {r.text for r in replies if r.status == 200}
            self.assertLessEqual(len(results), 1, key)
            if results:
                self.assertIn(key, ran)


if __name__ == "__main__":
    main()

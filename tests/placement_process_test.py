#!/usr/bin/env python3
"""Models on engines while leaders, engines and orders are lost, with real
daemons and fake engines.  tests/cluster.py says how to run this file.

The oracle: no engine is ever ordered beyond its memory (its `overcommitted`
stays false, also for what came late), and what was ready stays reachable
unless an engine dies."""

import http.client

from cluster import Background, ClusterTest, main, request, wait_until

LIFE_MS = 10000
TRANSIT_MS = LIFE_MS // 3
TIMING = {"order_life_ms": LIFE_MS, "backend_lease_ms": LIFE_MS // 4,
          "poll_wait_ms": 200, "connect_timeout_ms": 500}
ENGINE_MB = 1000
MODEL_MB = 150
CACHE_MB = 50
MODELS = [f"m{i}" for i in range(8)]
ROUNDS = 2  # a model on the move may be missed by one look at the engines


def document(version, models=MODELS):
    return {
        "services": {"chat": {"kind": "model", "models": list(models)}},
        "models": {m: {"version": version, "memory_mb": MODEL_MB,
                       "kv_cache_mb": CACHE_MB, "max_copies": 1}
                   for m in models},
        "placement": {"store_loads_per_s": 20, "store_full_speed": 4,
                      "min_stay_s": 0, "moves_weight": 1},
        "version_change": {"watch_s": 1, "max_failures": 3}}


def state(engine):
    """What an engine really holds; None while it dies or starts."""
    try:
        return request(engine.address, "GET", "/fake/state", timeout_s=5).json
    except (OSError, http.client.HTTPException):
        return None


def copies(engines):
    found = [state(e) for e in engines if e.alive()]
    return [c for s in found if s is not None for c in s["copies"]]


def ready(engines):
    """The ready copies, as (model, version)."""
    return {(c["model"], c["version"]) for c in copies(engines)
            if c["phase"] == "ready"}


def loading(engines):
    return [c for c in copies(engines) if c["phase"] == "loading"]


class Oracle:
    """Looks at the engines all the time."""

    def __init__(self, test, engines):
        self.test, self.engines = test, engines
        self.reachable, self.missing = set(), {}
        self.watch = Background(self._look)

    def expect(self, models):
        """From now on these must be ready somewhere."""
        self.missing = {}
        self.reachable = set(models)

    def _look(self):
        models = set(self.reachable)
        found = {m for m, _ in ready(self.engines)}
        for m in models:
            self.missing[m] = 0 if m in found else self.missing.get(m, 0) + 1
            assert self.missing[m] < ROUNDS, f"{m} is ready nowhere"
        self.check_memory()

    def check_memory(self):
        for e in self.engines:
            s = state(e) if e.alive() else None
            if s is not None:
                assert not s["overcommitted"], (e.name, s)
                assert s["true_memory_mb"] <= s["size_mb"], (e.name, s)

    def finish(self):
        self.watch.finish()
        wait_until("all answers", lambda: all(
            state(e) for e in self.engines if e.alive()))
        self.check_memory()


class OracleTest(ClusterTest):
    """What the oracle is for, done to an engine that no daemon knows."""

    def setUp(self):
        self.engine = self.cluster().engine(
            "g1", entry=[], memory_mb=ENGINE_MB, models="m0:1:200")
        wait_until("the engine", lambda: ready([self.engine]))
        self.oracle = Oracle(self, [self.engine])
        self.oracle.expect(["m0"])

    def order(self, kind, memory_mb):
        request(self.engine.address, "POST", "/control/orders",
                {"token": 9, "kind": kind, "model": "m0" if kind == "unload"
                 else "big", "version": "1", "memory_mb": memory_mb})

    def test_an_order_beyond_the_memory_is_seen(self):
        self.order("load", ENGINE_MB)
        with self.assertRaisesRegex(AssertionError, "overcommitted"):
            self.oracle.finish()

    def test_a_model_that_is_nowhere_is_seen(self):
        self.order("unload", 0)
        wait_until("the unload", lambda: not ready([self.engine]))
        self.oracle.watch.join()
        with self.assertRaisesRegex(AssertionError, "ready nowhere"):
            self.oracle.finish()


class PlacementTest(ClusterTest):
    """What the tests of placement have in common."""

    def begin(self, fenced=(True, True, False, False), timing=TIMING,
              relay=None, **engine):
        """Three voters that are entries too, and an engine for each of
        FENCED, in the zones a, b, c in turn."""
        c = self.cluster(timing=timing, relay=relay)
        c.add_voters(["v1", "v2", "v3"])
        c.start()
        c.wait_leader()
        options = {"memory_mb": ENGINE_MB, "load_ms": 300, **engine}
        c.engines = [c.engine(f"g{i + 1}", zone="abc"[i % 3], fenced=f,
                              no_fenced=not f, **options)
                     for i, f in enumerate(fenced)]
        wait_until("the engines", lambda: all(map(state, c.engines)))
        c.oracle = Oracle(self, c.engines)
        self.addCleanup(c.oracle.watch._end.set)
        return c

    def submit(self, c, base, declared):
        def accepted():
            a = c.wait_leader().submit(base, f"change {base}", declared)
            return a if a.status != 503 else None
        a = wait_until("an accepted change", accepted)
        self.assertEqual(a.status, 200, a)

    def wait_all(self, c, version, models=MODELS):
        """Until just these copies are ready."""
        right = {(m, version) for m in models}
        wait_until(f"all at {version}", lambda: ready(c.engines) == right)

    def wait_reachable(self, c, models=MODELS):
        wait_until("all reachable", lambda: {
            m for m, _ in ready(c.engines)} >= set(models))


class Placement(PlacementTest):

    def test_leader_killed_in_the_middle_of_a_move(self):
        c = self.begin()
        self.submit(c, 0, document("1"))
        self.wait_all(c, "1")
        c.oracle.expect(MODELS)
        self.submit(c, 1, document("2"))
        wait_until("a load under way", lambda: loading(c.engines))
        first = c.wait_leader()
        first.kill()
        second = c.wait_leader(other_than=(first,))
        wait_until("a load under way", lambda: loading(c.engines))
        first.start()
        second.kill()
        self.wait_all(c, "2")
        c.oracle.finish()

    def test_stopped_leader_acts_no_more_when_it_wakes(self):
        c = self.begin()
        self.submit(c, 0, document("1"))
        self.wait_all(c, "1")
        c.oracle.expect(MODELS)
        old = c.wait_leader()
        self.submit(c, 1, document("2"))
        wait_until("a load under way", lambda: loading(c.engines))
        old.stop()
        c.wait_leader(other_than=(old,))
        self.submit(c, 2, document("3"))
        wait_until("a copy of the last change", lambda: any(
            v == "3" for _, v in ready(c.engines)))
        old.cont()
        self.wait_all(c, "3")
        c.oracle.finish()

    def test_late_orders_after_a_change_of_leader(self):
        c = self.begin()
        for e in c.engines:
            late = TRANSIT_MS - 200 if "--no-fenced" in e.command else LIFE_MS
            request(e.address, "POST", "/fake/fault",
                    {"kind": "late_orders", "ms": late})
        self.submit(c, 0, document("1"))
        old = c.wait_leader()
        wait_until("an order on its way", lambda: old.dump()["placer"][
            "numbers"]["sends_open"] > 0)
        old.kill()
        self.wait_reachable(c)
        c.oracle.finish()

    def test_orders_lost_and_forgotten(self):
        c = self.begin()
        for e in c.engines:
            for kind in ("lose_orders", "forget_orders"):
                request(e.address, "POST", "/fake/fault",
                        {"kind": kind, "count": 2})
        self.submit(c, 0, document("1"))
        self.wait_reachable(c)
        c.oracle.finish()

    def test_engines_lost_one_right_after_the_repair(self):
        c = self.begin(fenced=(True, True, True, False, False))
        self.submit(c, 0, document("1"))
        self.wait_all(c, "1")
        self.kill_an_engine(c)
        self.wait_reachable(c)
        leader = c.wait_leader()
        self.kill_an_engine(c, leader)
        self.wait_reachable(c)
        c.oracle.finish()

    @staticmethod
    def kill_an_engine(c, *others):
        """SIGKILL of the engine that holds most, with OTHERS."""
        alive = [e for e in c.engines if e.alive()]
        most = max(alive, key=lambda e: len(ready([e])))
        c.kill(most, *others)

    def test_leaving_engine_is_left_without_a_gap(self):
        c = self.begin(fenced=(True, False, True), leave_ms=60000)
        self.submit(c, 0, document("1", MODELS[:5]))
        self.wait_all(c, "1", MODELS[:5])
        c.oracle.expect(MODELS[:5])
        alive = sorted(c.engines, key=lambda e: -len(ready([e])))
        alive[0].term()
        wait_until("copies elsewhere", lambda: {
            m for m, _ in ready(alive[1:])} >= set(MODELS[:5]))
        c.oracle.finish()


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Demand that moves without warning, with real daemons and fake engines.
tests/cluster.py says how to run this file."""
import threading

import placement_process_test as placement
from callers import ask, check_truthful
from cluster import main, wait_until

MODELS = ["m0", "m1"]
CALLERS = 48  # at once: the work of several engines
TOKENS = 50
DECODE_MS = 20
ENGINES = 4
ENGINE_MB = 300  # room for one model: copies of the other have to go


def document():
    """Two models that may have a copy on each engine."""
    d = placement.document("1", MODELS)
    for m in d["models"].values():
        m["max_copies"] = ENGINES
    d["placement"]["moves_weight"] = 0
    return d


class Crowd:
    """Callers of one model who ask again and again."""

    def __init__(self, c, model):
        self._c, self._model = c, model
        self._end, self.replies = threading.Event(), []
        self._threads = [threading.Thread(target=self._run, args=(i,),
                                          daemon=True)
                         for i in range(CALLERS)]
        for t in self._threads:
            t.start()

    def _run(self, i):
        entries = list(self._c.daemons.values())
        while not self._end.is_set():
            r = ask(entries[i % len(entries)].callers,
                    f"{self._model} {i} {len(self.replies)}", TOKENS,
                    self._model)
            self.replies.append(r)
            if not r.whole:
                self._end.wait(0.5)

    def finish(self):
        self._end.set()
        for t in self._threads:
            t.join()
        return self.replies


class Demand(placement.PlacementTest):
    """Demand moves from one model to the other at once."""

    def test_demand_moves_between_models(self):
        """Invariant: copies follow; both models stay reachable and no memory
        is overcommitted meanwhile; every request is answered whole, or is
        refused at once and truly did not run."""
        c = self.begin(fenced=(True, False) * 2, decode_ms=DECODE_MS,
                       event_ids=True, memory_mb=ENGINE_MB, max_batch=8)
        self.submit(c, 0, document())
        self.wait_reachable(c, MODELS)
        wait_until("all entries to know", lambda: all(
            ask(d.callers, "known?", 1, m).whole
            for d in c.daemons.values() for m in MODELS))
        c.oracle.expect(MODELS)
        for m in MODELS:
            before = self._copies(c, m)
            crowd = Crowd(c, m)
            self.addCleanup(crowd._end.set)
            wait_until(f"more copies of {m} than {before}",
                       lambda: self._copies(c, m) > before)
            self._check(c, crowd.finish())
        c.oracle.finish()

    @staticmethod
    def _copies(c, model):
        return sum(copy["model"] == model and copy["phase"] == "ready"
                   for copy in placement.copies(c.engines))

    def _check(self, c, replies):
        self.assertTrue(any(r.whole for r in replies))
        for r in replies:
            self.assertTrue(r.whole or r.outcome == "not-run", r)
            self.assertFalse(r.foreign, r)
        check_truthful(self, c.engines, replies)


if __name__ == "__main__":
    main()

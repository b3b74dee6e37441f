#!/usr/bin/env python3
"""Partitions while calls that may run once are on their way.  tests/relay.py
is the network, tests/cluster.py says how to run this file."""
import threading
import time

import once_process_test as once
from cluster import main, wait_until
from relay import BOTH, FROM, HOLD, SWALLOW, TO, Relay, ways

CUT_MS = 5000  # longer than an attempt to claim
WORK_MS = 300


class PartitionedCalls(once.OnceTest):
    """Invariant: a call that may run once runs once at most, whichever side
    of a partition its copies come to, and nobody is told a lie."""

    def setUp(self):
        self.end = threading.Event()
        self.addCleanup(self.end.set)

    def cut_calls(self, shape):
        """A side is taken for dead, its bytes are lost; then one is not and
        they are late."""
        for mode, session_ms in ((SWALLOW, CUT_MS // 2), (HOLD, 5 * CUT_MS)):
            net = Relay()

            def hurt(c):
                self.at_work = [once.Resender(c, f"at-work-{n}", self.end)
                                for n in range(len(c.entries))]
                wait_until("calls to be at work",
                           lambda: once.at_work(c.entries[0]) > 0)
                side = [c.wait_leader(), *c.entries[:4]]
                rest = [d for d in c.daemons.values() if d not in side]
                net.set(mode, ways(shape, side, rest))
                c.wait_leader(other_than=side)

            def heal(c):
                time.sleep(CUT_MS / 1000)
                for one in self.at_work:  # copies on the other side
                    once.assign(c.entries[-1].callers, one.key)
                net.heal()
                # A check reads the whole ledger twice: none may come between.
                self._settled(self.at_work)
            c, s, _ = self._under_calls(
                hurt, heal, WORK_MS, relay=net,
                timing={"session_ms": session_ms})
            self._check(c, s, self.at_work)

    def test_calls_through_a_side_that_hears_nothing(self):
        self.cut_calls(TO)

    def test_calls_through_a_side_that_is_not_heard(self):
        self.cut_calls(FROM)

    def test_calls_through_a_side_that_is_cut_off(self):
        self.cut_calls(BOTH)


if __name__ == "__main__":
    main()

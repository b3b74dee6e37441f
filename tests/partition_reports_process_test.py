#!/usr/bin/env python3
"""Partitions between daemons while backend servers, which nothing is cut off
from, report to them.  tests/relay.py is the network, tests/cluster.py says how
to run this file."""
import time

from callers import ask, engines, fleet
from cluster import ClusterTest, main, request, wait_until
from relay import BOTH, FROM, SWALLOW, TO, Relay, ways

# The longest lease of a backend server is a quarter of an order's life.  The
# entry that is cut off acknowledges for two polls and 200 ms more; then come a
# report, the failed one's pause, the next entry's poll and the voter's message
# to the leader: 3.3 s with cluster.TIMING.
TIMING = {"order_life_ms": 16000, "backend_lease_ms": 4000,
          "connect_timeout_ms": 500}
CUT_S = 8  # longer than such a lease


class PartitionedReports(ClusterTest):
    """Invariant: a backend server that runs and can reach an instance which
    reaches the voters is up there, whatever it reported to before."""

    def entries_cut_off(self, shape):
        net = Relay()
        c = fleet(self, relay=net, timing=TIMING)
        engine = engines(c, 1)[0]
        told = request(engine.address, "GET", "/fake/state").json["entry"]
        cut = [e for e in c.entries if e.callers == told]
        rest = [d for d in c.daemons.values() if d not in cut]
        others = [d for d in rest if d in c.entries]
        self.assertTrue(cut)
        self.assertTrue(others)
        net.set(SWALLOW, ways(shape, cut, rest))
        end = time.monotonic() + CUT_S
        while time.monotonic() < end:
            for d in others:
                self.assertEqual(
                    [b["name"] for b in d.status()["backends"] if b["down"]],
                    [], d.name)
            time.sleep(0.1)
        for d in others:
            self.assertEqual(ask(d.callers, "hello", 4).status, 200)
        net.heal()
        wait_until("all to serve", lambda: all(
            request(e.callers, "GET", "/healthz").status == 200
            for e in c.entries))
        self.assertTrue(engine.alive())

    def test_entries_cut_off_from_all_others(self):
        self.entries_cut_off(BOTH)

    def test_entries_that_hear_nothing(self):
        self.entries_cut_off(TO)

    def test_entries_that_are_not_heard(self):
        self.entries_cut_off(FROM)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Partitions while orders to engines are on their way.  tests/relay.py is the
network, tests/cluster.py says how to run this file."""
import time

import placement_process_test as placement
from callers import set_fault
from cluster import main, wait_until
from relay import BOTH, FROM, HOLD, SWALLOW, TO, Relay, ways

CUT_S = 4  # several election times
LIFE_MS = 12000
TRANSIT_MS = LIFE_MS // 3
# A lease is renewed by way of a voter; see cluster.TIMING.
TIMING = {"order_life_ms": LIFE_MS, "backend_lease_ms": LIFE_MS // 4,
          "connect_timeout_ms": 500}


class PartitionedOrders(placement.PlacementTest):
    """Invariant: what a leader that is cut off has ordered takes no memory
    that another counts as free, leaves no model unreachable, and changes
    nothing on an engine that checks tokens once a later one has come."""

    def cut_orders(self, mode, shape):
        net = Relay()
        c = self.begin(timing=TIMING, relay=net)
        self.submit(c, 0, placement.document("1"))
        self.wait_all(c, "1")
        c.oracle.expect(placement.MODELS)
        for e in c.engines:
            late = TRANSIT_MS - 200 if "--no-fenced" in e.command else (
                LIFE_MS)
            set_fault(e, "late_orders", ms=late)
        old = c.wait_leader()
        self.submit(c, 1, placement.document("2"))
        wait_until("an order on its way", lambda: old.dump()["placer"][
            "numbers"]["sends_open"] > 0)
        net.set(mode, ways(shape, [old], [d for d in c.daemons.values()
                                          if d is not old]))
        c.wait_leader(other_than=[old])
        for e in c.engines:
            set_fault(e, "clear")  # what came is late all the same
        self.submit(c, 2, placement.document("3"))
        time.sleep(CUT_S)
        net.heal()
        self.wait_all(c, "3")
        c.oracle.finish()

    def test_orders_of_a_leader_that_hears_nothing(self):
        self.cut_orders(SWALLOW, TO)

    def test_orders_of_a_leader_that_is_not_heard(self):
        self.cut_orders(HOLD, FROM)

    def test_orders_of_a_leader_that_is_cut_off(self):
        self.cut_orders(HOLD, BOTH)


if __name__ == "__main__":
    main()

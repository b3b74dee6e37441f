#!/usr/bin/env python3
"""Models that wait for the room of others, with real daemons and fake
engines.  tests/cluster.py says how to run this file."""
import time

import placement_process_test as placement
from cluster import main, request, wait_until

COPY_MB = placement.MODEL_MB + placement.CACHE_MB
LATE_MS = placement.TRANSIT_MS - 200  # plans are made while an order is late


class Room(placement.PlacementTest):
    """No accelerator's memory is committed beyond its size, and no model is
    given up for another, where there is hardly any room."""

    def test_late_order_keeps_its_memory(self):
        """Two models wait for the room of one; while the order to load the
        first is late, it is declared no more: its memory is not given to the
        second until the order has come and its copy has gone."""
        c = self.begin(fenced=(False,) * 3, memory_mb=COPY_MB)
        self.submit(c, 0, placement.document("1", placement.MODELS[:3]))
        self.wait_all(c, "1", placement.MODELS[:3])
        late = c.engine("late", memory_mb=COPY_MB, load_ms=300,
                        no_fenced=True)
        wait_until("the engine", lambda: placement.state(late))
        request(late.address, "POST", "/fake/fault",
                {"kind": "late_orders", "ms": LATE_MS, "count": 1})
        c.engines.append(late)
        c.kill(*c.engines[1:3])
        first = wait_until("an order on its way", lambda: [
            o["model"] for o in c.wait_leader().dump()["placer"]["orders"]
            if o["backend"] == late.name and o["state"] == "sent"])[0]
        rest = [m for m in placement.MODELS[:3] if m != first]
        self.submit(c, 1, placement.document("1", rest))
        self.wait_all(c, "1", rest)
        time.sleep(LATE_MS / 1000)  # the late order has come at the latest now
        c.oracle.finish()

    def test_version_change_where_little_room_is_left(self):
        """All engines are full but for one copy: the old version of a model
        goes only once the new one is ready."""
        c = self.begin(fenced=(True, False),
                       memory_mb=2 * COPY_MB)
        most = placement.MODELS[:3]
        self.submit(c, 0, placement.document("1", most))
        self.wait_all(c, "1", most)
        c.oracle.expect(most)
        self.submit(c, 1, placement.document("2", most))
        self.wait_all(c, "2", most)
        c.oracle.finish()


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""On the users' platform many instances together serve their callers before
plain backend servers that are full, and that bear any number of rejections, as
well as before brittle ones.  tests/cluster.py says how to run this file."""
import time

from brittle_scale_process_test import HOLD_S, Pressed
from cluster import main


class FullServers(Pressed):
    def _become_brittle(self, b):
        b.hold_s, b.places = HOLD_S, self.places

    def test_places_withdrawn_at_one_moment(self):
        self.press()
        since = time.monotonic()
        self.shorten(3)
        time.sleep(8)
        self.check(since, 0.8)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Short histories of tests/platform_soak.py: fresh ones by environment
(SOAK_SEED, SOAK_SECONDS, SOAK_PLAIN), and the seeds that have shown a fault.
tests/cluster.py says how to run this file."""
import os

from cluster import ClusterTest, main
from platform_soak import network, play

SECONDS = float(os.environ.get("SOAK_SECONDS", 12))
SEED = int(os.environ.get("SOAK_SEED", 1))


class PlatformSoak(ClusterTest):
    def play(self, seed):
        found, log = play(self.cluster(relay=network()), seed, SECONDS)
        self.assertEqual(found, [], log)

    def test_history(self):
        self.play(SEED)


if __name__ == "__main__":
    main()

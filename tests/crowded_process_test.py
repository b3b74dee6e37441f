#!/usr/bin/env python3
"""On the users' platform plain backend servers that are loaded at two thirds
serve what they did after a burst that they had to reject in part, and callers
hear in time what overloaded ones can't serve.
tests/cluster.py says how to run this file."""
import collections
import http.client
import json
import random
import sys
import threading
import time

from brittle_scale_process_test import PATIENCE_S, SERVERS, Pressed
from cluster import main, wait_until
from platform_fakes import config, route, submit

INSTANCES = 70
DISKS = 3
PLACES, QUEUE, HOLD_S = 6, 24, 0.09
BURST = 150          # requests at one moment
AGAIN_S = 1.0        # after the burst, from when on nothing is refused
PLAYED_S = 10.0      # after the burst
TARGET_S = 0.45
SERVED, IN_TARGET = 0.95, 0.5
FULL_SERVED = 0.8    # of what fits, under an overload
UNTOLD = 0.01        # of the requests under an overload
SEED = 7


class Loaded(Pressed):
    """Requests at random instances, LOADED times as many as fit."""
    options = {"plain": INSTANCES - DISKS}
    calls = (("GET", "/safe/x"), ("POST", "/unsafe/x"))
    loaded, timeout_ms = 1.0, 4000

    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)

    def _become_brittle(self, b):
        b.hold_s, b.places, b.queue = HOLD_S, PLACES, QUEUE
        b.slots = PLACES

    def _ask(self, one, call, number):
        at, rid = time.monotonic(), f"open-{one.name}-{number}"
        try:
            status = one.ask(*call, {}, rid, timeout_s=PATIENCE_S + 1).status
        except (OSError, ValueError, http.client.HTTPException):
            status = 0
        self.answers.append((at, status, time.monotonic() - at, rid))

    def _start_one(self, number):
        one = self.random.choice(self.some)
        call = self.random.choice(self.calls)
        threading.Thread(target=self._ask, args=(one, call, number),
                         daemon=True).start()

    def _arrive(self):
        number, at = 0, time.monotonic()
        per_s = SERVERS * PLACES / HOLD_S * self.loaded
        while not self._end.is_set():
            at += self.random.expovariate(per_s)
            self._end.wait(max(0, at - time.monotonic()))
            number += 1
            self._start_one(number)

    def begin(self):
        goal = {"latency_goal_ms": round(TARGET_S * 1000),
                "timeout_ms": self.timeout_ms}
        submit(self.some, config(1, [
            route("s", "/safe/", "safe", **goal),
            route("u", "/unsafe/", "unsafe", max_attempts=1, **goal)]))
        for i in range(SERVERS):
            self._add(i)
        for one in self.some:
            for b in list(self.backends):
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
            self.wait_served(one)
        threading.Thread(target=self._arrive, daemon=True).start()
        time.sleep(2)

    def _reasons(self):
        """Why instances refused requests, in the burst too."""
        found = collections.Counter()
        for one in self.some:
            for line in one.log.read_text(errors="replace").splitlines():
                if '"Refused or failed."' in line:
                    found[json.loads(line)["reason"]] += 1
        return dict(found)

    def played(self, since):
        """What was asked in PLAYED_S from SINCE on, and figures of it."""
        time.sleep(max(0, since + PLAYED_S - time.monotonic()) + PATIENCE_S)
        said = [one for one in list(self.answers)
                if since <= one[0] < since + PLAYED_S]
        good = [took for _, status, took, _ in said if status == 200]
        ran = {rid for b in self.backends for rid in b.ran}
        figures = {
            "asked": len(said), "served": round(len(good) / len(said), 3),
            "in target": round(sum(t <= TARGET_S for t in good)
                               / len(said), 3),
            "statuses": dict(collections.Counter(one[1] for one in said)),
            "rejected": [len(b.rejected_at) for b in self.backends],
            "reasons": self._reasons(),
            "answered after s": [round(sorted(good)[len(good) * q // 10], 2)
                                 for q in (1, 5, 9)],
            # Not known to be so by their callers.
            "not run": sum(status not in (200, 503) and rid not in ran
                           for _, status, _, rid in said)}
        print(self.id().rsplit(".", 1)[-1], figures, file=sys.stderr,
              flush=True)
        return said, figures


class LoadedAtTwoThirds(Loaded):
    loaded = 2 / 3

    def test_servers_are_not_starved_after_a_burst(self):
        self.begin()
        for i in range(BURST):
            self._start_one(f"burst-{i}")
        _, figures = self.played(time.monotonic() + AGAIN_S)
        self.assertGreaterEqual(figures["served"], SERVED, figures)
        self.assertGreaterEqual(figures["in target"], IN_TARGET, figures)
        self.assertNotIn(503, figures["statuses"], figures)


class Overloaded(Loaded):
    loaded, timeout_ms = 1.5, 1200

    def test_servers_serve_what_fits_and_most_of_it_in_time(self):
        self.begin()
        _, figures = self.played(time.monotonic() + AGAIN_S)
        fits = SERVERS * PLACES / HOLD_S * PLAYED_S
        self.assertGreater(figures["served"] * figures["asked"],
                           FULL_SERVED * fits, figures)
        self.assertGreater(figures["in target"] * figures["asked"],
                           IN_TARGET * fits, figures)
        self.assertLessEqual(figures["not run"],
                             UNTOLD * figures["asked"], figures)


if __name__ == "__main__":
    main()

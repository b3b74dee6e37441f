#!/usr/bin/env python3
"""On the users' platform instances that are seldom asked don't make brittle
backend servers fall over that have stated to other instances alone what they
bear.  tests/cluster.py says how to run this file."""
import collections
import http.client
import random
import sys
import threading
import time

from brittle_scale_process_test import (CONTACT_S, FALLS, FALLS_ONE_IN,
                                        PATIENCE_S, SERVERS, Pressed)
from cluster import main, wait_until
from platform_fakes import config, submit

PLACES = 1, 2, 1, 3, 1
PHASE_S = 3.0        # of each of PLACES
LEAST_USED = 0.6     # of the time of the places
SEED = 5


class SeldomAsked(Pressed):
    """Requests at random instances, so many a second of all together."""
    options = {"plain": 40}
    per_s, hold_s = 12, 1.0
    favoured = None  # share of the instances that nine of ten requests are for

    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)
        self.refused_after_s = []

    def _become_brittle(self, b):
        super()._become_brittle(b)
        b.hold_s = self.hold_s
        if self.brittle is None:
            b.falls_over = False

    def state(self, brittle):
        """The servers state from now on that they bear BRITTLE rejections a
        second, None: any number."""
        self.brittle = brittle
        for b in self.backends:
            b.brittle, b.falls_over = brittle, brittle is not None

    def _ask(self, one, number):
        at = time.monotonic()
        try:
            a = one.ask(*self.call, f"open-{one.name}-{number}",
                        timeout_s=PATIENCE_S + 1)
            status = a.status
        except (OSError, ValueError, http.client.HTTPException):
            status = 0
        self.answers.append((at, status))
        if status != 200:
            self.refused_after_s.append(time.monotonic() - at)

    def _choose(self):
        if self.favoured is None or self.random.random() > 0.9:
            return self.random.choice(self.some)
        few = max(1, int(len(self.some) * self.favoured))
        return self.some[self.random.randrange(few)]

    def _arrive(self):
        number, at = 0, time.monotonic()
        while not self._end.is_set():
            at += self.random.expovariate(self.per_s)
            self._end.wait(max(0, at - time.monotonic()))
            number += 1
            threading.Thread(target=self._ask, args=(self._choose(), number),
                             daemon=True).start()

    def begin(self):
        """All instances have had an answer of the service, which bears any
        number of rejections until now."""
        bears, self.brittle = self.brittle, None
        submit(self.some, config(1))
        for i in range(SERVERS):
            self._add(i)
        for b in self.backends:
            b.hold_s = 0.0
        for one in self.some:
            for b in list(self.backends):
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
            self.wait_served(one)
        for b in self.backends:
            b.hold_s = self.hold_s
        threading.Thread(target=self._replace, daemon=True).start()
        threading.Thread(target=self._arrive, daemon=True).start()
        time.sleep(1)
        self.state(bears)
        time.sleep(CONTACT_S)

    def knowing(self):
        return sum("bears" in one.log.read_text(errors="replace")
                   for one in self.some)

    def withdraw(self):
        since, knew = time.monotonic(), self.knowing()
        for places in PLACES:
            self.shorten(places)
            time.sleep(PHASE_S)
        end = time.monotonic()
        statuses = collections.Counter(
            s for at, s in list(self.answers) if since <= at < end)
        fits = sum(PLACES) * PHASE_S * SERVERS / self.hold_s
        ran = sum(since <= t < end for b in self.backends
                  for t in b.arrived_at)
        waits = sorted(self.refused_after_s) or [0]
        said = {"instances": len(self.some), "knew": knew,
                "falls": self.falls(), "statuses": dict(statuses),
                "ran": ran, "fits": fits,
                "refused after s": [round(waits[len(waits) * q // 10], 2)
                                    for q in (1, 5, 9)],
                "rejected": [len(b.rejected_at) for b in self.backends]}
        print(self.id().rsplit(".", 1)[-1], said, file=sys.stderr, flush=True)
        self.assertLessEqual(self.falls(), FALLS + SERVERS / FALLS_ONE_IN,
                             said)
        self.assertGreater(ran / fits, LEAST_USED, said)
        self.assertEqual(knew, len(self.some), said)

    def test_each_instance_is_seldom_asked(self):
        self.begin()
        self.withdraw()

    def _all_log(self, change, text):
        """All instances log TEXT within CONTACT_S of CHANGE ()."""
        lengths = {one: one.log.stat().st_size for one in self.some}
        change()
        end = time.monotonic() + CONTACT_S
        for one in self.some:
            wait_until(f"{one.name} to log {text!r}", lambda one=one: text
                       in one.log.read_bytes()[lengths[one]:].decode(
                           errors="replace"),
                       max(end - time.monotonic(), 0.1))

    def test_statements_that_change_are_heard_everywhere(self):
        self.begin()
        self._all_log(lambda: self.state(2), "bears 2.00 rejections")
        self._all_log(lambda: self.state(None), "bears any number")
        self._all_log(lambda: self.state(4), "bears 4.00 rejections")

    def test_limit_is_heard_everywhere(self):
        def limit(per_s):
            for b in self.backends:
                b.limit = per_s
        self.begin()
        self._all_log(lambda: limit(3), "limits its requests to 3.00")
        self._all_log(lambda: limit(None), "no longer limits")


class FewInstancesAreAsked(SeldomAsked):
    per_s, hold_s, favoured = 100, 0.1, 1 / 6

    def test_each_instance_is_seldom_asked(self):
        """Nine of ten requests are for a sixth of the instances."""
        self.begin()
        self.withdraw()


if __name__ == "__main__":
    main()

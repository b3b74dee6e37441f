#!/usr/bin/env python3
"""On the users' platform many instances together don't make brittle backend
servers fall over: ones that go down when they have to reject more requests in
a second than they name.  tests/cluster.py says how to run this file."""
import http.client
import threading
import time

from cluster import main, wait_until
from platform_fakes import config, submit
from platform_process_test import PlatformTest

INSTANCES = 28
DISKS = 3
SERVERS = 3
CALLERS = 4       # of each instance
CONTACT_S = 3.0   # after which a server may let fewer wait
DOWN_S = 2.0      # until a server that fell is back as a new process
PATIENCE_S = 4.0
HOLD_S = 0.03
FALLS, FALLS_ONE_IN = 2, 10
TALK = {"Model": "m1", "Token-Counts": "10,3", "Prompt-Prefix": "a:6,b:4"}


class Pressed(PlatformTest):
    """Callers of many instances before few servers."""
    options = {"plain": INSTANCES - DISKS}

    def setUp(self):
        super().setUp()
        self.brittle, self.places, self.started = 4, None, SERVERS - 1
        self._end = threading.Event()
        self.answers = []  # (when it was asked, status)
        self.call = "GET", "/safe/x", {}
        self.service, self.models = "app", None

    def tearDown(self):
        self._end.set()
        super().tearDown()

    def falls(self):
        return sum(b.fell for b in self.backends)

    def shorten(self, places):
        self.places = places
        for b in self.backends:
            b.places = places

    def _replace(self):
        """Starts a server DOWN_S after one has fallen over, as a new process
        that is as brittle and has as few places."""
        replaced = set()
        while not self._end.wait(0.05):
            for b in list(self.backends):
                if b.crashed and b.name not in replaced:
                    replaced.add(b.name)
                    threading.Timer(DOWN_S, self._start).start()

    def _start(self):
        if self._end.is_set():
            return
        self.started += 1
        self._add(self.started)

    def _add(self, number):
        self._become_brittle(self.backend(f"s-{number}", self.service,
                                          models=self.models))

    def _become_brittle(self, b):
        b.hold_s, b.brittle, b.places = HOLD_S, self.brittle, self.places
        b.falls_over = True

    def _call(self, one, i):
        n = 0
        while not self._end.is_set():
            n += 1
            at = time.monotonic()
            try:
                a = one.ask(*self.call, f"{one.name}-{i}-{n}",
                            timeout_s=PATIENCE_S)
                self.answers.append((at, a.status))
                self._end.wait(max(0.1, min(float(
                    a.headers.get("retry-after", 0)), PATIENCE_S / 3)))
            except (OSError, ValueError, http.client.HTTPException):
                self.answers.append((at, 0))

    def press(self):
        """Callers of all instances, until the test ends."""
        submit(self.some, config(1, models=["m1"]))
        for i in range(SERVERS):
            self._add(i)
        for one in self.some:
            for b in list(self.backends):
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        threading.Thread(target=self._replace, daemon=True).start()
        for one in self.some:
            for i in range(CALLERS):
                threading.Thread(target=self._call, args=(one, i),
                                 daemon=True).start()
        time.sleep(CONTACT_S)

    def check(self, since, least, killed=False):
        """Few falls since SINCE, and the share LEAST served; KILLED: of those
        that had a connection to an instance to its end."""
        end = time.monotonic()
        statuses = [s for at, s in self.answers if since <= at < end
                    and not (killed and s == 0)]
        served = statuses.count(200) / max(len(statuses), 1)
        said = {"falls": self.falls(), "asked": len(statuses),
                "served": round(served, 2),
                "rejected": [len(b.rejected_at) for b in self.backends]}
        print(self.id().rsplit(".", 1)[-1], said, flush=True)
        self.assertLessEqual(self.falls(), FALLS + SERVERS / FALLS_ONE_IN,
                             said)
        self.assertGreater(served, least, said)
        # No request is to blame for a server that falls over.
        logs = [one.log.read_text(errors="replace") for one in self.some]
        self.assertFalse(any('"reason":"convicted"' in text for text in logs))


class ManyInstances(Pressed):
    def test_places_withdrawn_at_one_moment(self):
        self.press()
        since = time.monotonic()
        self.shorten(3)
        time.sleep(8)
        self.check(since, 0.8)

    def test_places_withdrawn_again_and_again(self):
        self.press()
        since = time.monotonic()
        for places in 6, 3, 5, 2, 6, 2:
            self.shorten(places)
            time.sleep(2)
        self.check(since, 0.8)

    def test_new_processes_of_a_brittle_service(self):
        self.press()
        self.shorten(3)
        time.sleep(1)
        before = self.falls()
        for b in list(self.backends):
            if not b.crashed:
                b.crash()
        wait_until("servers to be back", lambda: sum(
            not b.crashed for b in self.backends) >= SERVERS)
        since = time.monotonic()
        time.sleep(6)
        self.assertLessEqual(self.falls() - before,
                             FALLS + SERVERS / FALLS_ONE_IN)
        self.check(since + 1, 0.8)

    def test_fewest_rejections_that_servers_name(self):
        self.brittle = 1
        self.press()
        since = time.monotonic()
        self.shorten(3)
        time.sleep(8)
        self.check(since, 0.8)

    def test_requests_that_run_once_only(self):
        self.call = "POST", "/unsafe/x", {}
        self.press()
        since = time.monotonic()
        self.shorten(3)
        time.sleep(6)
        self.check(since, 0.8)
        # Those of the callers, whose ids have three parts or more.
        ran = [i for b in self.backends for i in b.ran if i.count("-") > 1]
        self.assertEqual(len(ran), len(set(ran)))

    def test_instances_are_killed_one_after_the_other(self):
        self.press()
        since = time.monotonic()
        self.shorten(3)
        for one in self.some[DISKS:]:
            one.kill()
            time.sleep(0.3)
            one.start()
        time.sleep(1)
        self.check(since, 0.8, killed=True)

    def test_instances_are_killed_at_one_moment_again_and_again(self):
        """Those that are back have had no answer of the service yet."""
        self.press()
        self.shorten(3)
        since = time.monotonic()
        for _ in range(3):
            self.c.kill(*self.some[DISKS:])
            for one in self.some[DISKS:]:
                one.start()
            time.sleep(4)
        self.check(since, 0.8, killed=True)

    def stream(self):
        self.call = "POST", "/talk/x", TALK
        self.service, self.models = "llm", ["m1"]

    def test_engines_with_fewer_places(self):
        self.stream()
        self.press()
        since = time.monotonic()
        self.shorten(4)
        time.sleep(8)
        self.check(since, 0.8)

    def test_engines_with_fewer_places_again_and_again(self):
        self.stream()
        self.brittle = 10
        self.press()
        since = time.monotonic()
        for places in 8, 4, 6, 3:
            self.shorten(places)
            time.sleep(2)
        self.check(since, 0.8)


if __name__ == "__main__":
    main()

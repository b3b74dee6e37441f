#!/usr/bin/env python3
"""What the way by a brittle backend server's owner costs callers when the
owner lags, is silent, or draws another service of a split route.
tests/cluster.py says how to run this file."""
import http.client
import threading
import time

from cluster import main
from platform_fakes import config, route, submit
from platform_process_test import PlatformTest

CALLERS = 2  # of each instance
PAUSE_S = 0.05
DEADLINE_MS = 2000


class Owner(PlatformTest):
    options = {"plain": 5, "cuttable": True}

    def setUp(self):
        super().setUp()
        self.answers = []  # (instance, path, status)
        self._end = threading.Event()

    def tearDown(self):
        self._end.set()
        super().tearDown()

    def of_the_servers_zone(self):
        """Those among which the servers' owners are, but for one with a
        disk."""
        return [one for one in self.some[3:] if one.zone == "a"]

    def make_brittle(self, n, servers=None):
        for b in servers or self.backends:
            b.brittle = n
        for one in self.some:  # each learns it
            for i in range(10):
                one.ask("GET", "/safe/x", rid=f"learn-{one.name}-{i}")

    def call_until_end(self, some, path, method="GET"):
        def run(one, i):
            n = 0
            while not self._end.is_set():
                n += 1
                try:
                    status = one.ask(
                        method, path, {"Deadline-Ms": str(DEADLINE_MS)},
                        f"c-{one.name}-{i}-{n}").status
                except (OSError, http.client.HTTPException):
                    status = 0
                self.answers.append((one.name, path, status))
                time.sleep(PAUSE_S)
        for one in some:
            for i in range(CALLERS):
                threading.Thread(target=run, args=(one, i),
                                 daemon=True).start()

    def said(self):
        statuses = [s for _, _, s in self.answers]
        count = {s: statuses.count(s) for s in sorted(set(statuses))}
        print(self.id().rsplit(".", 1)[-1], count, flush=True)
        return count

    def split(self, brittle):
        wanted = config(1, routes=[
            {**route("s", "/safe/", "safe"),
             "split": [{"service": "app", "weight": 50},
                       {"service": "canary", "weight": 50}]}])
        wanted["services"].append({"name": "canary", "health_path": "/health",
                                   "max_conns": 100})
        submit(self.some, wanted)
        for i in range(2):
            self.backend(f"k-{i}", "canary")
        self.serving(wanted)
        if brittle:
            self.make_brittle(10)
        self.call_until_end(self.some, "/safe/x")
        time.sleep(4)
        self._end.set()
        count = self.said()
        self.assertGreater(count.get(200, 0), 0.99 * len(self.answers), count)

    def test_split_route_as_before(self):
        self.split(False)

    def test_split_route_to_brittle_services(self):
        self.split(True)

    def lag(self, brittle):
        """An instance that was silent for a moment has an older config when it
        goes on; the others must not answer 404 for it."""
        self.serving()
        if brittle:
            self.make_brittle(10)
        rest = self.of_the_servers_zone()
        others = [one for one in self.some if one not in rest]
        for one in rest:
            one.stop()
        at = time.monotonic()
        threading.Thread(target=submit, daemon=True, args=(
            others, config(2, [route("s", "/safe/", "safe"),
                               route("n", "/new/", "safe")]))).start()
        for one in others:
            self.wait_version_2(one)
        print(f"known to others after {time.monotonic() - at:.2f} s")
        self.call_until_end(others, "/new/x")
        time.sleep(0.3)
        for one in rest:
            one.cont()
        time.sleep(4)
        self._end.set()
        count = self.said()
        self.assertEqual(count.get(404, 0), 0, count)

    @staticmethod
    def wait_version_2(one):
        end = time.monotonic() + 2
        while time.monotonic() < end:
            if one.get_config()[1] and one.get_config()[1]["version"] == 2:
                return
            time.sleep(0.02)

    def test_new_route_as_before(self):
        self.lag(False)

    def test_new_route_and_owners_with_an_older_config(self):
        self.lag(True)

    def slow(self, brittle):
        """As lag, but some take a second longer to load a large config."""
        rest = [one for one in self.some[3:] if one.zone == "a"]
        for one in rest:
            one.kill()
            one.slow_json(1000)
            one.start()
        self.serving()
        if brittle:
            self.make_brittle(10)
        others = [one for one in self.some if one not in rest]
        routes = [route("s", "/safe/", "safe"), route("n", "/new/", "safe")]
        routes += [route(f"r{i}", f"/r{i}/{'x' * 100}/", "safe")
                   for i in range(400)]
        threading.Thread(target=submit, daemon=True, args=(
            others, config(2, routes))).start()
        for one in others:
            self.wait_version_2(one)
        self.call_until_end(others, "/new/x")
        time.sleep(4)
        self._end.set()
        count = self.said()
        self.assertEqual(count.get(404, 0), 0, count)

    def test_new_route_of_a_large_config_as_before(self):
        self.slow(False)

    def test_new_route_of_a_large_config_that_owners_load_late(self):
        self.slow(True)

    def one_left(self, brittle):
        """One instance reaches the servers, and all the others none."""
        self.serving(plain=3)
        if brittle:
            self.make_brittle(10)
        left = self.some[1]
        for one in self.some:
            if one is not left:
                one.cut_servers("refuse")
        self.call_until_end(self.some, "/safe/x")
        time.sleep(3)
        self.answers.clear()
        time.sleep(4)
        self._end.set()
        self.answers = [a for a in self.answers if a[0] == left.name]
        count = self.said()
        self.assertGreater(count.get(200, 0), 0.95 * len(self.answers), count)

    def resting(self, brittle):
        """Two of three servers ask for no requests for a while."""
        self.serving(plain=3)
        if brittle:
            self.make_brittle(10)
        for b in self.backends[:2]:
            b.rest_s = 3
        self.call_until_end(self.some, "/safe/x")
        time.sleep(6)
        self._end.set()
        count = self.said()
        print("refusals", [len(b.refused_at) for b in self.backends])
        self.assertGreater(count.get(200, 0), 0.95 * len(self.answers), count)

    def test_resting_servers_as_before(self):
        self.resting(False)

    def test_resting_servers(self):
        self.resting(True)

    def silent(self, brittle, method="GET", path="/safe/x"):
        self.serving(plain=3)
        if brittle:
            self.make_brittle(10)
        quiet = self.of_the_servers_zone()
        others = [one for one in self.some if one not in quiet]
        self.call_until_end(others, path, method)
        time.sleep(1)
        self.said()
        before = len(self.answers)
        for one in quiet:
            one.stop()
        time.sleep(6)
        for one in quiet:
            one.cont()
        time.sleep(DEADLINE_MS / 1000)
        self._end.set()
        self.answers = self.answers[before:]
        count = self.said()
        self.assertGreater(count.get(200, 0), 0.95 * len(self.answers), count)

    def test_silent_instances_as_before(self):
        self.silent(False)

    def test_silent_owners(self):
        self.silent(True)

    def test_silent_owners_of_requests_that_run_once(self):
        self.silent(True, "POST", "/unsafe/x")

    def test_one_left_as_before(self):
        self.one_left(False)

    def test_one_left(self):
        self.one_left(True)


if __name__ == "__main__":
    main()

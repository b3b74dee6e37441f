#!/usr/bin/env python3
"""On the users' platform all instances together don't press a brittle backend
server: one that falls over if it has to reject more requests in a second than
it names.  tests/cluster.py says how to run this file."""
import http.client
import threading
import time

from cluster import main, wait_until
from platform_fakes import config
from platform_process_test import PlatformTest

CONTACT_S = 3.0   # after which a server may let fewer wait
PRESSED_S = 8.0
WINDOW_S = 1.0
CALLERS = 6       # of each instance
PATIENCE_S = 4.0
FALLS, FALLS_ONE_IN = 2, 10
TALK = {"Model": "m1", "Token-Counts": "10,3", "Prompt-Prefix": "a:6,b:4"}


class Brittle(PlatformTest):
    options = {"plain": 25}

    def press(self, method, path, headers, seconds):
        """Requests through all instances, several at a time; the share that
        was answered."""
        end, statuses, threads = time.monotonic() + seconds, [], []

        def run(one, i):
            n = 0
            while time.monotonic() < end:
                n += 1
                try:
                    a = one.ask(method, path, headers, f"{one.name}-{i}-{n}")
                    statuses.append(a.status)
                    # Callers come back when they are told to, at most after a
                    # third of their time.
                    time.sleep(min(float(a.headers.get("retry-after", 0)),
                                   PATIENCE_S / 3))
                except (OSError, ValueError, http.client.HTTPException):
                    statuses.append(0)  # broke off, as at its deadline
        for one in self.some:
            for i in range(CALLERS):
                threads.append(threading.Thread(target=run, args=(one, i)))
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return statuses.count(200) / len(statuses)

    @staticmethod
    def falls(server, since):
        """Seconds, none of them overlapping, in which it rejected more than it
        bears."""
        at = [t for t in server.rejected_at if t >= since]
        n, i = 0, 0
        while i < len(at):
            inside = [t for t in at[i:] if t < at[i] + WINDOW_S]
            if len(inside) > server.brittle:
                n += 1
                i += len(inside)
            else:
                i += 1
        return n

    def check(self, servers, places, method, path, headers):
        for s in servers:
            s.brittle = 4
            s.hold_s = 0.05
        self.press(method, path, headers, CONTACT_S)
        since = time.monotonic()
        for s in servers:
            s.places = places
        served = self.press(method, path, headers, PRESSED_S)
        falls = sum(self.falls(s, since) for s in servers)
        self.assertLessEqual(falls, FALLS + len(servers) / FALLS_ONE_IN,
                             [len(s.rejected_at) for s in servers])
        # It still works as much as it can.
        for s in servers:
            ran = len([t for t in s.arrived_at if t >= since])
            self.assertGreater(ran, PRESSED_S / s.hold_s / 4, s.name)
            s.brittle = s.places = None
        self.assertGreater(served, 0.2)

    def test_brittle_plain_server_is_not_pressed(self):
        self.serving(config(1, models=["m1"]))
        self.check(self.backends, 3, "GET", "/safe/x", {})

    def test_brittle_engine_is_not_pressed(self):
        self.serving(config(1, models=["m1"]))
        engines = [self.backend(f"g-{i}", "llm", models=["m1"])
                   for i in range(2)]
        for one in self.some:
            wait_until(f"{one.name} to serve streams", lambda one=one: one.ask(
                "POST", "/talk/x", TALK, "first").status == 200)
        # As many as it runs at once: it lets none wait.
        self.check(engines, 8, "POST", "/talk/x", TALK)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""On the users' platform all instances together send a backend server no more
than the limit that it names.  tests/cluster.py says how to run this file."""
import http.client
import threading
import time

from cluster import main, wait_until
from platform_fakes import config, submit
from platform_process_test import PlatformTest

CONTACT_S = 3.0   # after which a limit holds
WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5
CALLERS = 2       # of each instance
PAUSE_S = 0.02


class Callers:
    """Sends requests through all instances until stopped; `answers` holds
    the times and the answers, None where one broke off."""

    def __init__(self, some, path="/safe/x", headers=None):
        self._end, self.answers = threading.Event(), []
        self._threads = [
            threading.Thread(target=self._run, args=(one, path, headers, i),
                             daemon=True)
            for one in some for i in range(CALLERS)]
        for t in self._threads:
            t.start()

    def _run(self, one, path, headers, i):
        n = 0
        while not self._end.wait(PAUSE_S):
            n += 1
            try:
                a = one.ask("POST" if headers else "GET", path, headers,
                            f"{one.name}-{i}-{n}", body=f"{one.name} {i} {n}"
                            if headers else None)
            except (OSError, http.client.HTTPException):
                a = None
            self.answers.append((time.monotonic(), a))

    def finish(self):
        self._end.set()
        for t in self._threads:
            t.join()
        return [a for _, a in self.answers]


class ServerLimit(PlatformTest):
    def most(self, server, since):
        """The most requests in a window that began at SINCE or later."""
        at = [t for t in server.arrived_at if t >= since]
        return max((sum(a <= b < a + WINDOW_S for b in at) for a in at),
                   default=0)

    def check_limit(self, server, since):
        self.assertLessEqual(self.most(server, since),
                             OVERAGE * WINDOW_S * server.limit + SLACK)

    def limited(self, server, limit):
        """SERVER names LIMIT from now on; when that must be in force."""
        server.limit = limit
        return time.monotonic() + CONTACT_S

    def test_limit_holds_over_all_instances(self):
        self.serving()
        needy, other = self.backends
        other.hold_s = 0.01
        callers = Callers(self.some)
        since = self.limited(needy, 1)
        time.sleep(CONTACT_S + 3 * WINDOW_S)
        answers = callers.finish()
        self.check_limit(needy, since)
        # It isn't starved, and nobody is worse off.
        after = sum(t >= since for t in needy.arrived_at)
        self.assertGreaterEqual(after, 3 * WINDOW_S * needy.limit / 2)
        self.assertEqual({a.status for a in answers if a}, {200})

    def test_limit_of_the_only_server(self):
        self.serving(plain=1)
        needy = self.backends[0]
        since = self.limited(needy, 3)
        callers = Callers(self.some)
        time.sleep(CONTACT_S + 2 * WINDOW_S)
        answers = callers.finish()
        self.check_limit(needy, since)
        after = sum(t >= since for t in needy.arrived_at)
        self.assertGreaterEqual(after, 2 * WINDOW_S * needy.limit / 2)
        refused = [a for a in answers if a and a.status != 200]
        self.assertEqual({a.status for a in refused}, {503})
        self.assertTrue(all("retry-after" in a.headers for a in refused))

    def test_limit_of_an_engine(self):
        engine = self.backend("g-0", "llm", models=["m1"])
        submit(self.some, config(1, models=["m1"]))
        head = {"Model": "m1", "Token-Counts": "100,10"}
        for one in self.some:
            wait_until(f"{one.name} to serve", lambda one=one: one.ask(
                "POST", "/talk/x", head).status == 200)
        since = self.limited(engine, 2)
        callers = Callers(self.some, "/talk/x", head)
        time.sleep(CONTACT_S + 2 * WINDOW_S)
        callers.finish()
        self.check_limit(engine, since)

    def test_limit_ends_with_an_answer_that_names_none(self):
        self.serving()
        needy, other = self.backends
        other.hold_s = 0.1
        callers = Callers(self.some)
        self.limited(needy, 1)
        time.sleep(CONTACT_S)
        needy.limit = None
        time.sleep(CONTACT_S)
        callers.finish()
        # Four instances, each of which must hear it from an answer of its own.
        self.assertGreater(self.most(needy, 0), 5 * WINDOW_S)
        last = max(needy.arrived_at)
        self.assertGreater(sum(t > last - 1 for t in needy.arrived_at), 10)

    def test_limit_holds_while_the_leader_is_lost(self):
        self.serving()
        needy, other = self.backends
        other.hold_s = 0.01
        callers = Callers(self.some)
        since = self.limited(needy, 1)
        time.sleep(CONTACT_S + 1)
        self.leader().kill()
        time.sleep(3 * WINDOW_S)
        callers.finish()
        self.check_limit(needy, since)
        end = max(t for t, _ in callers.answers)
        self.assertGreater(sum(t > end - WINDOW_S for t in needy.arrived_at),
                           0)


if __name__ == "__main__":
    main()

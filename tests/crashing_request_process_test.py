#!/usr/bin/env python3
"""On the users' platform a request that crashes what runs it is refused after
three crashes, and nothing else is.  tests/cluster.py says how to run this
file."""
import http.client
import json
import threading
import time

from cluster import main, wait_until
from platform_fakes import config, submit
from platform_process_test import PlatformTest
from server_limit_process_test import Callers

ENGINES = 6
RESENDS = 16
CRASHES_MAX = 3  # the users' rule allows no more before the limit applies
APART_S = 0.35
RESTART_S = 1.0
HEADERS = {"Model": "m1", "Token-Counts": "100,10"}
POISON = b"crash whoever runs this"
REFUSAL = b"has crashed backend servers"


class Innocents(threading.Thread):
    """A caller of requests that crash nothing, each of other content."""

    def __init__(self, test, one, n):
        super().__init__(daemon=True)
        self._test, self._one, self._n = test, one, n
        self._end, self.answers = threading.Event(), []
        self.start()

    def run(self):
        i = 0
        while not self._end.is_set():
            self.answers.append(self._test.talk(
                self._one, f"innocent {self._n} {i}", f"n{self._n}-{i}"))
            i += 1

    def finish(self):
        self._end.set()
        self.join()
        return self.answers


class PopularRequest(PlatformTest):
    """Requests of equal content, sent by many callers at the same time."""
    CRASHES = 5

    def test_crashes_of_others_do_not_convict_it(self):
        self.serving(plain=4)
        for b in self.backends:
            b.hold_s = 0.05
        callers = Callers(self.some)
        for i in range(self.CRASHES):
            time.sleep(0.8)
            self.backends[i].crash()
            self.backend(f"i-{4 + i}", "app").hold_s = 0.05
        time.sleep(RESTART_S)
        settled = time.monotonic()
        time.sleep(2)
        end = time.monotonic()
        answers = callers.finish()
        self.assertEqual([a for a in answers if a and REFUSAL in a.body], [])
        later = [a for at, a in callers.answers if settled < at < end]
        self.assertEqual({a.status if a else None for a in later}, {200})
        # A run that is complete has crashed nothing, whatever ended beside it.
        logs = [one.log.read_text(errors="replace") for one in self.some]
        self.assertTrue(any("Proposing a strike" in text for text in logs))
        self.assertTrue(any("lifting its strikes" in text for text in logs))


class CrashingRequest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.started = 0
        self._stop = threading.Event()
        for _ in range(ENGINES):
            self.engine()
        submit(self.some, config(1, models=["m1"]))
        for one in self.some:
            for b in list(self.backends):
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        self._supervisor = threading.Thread(target=self._supervise,
                                            daemon=True)
        self._supervisor.start()

    def tearDown(self):
        self._stop.set()
        self._supervisor.join()
        super().tearDown()

    def engine(self):
        b = self.backend(f"g-{self.started}", "llm", models=["m1"])
        self.started += 1
        b.crash_on, b.hold_s = POISON, 0.02

    def _supervise(self):
        """Starts an engine for each that has crashed, under another name at
        another address."""
        replaced = 0
        while not self._stop.wait(RESTART_S):
            while replaced < self.crashes():
                self.engine()
                replaced += 1

    def crashes(self):
        return sum(b.crashed for b in self.backends)

    @staticmethod
    def talk(one, content, rid):
        """The status and head of the answer; None where it broke off."""
        try:
            return one.ask("POST", "/talk/x", HEADERS, rid,
                           body=content.encode())
        except (OSError, http.client.HTTPException):
            return None

    def resend(self, times):
        answers = []
        for i in range(times):
            answers.append(self.talk(self.some[i % len(self.some)],
                                     POISON.decode(), f"p{i}"))
            time.sleep(APART_S)
        return answers

    def test_resent_through_all_instances_beside_others(self):
        others = [Innocents(self, one, i) for i, one in enumerate(self.some)]
        answers = self.resend(RESENDS)
        told = [a for o in others for a in o.finish()]
        self.assertLessEqual(self.crashes(), CRASHES_MAX)
        self.assertEqual(answers[-1].status, 503)
        self.assertIn(REFUSAL, answers[-1].body)
        self.assertIn("retry-after", answers[-1].headers)
        ran = [i for b in self.backends for i in b.ran]
        self.assertNotIn(f"p{RESENDS - 1}", ran)
        self.assertGreater(len(told), RESENDS)
        # Others may break off with a crash, but none is taken for its cause.
        self.assertEqual([a for a in told if a is not None
                          and REFUSAL in a.body], [])
        for o in others:
            later = o.answers[len(o.answers) // 2:]
            self.assertEqual([a for a in later
                              if a is None or a.status != 200], [])

    def test_log_names_the_content_that_is_isolated_and_refused(self):
        self.resend(RESENDS // 2)
        lines = [json.loads(line) for one in self.some
                 for line in one.log.read_text(errors="replace").splitlines()
                 if '"fingerprint"' in line]
        standings = [(x["fingerprint"], x["now"]) for x in lines
                     if x["message"] == "A request changed its standing."]
        refused = {x["fingerprint"] for x in lines
                   if x["message"] == "Refuses a convicted request."}
        self.assertEqual(len(refused), 1, refused)
        content = refused.pop()
        for now in "isolated", "convicted":
            self.assertIn((content, now), standings)

    def test_conviction_outlives_the_restart_of_all_instances(self):
        self.resend(len(self.some))
        before = self.crashes()
        self.assertLessEqual(before, CRASHES_MAX)
        self.c.kill(*self.some)
        for one in self.some:
            one.values["bootstrap"] = False
            one.start()
        for i, one in enumerate(self.some):
            wait_until(f"{one.name} to serve", lambda one=one: getattr(
                self.talk(one, "after", "after"), "status", 0) == 200)
            self.assertEqual(self.talk(one, POISON.decode(), f"q{i}").status,
                             503)
        self.assertEqual(self.crashes(), before)


class RelayedCrashingRequest(PlatformTest):
    """A crashing request at an instance that reaches no backend server."""
    options = {"plain": 4, "cuttable": True}
    ATTEMPTS = 2  # of its route

    def test_one_try_runs_at_no_more_servers_than_its_route_allows(self):
        for i in range(ENGINES):
            b = self.backend(f"g-{i}", "llm", models=["m1"])
            b.crash_on, b.hold_s = POISON, 0.02
        submit(self.some, config(1, models=["m1"]))
        for one in self.some:
            for b in self.backends:
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        cut = self.some[3]
        cut.cut_servers("refuse")
        CrashingRequest.talk(cut, POISON.decode(), "p0")
        time.sleep(RESTART_S)
        ran = sum(b.ran.count("p0") for b in self.backends)
        self.assertGreater(ran, 0)
        self.assertLessEqual(ran, self.ATTEMPTS)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Instances that reach no backend server, while callers and the other
instances reach them.  tests/cluster.py says how to run this file."""
import threading
import time

from cluster import main, wait_until
from platform_fakes import config
from platform_process_test import PlatformTest

CONTACT_S = 3.0
ASKED_S = 5.0
PAUSE_S = 0.05
ALLOWED = 10       # requests that may fail in any case, and one in:
ALLOWED_ONE_IN = 50
BACK_S = 3.0
KINDS = (("GET", "/safe/x", {}), ("POST", "/unsafe/x", {}),
         ("POST", "/talk/x", {"Model": "m1", "Token-Counts": "10,3",
                              "Prompt-Prefix": "a:6,b:4"}))


class CutOff(PlatformTest):
    """Invariant: callers of instances that reach no backend server are served
    like those of the others."""
    options = {"plain": 5, "cuttable": True}

    def setUp(self):
        super().setUp()
        self.serving(config(1, models=["m1"]))
        for i in range(2):
            self.backend(f"g-{i}", "llm", models=["m1"])
        for one in self.some:
            wait_until(f"{one.name} to serve streams", lambda one=one: self.ask(
                one, KINDS[2], f"first-{one.name}") == 200)

    @staticmethod
    def ask(one, kind, rid):
        method, path, headers = kind
        try:
            return one.ask(method, path, {"Deadline-Ms": "4000", **headers},
                           f"{path.split('/')[1]}-{rid}").status
        except OSError:
            return 0

    def served(self, some, label):
        """First tries at each of SOME for a while: (served, all)."""
        statuses, threads = [], []

        def callers(one):
            n, end = 0, time.monotonic() + ASKED_S
            while time.monotonic() < end:
                n += 1
                statuses.append(self.ask(one, KINDS[n % len(KINDS)],
                                         f"{label}-{one.name}-{n}"))
                time.sleep(PAUSE_S)
        for one in some:
            threads.append(threading.Thread(target=callers, args=(one,)))
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return statuses.count(200), len(statuses)

    def cut_some(self, how):
        # A voter among them, and most of the instances.
        cut = self.some[2:7]
        rest = [one for one in self.some if one not in cut]
        for one in cut:
            one.cut_servers(how)
        end, n = time.monotonic() + CONTACT_S, 0
        while time.monotonic() < end:
            for one in cut:
                n += 1
                self.ask(one, KINDS[n % len(KINDS)], f"early-{one.name}-{n}")
        good, all_ = self.served(cut, "cut")
        good_rest, all_rest = self.served(rest, "rest")
        self.assertGreater(good_rest, 0)
        self.assertGreaterEqual(3 * good * all_rest, 2 * good_rest * all_)
        self.assertLessEqual(all_ - good,
                             ALLOWED + (all_ + all_rest) / ALLOWED_ONE_IN)
        for one in cut:
            one.cut_servers(None)
        time.sleep(BACK_S)
        good, all_ = self.served(cut, "back")
        self.assertEqual(good, all_)
        ran = [rid for b in self.backends for rid in b.ran
               if rid.startswith("unsafe-")]
        self.assertGreater(len(ran), 0)
        self.assertEqual(len(ran), len(set(ran)), "ran twice")

    def test_backend_servers_stay_up_while_the_leader_and_others_are_cut_off(
            self):
        """What cut off instances see of backend servers is no crash."""
        leader = self.leader()
        cut = [leader] + [one for one in self.some[3:6]]
        for one in cut:
            one.cut_servers("refuse")
        end, n = time.monotonic() + CONTACT_S, 0
        while time.monotonic() < end:
            for one in cut:
                n += 1
                self.ask(one, KINDS[n % len(KINDS)], f"cut-{one.name}-{n}")
        for one in cut:
            one.cut_servers(None)
        down = [line for one in self.some
                for line in one.log.read_text(errors="replace").splitlines()
                if "refuses connections from this instance" in line
                or "it has crashed" in line]
        self.assertEqual(down, [])

    def test_callers_are_served_while_connections_are_refused(self):
        self.cut_some("refuse")

    def test_callers_are_served_while_connections_hang(self):
        self.cut_some("hang")


if __name__ == "__main__":
    main()

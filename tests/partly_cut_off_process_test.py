#!/usr/bin/env python3
"""Instances that lose their way to a part of the backend servers, which go on
running and serve the other instances.  tests/cluster.py says how to run this
file."""
import http.client
import threading
import time

from cluster import main, wait_until
from cut_off_process_test import KINDS
from platform_fakes import config
from platform_process_test import PlatformTest

SERVERS = 4        # of each service
EVENTS, EVENT_S = 8, 0.05
HOLD_S = 0.1
CALLERS = 3        # at a time, at each instance
UNDER_WAY_S = 1.0  # before a cut
CUT_S = 3.0
CUTS = 2
PAUSE_S = 0.02
CRASHING = b"crash whoever runs this"


class PartlyCutOffTest(PlatformTest):
    """Callers of instances of which some are cut off from some backend
    servers."""
    options = {"plain": 5, "cuttable": True}

    def setUp(self):
        super().setUp()
        self.serving(config(1, models=["m1"]), plain=SERVERS)
        for i in range(SERVERS):
            b = self.backend(f"g-{i}", "llm", models=["m1"])
            b.events, b.event_s = EVENTS, EVENT_S
        for b in self.backends:
            b.hold_s = HOLD_S if b.models is None else 0.0
        for one in self.some:
            for b in self.backends:
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        self._end = threading.Event()
        self.cut_at = []  # when cuts began
        self.asked = {one.name: [] for one in self.some}  # (begun, id, status)
        self._threads = [threading.Thread(target=self.call, args=(one, n))
                         for one in self.some for n in range(CALLERS)]

    def call(self, one, n):
        """Requests of different content, one after the other."""
        i = 0
        while not self._end.is_set():
            i += 1
            method, path, headers = KINDS[(n + i) % len(KINDS)]
            rid = f"{path.split('/')[1]}-{one.name}-{n}-{i}"
            begun = time.monotonic()
            try:
                status = one.ask(method, path,
                                 {"Deadline-Ms": "4000", **headers}, rid,
                                 body=rid.encode()).status
            except (OSError, http.client.HTTPException):
                status = 0
            self.asked[one.name].append((begun, rid, status))
            time.sleep(PAUSE_S)

    def most_of_each_service(self, i):
        """All servers of each service but one, another one for each I."""
        return [b for j, b in enumerate(self.backends)
                if j % SERVERS != i % SERVERS]

    def cut_parts(self, cut, lost=None, meanwhile=lambda: None):
        """Cuts each of CUT off from the servers that LOST returns, given a
        number, while callers ask all instances."""
        lost = lost or self.most_of_each_service
        for t in self._threads:
            t.start()
        for n in range(CUTS):
            time.sleep(UNDER_WAY_S)
            self.cut_at.append(time.monotonic())
            for i, one in enumerate(cut):
                one.cut_servers("break", [b.address.split(":")[0]
                                          for b in lost(i + n)])
            meanwhile()
            time.sleep(CUT_S)
            for one in cut:
                one.cut_servers(None)
        time.sleep(UNDER_WAY_S)
        self._end.set()
        for t in self._threads:
            t.join()

    def lines(self, part):
        return [line for one in self.some
                for line in one.log.read_text(errors="replace").splitlines()
                if part in line]


class PartlyCutOff(PartlyCutOffTest):
    """Invariant: what an instance sees that is cut off from some backend
    servers is taken for no crash."""

    def check_nothing_crashed(self):
        down = [line for line in self.lines("Backend server changed state.")
                if '"now":"down"' in line]
        seen = {"strikes": self.lines("Proposing a strike"),
                "crashes": self.lines("it has crashed"), "down": down}
        self.assertEqual({k: len(v) for k, v in seen.items()},
                         dict.fromkeys(seen, 0), seen)

    def test_running_servers_are_not_taken_for_crashed(self):
        leader = self.leader()
        self.cut_parts([one for one in self.some if one != leader][-3:])
        self.check_nothing_crashed()

    def test_running_servers_are_not_taken_for_crashed_by_a_cut_off_leader(
            self):
        leader = self.leader()
        others = [one for one in self.some if one != leader]
        self.cut_parts([leader, *others[-2:]])
        self.check_nothing_crashed()

    def test_crash_is_told_from_the_cut(self):
        """A server crashes at another instance, which reaches all others."""
        cut, others = self.some[-3:], self.some[:-3]
        for b in self.backends:
            b.crash_on = CRASHING if b.models is not None else None

        def crash():
            method, path, headers = KINDS[2]
            try:
                others[0].ask(method, path, headers, "crashing",
                              body=CRASHING)
            except (OSError, http.client.HTTPException):
                pass  # it breaks off
        self.cut_parts(cut, meanwhile=crash)
        struck = {line.split(" backend server ")[1].split(".")[0]
                  for line in self.lines("Proposing a strike")}
        crashed = {b.name for b in self.backends if b.crashed}
        self.assertGreater(len(crashed), 0)
        self.assertEqual(struck, crashed)


if __name__ == "__main__":
    main()

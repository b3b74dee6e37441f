#!/usr/bin/env python3
"""Faults on the way by a brittle backend server's owner: owners that are
killed or cut off, callers that leave.  tests/cluster.py says how to run this
file."""
import http.client
import socket
import threading
import time

from cluster import main, wait_until
from cut_off_process_test import CutOff, KINDS
from platform_fakes import HOST, config
from platform_process_test import PlatformTest

NOT_RUN = 408, 421, 429, 503
TALK = KINDS[2][2]


class Faults(PlatformTest):
    options = {"plain": 5}

    def serve(self):
        self.serving(config(1, models=["m1"]), plain=3)
        for i in range(2):
            self.backend(f"g-{i}", "llm", models=["m1"])
        for one in self.some:
            wait_until(f"{one.name} to serve streams", lambda one=one: one.ask(
                "POST", "/talk/x", TALK, "first").status == 200)
        for b in self.backends:
            b.brittle = 10
        for one in self.some:
            for i in range(8):
                one.ask("GET", "/safe/x", rid=f"l-{one.name}-{i}")
                one.ask("POST", "/talk/x", TALK, f"l-{one.name}-{i}")

    def test_requests_that_run_once_while_owners_are_killed(self):
        self.serve()
        for b in self.backends[:3]:
            b.hold_s = 0.1
        told, end = {}, threading.Event()

        def run(one, i):
            n = 0
            while not end.is_set():
                n += 1
                rid = f"once-{one.name}-{i}-{n}"
                try:
                    told[rid] = one.ask("POST", "/unsafe/x", {}, rid).status
                except (OSError, http.client.HTTPException):
                    told[rid] = 0
                    time.sleep(0.1)
        killed = [one for one in self.some[3:] if one.zone == "a"]
        for one in self.some:
            if one not in killed:
                for i in range(4):
                    threading.Thread(target=run, args=(one, i),
                                     daemon=True).start()
        time.sleep(1)
        for _ in range(3):
            for one in killed:
                one.kill()
                time.sleep(0.5)
                one.start()
                time.sleep(1)
        end.set()
        time.sleep(1)
        ran = [r for b in self.backends for r in b.ran if r in told]
        statuses = list(told.values())
        print({s: statuses.count(s) for s in sorted(set(statuses))},
              flush=True)
        self.assertEqual(len(ran), len(set(ran)), "ran twice")
        denied = [r for r in ran if told[r] in NOT_RUN]
        self.assertEqual(denied, [], "ran, though not run was said")

    def test_callers_leave(self):
        self.serve()
        for b in self.backends:
            b.events, b.event_s = 100, 0.05
        open_ = []
        for one in self.some:
            s = socket.create_connection(
                (one.host, int(one.front.split(":")[1])), 2)
            head = "".join(f"{k}: {v}\r\n" for k, v in {
                "Host": HOST, "Request-Id": f"gone-{one.name}",
                "Content-Length": "0", **TALK}.items())
            s.sendall(f"POST /talk/x HTTP/1.1\r\n{head}\r\n".encode())
            self.assertIn(b"200", s.recv(100))
            open_.append(s)
        time.sleep(0.3)
        before = sum(b.running for b in self.backends)
        for s in open_:
            s.close()
        at = time.monotonic()
        wait_until("servers to be free", lambda: not sum(
            b.running for b in self.backends), 3)
        print("running", before, "gone after",
              round(time.monotonic() - at, 2), flush=True)
        self.assertGreaterEqual(before, len(self.some))
        self.assertLess(time.monotonic() - at, 0.5)


class CutOffBrittle(CutOff):
    """As CutOff, before brittle servers."""

    def setUp(self):
        super().setUp()
        for b in self.backends:
            b.brittle = 10


del CutOff

if __name__ == "__main__":
    main()

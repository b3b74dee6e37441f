#!/usr/bin/env python3
"""On the users' platform a backend server whose answers go on without end,
in any phase, costs its instances little and callers nothing that another
server can give.  tests/cluster.py says how to run this file."""
import http.client
import sys
import threading
import time

from cluster import main, wait_until
from platform_fakes import ENDLESS_MAX_S, config, submit
from platform_process_test import PlatformTest

CALLERS = 8
PLAY_S = 4.0
SETTLED_REQUESTS = 10    # of each instance, until it prefers a server
CLOSED_S = 2.0           # until an instance has closed such an answer
BYTES_MAX = 1000000      # of one that is no body, with what sockets hold
BUSY_MAX = 0.5           # of a processor, each instance
MEMORY_MB = 100
HEAD = (b"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nServer-Seal: @SEAL@\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
TALK = {"Model": "m1", "Token-Counts": "10,3", "Prompt-Prefix": "a:6,b:4"}


def processor_s(one):
    with open(f"/proc/{one.pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def peak_mb(one):
    with open(f"/proc/{one.pid}/status") as f:
        return next(int(line.split()[1]) / 1024 for line in f
                    if line.startswith("VmHWM"))


class Endless(PlatformTest):
    call, service, models = ("GET", "/safe/x", {}), "app", None
    callers, memory_mb, least_served = CALLERS, MEMORY_MB, 1.0
    closed_s = CLOSED_S

    def setUp(self):
        super().setUp()
        submit(self.some, config(1, models=["m1"]))
        for i in range(3):
            self.backend(f"s-{i}", self.service, models=self.models)
        for one in self.some:
            for b in self.backends:
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        self._end = threading.Event()
        self.answers = []  # (status, seconds, whether it was whole)

    def _whole(self, answer):
        if self.models is None:
            return answer.body.startswith(b"of s-")
        return b"id: 3\n" in answer.body and answer.body.endswith(b"\n\n")

    def _ask(self, i):
        one, n = self.some[i % len(self.some)], 0
        while not self._end.is_set():
            n += 1
            at = time.monotonic()
            try:
                a = one.ask(*self.call, f"{one.name}-{i}-{n}", timeout_s=6)
                status, whole = a.status, self._whole(a)
            except (OSError, http.client.HTTPException):
                status, whole = 0, False
            self.answers.append((status, time.monotonic() - at, whole))
            self._end.wait(0.05)

    def _ask_all(self, times):
        """TIMES requests at each instance; how many each server ran."""
        before = [len(b.ran) for b in self.backends]
        for n in range(times):
            for one in self.some:
                rid = f"{one.name}-before-{n}"
                wait_until(f"{one.name} to be answered",
                           lambda one=one, rid=rid:
                           one.ask(*self.call, rid).status == 200)
        return [len(b.ran) - n for b, n in zip(self.backends, before)]

    def _preferred(self):
        """The server that most requests go to.  Few are under way at once, so
        that an instance may have no reason to ask another."""
        self._ask_all(SETTLED_REQUESTS)
        ran = self._ask_all(SETTLED_REQUESTS)
        return self.backends[ran.index(max(ran))]

    def play(self, begin, unit, pause_s=0.0, most=BYTES_MAX):
        bad = self._preferred()
        before = [processor_s(one) for one in self.some]
        bad.endless = begin, unit, pause_s
        threads = [threading.Thread(target=self._ask, args=(i,), daemon=True)
                   for i in range(self.callers)]
        begun = time.monotonic()
        for t in threads:
            t.start()
        time.sleep(PLAY_S)
        self._end.set()
        for t in threads:
            t.join()
        spent = time.monotonic() - begun
        busy = [(processor_s(one) - b) / spent
                for one, b in zip(self.some, before)]
        served = sum(status == 200 and whole
                     for status, _, whole in self.answers)
        said = {"answers": len(self.answers),
                "served": served / len(self.answers),
                "slowest s": round(max(s for _, s, _ in self.answers), 2),
                "took": (max(bad.endless_took, default=(0, 0)),
                         max((s for _, s in bad.endless_took), default=0)),
                "busy": [round(b, 2) for b in busy],
                "peak MB": round(max(map(peak_mb, self.some)))}
        print(self.id().rsplit(".", 1)[-1], said, file=sys.stderr, flush=True)
        self.assertTrue(bad.endless_took, said)
        self.assertGreaterEqual(said["served"], self.least_served, said)
        self.assertLess(max(n for n, _ in bad.endless_took), most, said)
        self.assertLess(max(s for _, s in bad.endless_took), self.closed_s,
                        said)
        self.assertLess(max(busy), BUSY_MAX, said)
        self.assertLess(said["peak MB"], self.memory_mb, said)


class Answers(Endless):
    def test_informational_heads_without_end(self):
        self.play(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_header_lines_without_end(self):
        self.play(HEAD, b"X: y\r\n")

    def test_chunk_extension_without_end(self):
        self.play(CHUNKED + b"2;", b"x")

    def test_trailers_without_end(self):
        self.play(CHUNKED + b"2\r\nab\r\n0\r\n", b"X: y\r\n")

    def test_body_without_end(self):
        self.play(HEAD + b"Connection: close\r\n\r\n", b"x",
                  most=40000000)

    def test_chunks_without_end(self):
        self.play(CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n",
                  most=40000000)

    def test_head_byte_by_byte(self):
        self.play(b"HTTP/1.1 200 OK\r\nX: ", b"x", pause_s=0.1)

    def test_chunk_extension_byte_by_byte(self):
        self.play(CHUNKED + b"2;", b"x", pause_s=0.1)

    def test_trailer_byte_by_byte(self):
        self.play(CHUNKED + b"2\r\nab\r\n0\r\nX: ", b"x", pause_s=0.1)


class Memory(Endless):
    """Many callers of one instance whose memory has a limit.  What the one
    server sends to each of them may come so slowly that it is no more than a
    long body before the request's time has passed."""
    callers, memory_mb, least_served = 100, 64, 0.9
    closed_s = ENDLESS_MAX_S

    def test_bodies_without_end(self):
        front = self.some[-1]
        front.kill()
        front.values["limits"]["memory_mb"] = self.memory_mb
        front.start()
        wait_until("the service", lambda: front.ask(
            "GET", "/safe/x").status == 200)
        self.some = [front]
        self.play(HEAD + b"Connection: close\r\n\r\n", b"x",
                  most=40000000)


class Streams(Endless):
    call, service, models = ("POST", "/talk/x", TALK), "llm", ["m1"]

    def test_comments_without_end(self):
        self.play(STREAM + b"id: 1\ndata: e1\n\n", b": x\n\n")

    def test_same_event_without_end(self):
        self.play(STREAM, b"id: 1\ndata: e1\n\n")


if __name__ == "__main__":
    main()

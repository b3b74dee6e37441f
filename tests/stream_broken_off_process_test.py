#!/usr/bin/env python3
"""Answers of backend servers of a stated length, in chunks, or up to the end
of their connection: whole ones are passed on whole, and a stream that ends
inside an event has been broken off.  tests/cluster.py says how to run this
file."""
import http.client

from cluster import main, wait_until
from platform_fakes import HOST, config, route, submit
from platform_process_test import PlatformTest

FRAMINGS = "length", "chunks", "close"
EVENTS = 3
ADAPTERS = 6
SERVERS = 2
WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (i, i)
                 for i in range(1, EVENTS + 1))
BROKEN = "broken off"


class BrokenOff(PlatformTest):
    options = {"plain": 2, "cuttable": True}

    def setUp(self):
        super().setUp()
        self.asked = 0
        wanted = config(1, models=["m1"])
        wanted["routes"].append(route("o", "/once/", "stream", "llm",
                                      sticky=True, gap_target_ms=400))
        self.serving(wanted)
        self.plain = list(self.backends)
        self.engines = [self.backend(f"g-{i}", "llm", models=["m1"])
                        for i in range(SERVERS)]
        self.direct, self.cut = self.some[-2:]
        for one in self.some:
            for b in self.engines:
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
        self.cut.cut_servers("refuse")
        for one in self.direct, self.cut:
            for path in "/talk/x", "/once/x", "/safe/x":
                wait_until(f"{one.name} to serve {path}",
                           lambda one=one, p=path: self.ask(one, p)[0] == 200)

    def ask(self, one, path):
        """(status, body); the status BROKEN if the answer breaks off."""
        self.asked += 1
        c = http.client.HTTPConnection(one.front, timeout=4)
        try:
            c.request("POST" if "safe" not in path else "GET", path, headers={
                "Host": HOST, "Request-Id": f"q{self.asked}", "Model": "m1",
                "Deadline-Ms": "3000", "Token-Counts": "100,10",
                "Prompt-Prefix": f"a1:60,{self.asked:x}:40"})
            r = c.getresponse()
            return r.status, r.read()
        except http.client.IncompleteRead as e:
            return BROKEN, e.partial
        except (OSError, http.client.HTTPException):
            return BROKEN, b""
        finally:
            c.close()

    def each(self, servers, check, inside=None, framings=FRAMINGS):
        """CHECK at an instance that reaches the servers and at one that relays
        to others, in each of FRAMINGS, if new streams end inside event
        INSIDE."""
        for framing in framings:
            for one in self.direct, self.cut:
                how = "relayed" if one is self.cut else "direct"
                with self.subTest(framing=framing, way=how, inside=inside):
                    for b in servers:
                        b.framing, b.ends_inside = framing, inside
                    check(one)

    def test_whole_streams(self):
        def check(one):
            for path in "/talk/x", "/once/x":
                self.assertEqual(self.ask(one, path), (200, WHOLE))
        self.each(self.engines, check)

    def test_whole_answers(self):
        def check(one):
            status, body = self.ask(one, "/safe/x")
            self.assertEqual(status, 200)
            self.assertIn(body, [f"of {b.name}".encode() for b in self.plain])
        self.each(self.plain, check)

    def goes_on(self, inside, framing):
        def check(one):
            self.assertEqual(self.ask(one, "/talk/x"), (200, WHOLE))
        self.each(self.engines, check, inside, [framing])

    # Each has a retry budget of its own: with all framings in one test, it was
    # spent when all relays went to the instance that is asked itself, too.
    def test_stream_with_a_length_goes_on(self):
        self.goes_on(2, "length")

    def test_stream_in_chunks_goes_on(self):
        self.goes_on(2, "chunks")

    def test_stream_up_to_the_end_of_its_connection_goes_on(self):
        self.goes_on(2, "close")

    def test_stream_with_a_length_goes_on_with_its_last_event(self):
        self.goes_on(EVENTS, "length")

    def test_stream_in_chunks_goes_on_with_its_last_event(self):
        self.goes_on(EVENTS, "chunks")

    def test_stream_up_to_the_end_goes_on_with_its_last_event(self):
        self.goes_on(EVENTS, "close")

    def test_stream_that_runs_once_is_broken_off(self):
        for inside in 1, 2, EVENTS:
            def check(one, inside=inside):
                status, body = self.ask(one, "/once/x")
                if inside == 1:
                    self.assertEqual(status, 502)
                else:
                    self.assertEqual((status, body), (
                        BROKEN, WHOLE[:WHOLE.index(b"id: %d" % inside)]))
            self.each(self.engines, check, inside)


class Orders(PlatformTest):
    def served(self, framing):
        """Adapters in turn, of which an engine has room for some."""
        submit(self.some, config(1, models=["m1"], adapters=ADAPTERS))
        self.backend("g-0", "llm", models=["m1"]).framing = framing
        for i in range(ADAPTERS):
            wait_until(f"adapter {i + 1} to be served",
                       lambda i=i: self.some[-1].ask("POST", "/talk/x", {
                           "Model": f"m1/a{i + 1}", "Token-Counts": "100,10",
                           "Prompt-Prefix": f"{i:x}:60"}).status == 200)

    def test_answers_with_a_length(self):
        self.served("length")

    def test_answers_in_chunks(self):
        self.served("chunks")

    def test_answers_up_to_the_end_of_their_connection(self):
        self.served("close")


if __name__ == "__main__":
    main()

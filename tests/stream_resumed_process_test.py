#!/usr/bin/env python3
"""Backend servers of two software versions in one service: a stream that its
caller resumes at another instance goes on at the version that began it, or
not at all.  tests/cluster.py
says how to run this file."""
import time

from cluster import main, wait_until
from streams import EACH, EVENT_S, EVENTS, STREAMS, VERSIONS
from streams import StreamVersionsTest, ask

AT_ONCE_S = 1.0


class Resumed(StreamVersionsTest):
    def test_stream_goes_on_at_another_instance(self):
        self.engines()
        self.check(self.streams(leave=True), STREAMS * 2 // 3)

    def test_stream_goes_on_after_the_instance_that_began_it_was_killed(self):
        self.engines()
        killed = self.some[3:5]

        def kill():
            self.c.kill(*killed)
        made = self.streams(meanwhile=kill, choose=lambda: self.random.choice(
            [i for i in killed if i.alive()] or self.some[:3]))
        self.check(made, 3)

    def test_stream_of_an_unknown_beginning_is_refused_at_once(self):
        engines = self.engines()
        before = sum(len(b.ran) for b in engines)
        for resumes in "never-sent", "x" * 4000, "\x01", None:
            t = ask(self.some[0], f"r-{time.monotonic()}", after=2,
                    resumes=resumes)
            self.assertIn(t.status, (400, 503), resumes)
            self.assertLess(t.took_s, AT_ONCE_S)
        self.assertEqual(sum(len(b.ran) for b in engines), before)

    def test_stream_without_a_server_of_its_version_is_refused_at_once(self):
        engines = self.engines(each=1)
        t = ask(self.some[0], "a", leave_at=2)
        own = next(b for b in engines if b.version == t.events[0][1])
        own.close()
        self.backends.remove(own)
        wait_until("its crash to be known", lambda: ask(
            self.some[1], f"n-{time.monotonic()}").whole)
        time.sleep(0.5)
        other = next(b for b in engines if b is not own)
        ran = len(other.ran)
        t = ask(self.some[1], "b", after=2, resumes="a")
        self.assertEqual(t.events, [])
        self.assertEqual(t.status, 503)
        self.assertLess(t.took_s, AT_ONCE_S)
        self.assertEqual(len(other.ran), ran)

    def test_streams_of_the_only_version_go_on_as_second_one_appears(self):
        self.engines(VERSIONS[:1])

        def release():
            for i in range(EACH):
                b = self.backend(f"h-{i}", "llm", zone="abc"[i],
                                 models=["m1"])
                b.version, b.marks = VERSIONS[1], True
                b.events, b.hold_s = EVENTS, EVENT_S
        self.check(self.streams(leave=True, meanwhile=release),
                   STREAMS * 2 // 3)

    def test_stream_of_the_only_version_goes_on_unnamed(self):
        self.engines(VERSIONS[:1])
        t = ask(self.some[0], "a", leave_at=2)
        self.assertEqual(len(t.events), 2)
        t = ask(self.some[1], "b", after=2)
        self.assertEqual([n for n, _, _ in t.events],
                         list(range(3, EVENTS + 1)))


if __name__ == "__main__":
    main()

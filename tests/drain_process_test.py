#!/usr/bin/env python3
"""Leaving and planned stops under load, with 11 daemons: what leaves gets
nothing new after two seconds, and nothing is cut.  tests/cluster.py says how
to run this file."""
import json
import subprocess
import threading
import time

from callers import (PATIENT, ask, check_whole, document, engines, fleet,
                     ledger, runs, service, together, wait_ready)
from cluster import ClusterTest, LIMIT_S, main, request, wait_until

GRACE_MS = 2000
TOKENS = 100
LONG_TOKENS = 10000  # never ends by itself while a test waits
SLOW = {"decode_ms": 20}


class Load:
    """The `load` driver: callers that ask which entries to use, follow the
    answer and check every answer that they get."""

    def __init__(self, test, c, seconds, **options):
        options = {"connections": 16, "tokens": 20, "retries": 4,
                   "service": "chat", "models": "m", "seconds": seconds,
                   "json": True, **options}
        command = [str(c.build / "bench" / "load")]
        for key, value in options.items():
            command.append(f"--{key}" if value is True else
                           f"--{key}={value}")
        command += [f"--entry={e.callers}" for e in c.entries]
        self._p = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        test.addCleanup(self._p.kill)

    def stop(self):
        """No more arrivals; what is open is finished."""
        self._p.terminate()

    def figures(self):
        out, _ = self._p.communicate(timeout=LIMIT_S)
        return json.loads(out)


def check_nothing_lost(test, figures):
    """Every request of the load was answered whole and right."""
    test.assertGreater(figures["ok"], 0)
    test.assertEqual(figures["ok"], figures["started"], figures)


def new_runs(fake, since_ms):
    return [r for r in ledger(fake, "run") if r["at"] > since_ms]


class Drain(ClusterTest):
    """A backend server that is leaving receives no new work after a few
    seconds, and nothing of what it has is cut."""

    def _drained(self, leave):
        """LEAVE (c, engine) under load, then two seconds, then two more."""
        c = fleet(self)
        some = engines(c, 3)
        load = Load(self, c, LIMIT_S)
        wait_until("the load", lambda: all(ledger(g, "run") for g in some))
        leave(c, some[0])
        since = time.time() * 1000 + GRACE_MS
        time.sleep(2 * GRACE_MS / 1000)
        load.stop()
        check_nothing_lost(self, load.figures())
        self.assertEqual(new_runs(some[0], since), [])
        self.assertTrue(all(new_runs(g, since) for g in some[1:]))
        self.assertEqual({r["outcome"] for r in ledger(some[0], "end")},
                         {"done"})
        return some[0]

    def test_operator_drains_a_backend_server(self):
        def drain(c, engine):
            out = c.cli("drain", "--backend", engine.name,
                        server=c.entries[-1])
            self.assertEqual(out.returncode, 0, out.stderr)
        self._drained(drain)

    def test_backend_server_leaves(self):
        engine = self._drained(lambda c, engine: engine.term())
        self.assertEqual(engine.wait(), 0)
        late = [r for r in ledger(engine, "new_work_after_leave")
                if r["ms"] > GRACE_MS]
        self.assertEqual(late, [])

    def test_plain_backend_server_leaves(self):
        c = fleet(self)
        some = [service(c, "s1", work_ms=5), service(c, "s2", work_ms=5)]
        load = Load(self, c, LIMIT_S, plain=True, service="rooms")
        wait_until("the load", lambda: all(ledger(s, "ran") for s in some))
        some[0].term()
        self.assertEqual(some[0].wait(), 0)
        load.stop()
        figures = load.figures()
        check_nothing_lost(self, figures)
        self.assertEqual(sum(len(ledger(s, "ran")) for s in some),
                         figures["ok"])


class PlannedStop(ClusterTest):
    """A planned stop is a graceful shutdown: it cuts no request in
    progress."""

    def test_entry_stops_with_open_streams(self):
        c = fleet(self, timing=PATIENT)
        some = engines(c, 2, **SLOW)
        entry = c.entries[0]
        begun, replies = threading.Barrier(9, timeout=LIMIT_S), []

        def caller(i):
            replies.append(ask(
                entry.callers, f"open {i}", TOKENS,
                on_token=lambda r, n: n == 3 and begun.wait()))
        threads = [threading.Thread(target=caller, args=(i,))
                   for i in range(8)]
        for t in threads:
            t.start()
        begun.wait()
        entry.term()
        for t in threads:
            t.join()
        self.assertEqual(entry.wait(), 0)
        for r in replies:
            check_whole(self, c, r, TOKENS)
            self.assertEqual(len(runs(some, r)), 1, r)

    def test_stopping_entry_is_named_to_nobody(self):
        """An open stream keeps it alive until all others know: it is its
        leaving that they know, not its end."""
        c = fleet(self)
        engines(c, 1, **SLOW)
        told = c.entries[1].entries("chat")
        entry = next(e for e in c.entries if e.callers == told[0])
        begun, known = threading.Event(), threading.Event()
        self.addCleanup(known.set)
        replies = []

        def on_token(_, n):
            begun.set()
            if known.is_set():
                raise ConnectionError
        caller = threading.Thread(target=lambda: replies.append(ask(
            entry.callers, "open", LONG_TOKENS, on_token=on_token)))
        caller.start()
        self.assertTrue(begun.wait(LIMIT_S))
        entry.term()
        since = time.monotonic()
        others = [e for e in c.entries if e is not entry]
        wait_until("the others to know", lambda: not any(
            entry.callers in e.entries("chat") for e in others))
        self.assertLess(time.monotonic() - since, GRACE_MS / 1000)
        self.assertTrue(entry.alive(), "it is leaving, not gone")
        self.assertTrue(caller.is_alive(), "its stream is open")
        known.set()
        caller.join()
        self.assertEqual(entry.wait(), 0)

    def test_rolling_restart_of_all_daemons(self):
        c = fleet(self)
        engines(c, 3)
        s = service(c, work_ms=2)
        streams = Load(self, c, 4 * LIMIT_S, connections=8)
        calls = Load(self, c, 4 * LIMIT_S, connections=4, plain=True,
                     service="rooms")
        wait_until("the load", lambda: ledger(s, "ran"))
        for d in c.daemons.values():
            d.term()
            self.assertEqual(d.wait(), 0, d.name)
            c.start(d)
            c.wait_leader()
            if d in c.entries:
                wait_until(f"{d.name} to serve", lambda: request(
                    d.callers, "GET", "/healthz").status == 200)
        streams.stop()
        calls.stop()
        check_nothing_lost(self, streams.figures())
        plain = calls.figures()
        check_nothing_lost(self, plain)
        keys = [r["key"] for r in ledger(s, "ran")]
        self.assertEqual(len(keys), len(set(keys)))
        self.assertEqual(len(keys), plain["ok"])


if __name__ == "__main__":
    main()

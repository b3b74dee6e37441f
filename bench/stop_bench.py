#!/usr/bin/env python3
"""rolling.failed, drain.new_work_s, poison.lost: planned stops, leaves and
crashing requests with 11 daemons under load.

Usage: stop_bench.py BUILD [--only PREFIX] [--quick] [--json]"""
import json
import subprocess
import time

from bench_common import NET, Bench, note
from callers import ask, engines, fleet, ledger, service
from cluster import Cluster, request, wait_until

RESENDS = 100
ENGINES = 4
POISON = "POISON please"
LIMIT_S = 120


class Rig:
    """What callers.py asks of a test, for a benchmark."""

    def __init__(self, bench):
        self._bench = bench
        self._clusters = []

    def cluster(self, timing=None, limits=None):
        c = Cluster(self._bench.build, NET, timing=timing, limits=limits)
        self._clusters.append(c)
        return c

    def assertEqual(self, a, b, why=""):  # pylint: disable=invalid-name
        if a != b:
            raise SystemExit(f"{a} is not {b}: {why}")

    def close(self):
        for c in self._clusters:
            c.close()


class Load:
    """One load driver until it is stopped."""

    def __init__(self, c, **options):
        command = [str(c.build / "bench" / "load"), "--json",
                   f"--seconds={LIMIT_S}", "--retries=4"]
        for key, value in options.items():
            command.append(f"--{key}" if value is True else f"--{key}={value}")
        command += [f"--entry={e.callers}" for e in c.entries]
        self._p = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def stop(self):
        self._p.terminate()
        return json.loads(self._p.communicate()[0])


def streams(c, connections=16):
    return Load(c, service="chat", models="m", connections=connections,
                tokens=20)


def rolling(bench, rig):
    """rolling.failed: requests not answered whole over a rolling restart."""
    c = fleet(rig)
    engines(c, 3)
    s = service(c, work_ms=2)
    loads = [streams(c), Load(c, plain=True, service="rooms", connections=4)]
    wait_until("the load", lambda: ledger(s, "ran"))
    start = time.monotonic()
    for d in list(c.daemons.values()):
        d.term()
        if d.wait() != 0:
            note(f"{d.name} ended with an error")
        c.start(d)
        c.wait_leader()
        if d in c.entries:
            wait_until(f"{d.name} to serve", lambda: request(
                d.callers, "GET", "/healthz").status == 200)
    took = time.monotonic() - start
    figures = [load.stop() for load in loads]
    started = sum(f["started"] for f in figures)
    note(f"{started} requests")
    bench.report("rolling.failed", started - sum(f["ok"] for f in figures),
                 "requests")
    bench.report("rolling.seconds", took, "s")


def drain(bench, rig):
    """drain.new_work_s: the last new request at an engine after its leave
    was told, by an operator and by itself."""
    last, failed = [], 0
    leaves = [lambda c, e: c.cli("drain", "--backend", e.name,
                                 server=c.entries[-1]),
              lambda c, e: e.term()]
    for leave in leaves:
        c = fleet(rig)
        some = engines(c, 3)
        load = streams(c)
        wait_until("the load", lambda: all(ledger(g, "run") for g in some))
        since = time.time() * 1000
        leave(c, some[0])
        time.sleep(4)
        figures = load.stop()
        failed += figures["started"] - figures["ok"]
        late = [r["at"] - since for r in ledger(some[0], "run")]
        last.append(max(0, max(late)) / 1000)
        c.close()
    note(f"by an operator {last[0]:.3f} s, by itself {last[1]:.3f} s")
    bench.report("drain.new_work_s", max(last), "s")
    bench.report("drain.failed", failed, "requests")


def poison(bench, rig):
    """poison.lost: engines that one request takes down, resent through all
    entries."""
    c = fleet(rig)
    some = engines(c, ENGINES, crash_on="POISON", decode_ms=5)
    load = streams(c, connections=4)
    for i in range(RESENDS):
        ask(c.entries[i % len(c.entries)].callers, POISON, 20)
    figures = load.stop()
    bench.report("poison.lost", sum(len(ledger(g, "crash")) for g in some),
                 "engines")
    bench.report("poison.others_failed", figures["started"] - figures["ok"],
                 "requests")


def main():
    bench = Bench()
    for name, measure in (("rolling.", rolling), ("drain.", drain),
                          ("poison.", poison)):
        if not bench.wanted(name):
            continue
        rig = Rig(bench)
        try:
            measure(bench, rig)
        finally:
            rig.close()


if __name__ == "__main__":
    main()

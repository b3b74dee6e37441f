#!/usr/bin/env python3
"""once.* and voters.*: the replicated log through whole processes, with three
voters on disk.

Usage: voters_bench.py BUILD [--only PREFIX] [--quick] [--json]"""
import concurrent.futures
import os
import statistics
import time

from bench_common import (Bench, check_answers, load, metrics, note,
                          percentile, total)
from bench_fleet import Fleet, make_document
from cluster import wait_until

ENTRIES = 8
DRIVERS = 4
SERVICES = 4
SUBMIT_LIMIT_S = 30


def sync_ms(folder):
    """The median of one write with fdatasync in FOLDER."""
    path = folder / "sync"
    fd = os.open(path, os.O_CREAT | os.O_WRONLY)
    took = []
    for _ in range(200):
        start = time.monotonic()
        os.write(fd, b"x" * 512)
        os.fdatasync(fd)
        took.append(time.monotonic() - start)
    os.close(fd)
    path.unlink()
    return statistics.median(took) * 1000


def with_rooms(document):
    """DOCUMENT and a plain service whose calls may not be repeated."""
    document["services"]["rooms"] = {
        "kind": "plain", "not_repeatable": ["POST /assign"],
        "max_concurrency": 100000, "max_queue": 100000}
    return document


def answers(c):
    """Whether each of the plain backend servers is known."""
    return len(c.leader.status()["backends"]) == SERVICES


def claims(bench):
    """once.claims.v3: calls that run at most once, each with a claim and its
    result in the log; against one call at a time, where each is synced by
    itself."""
    seconds = 3 if bench.quick else 8
    rounds = 2 if bench.quick else 3
    fleet = Fleet(bench, ENTRIES + 3)
    try:
        a = fleet.leader.submit(fleet.version, "rooms", with_rooms(
            make_document(fleet.models, 1)))
        if a.status != 200:
            raise SystemExit(a)
        for i in range(SERVICES):
            fleet.c.service(f"s{i}", "rooms", work_ms=0, ledger="/dev/null")
        wait_until("the services", lambda: answers(fleet))

        def run(connections, drivers):
            figures = load(bench.build, drivers, plain=None, service="rooms",
                           direct=[e.callers for e in fleet.entries],
                           connections=connections // drivers,
                           seconds=seconds)
            check_answers(figures)
            return total(figures, "ok_per_s")
        run(64, DRIVERS)
        alone, together = [], []
        for _ in range(rounds):
            alone.append(run(1, 1))
            together.append(run(64, DRIVERS))
        many = statistics.median(together)
        bench.report("once.claims.v3", many, "calls/s",
                     many / statistics.median(alone))
        bench.report("once.claims.v3.c1", statistics.median(alone),
                     "calls/s")
        note(f"one fdatasync takes {sync_ms(fleet.c.folder):.3f} ms here")
    finally:
        fleet.close()


def submits(bench):
    """voters.submits.c64: changes of the document by 64 operators at once,
    who submit again at the new version after a conflict."""
    seconds = 3 if bench.quick else 8
    fleet = Fleet(bench, ENTRIES + 3)
    try:
        end = time.monotonic() + seconds

        def operator(i):
            done, tries = 0, 0
            while time.monotonic() < end:
                d = fleet.entries[i % ENTRIES]
                base = metrics(d)["document_version"]
                tries += 1
                a = d.submit(base, f"op-{i}-{tries}",
                             make_document(fleet.models, tries + i))
                done += a.status == 200
            return done, tries
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            results = list(pool.map(operator, range(64)))
        done = sum(r[0] for r in results)
        bench.report("voters.submits.c64", done / seconds, "submits/s")
        bench.report("voters.submits.c64.tried",
                     sum(r[1] for r in results) / seconds, "submits/s")
    finally:
        fleet.close()


def elections(bench):
    """voters.elect_ms: the leader is killed until an entry's submit is
    accepted."""
    trials = 6 if bench.quick else 20
    fleet = Fleet(bench, 5)
    try:
        took = []
        for i in range(trials):
            old = fleet.c.wait_leader()
            time.sleep(0.3 + i * 0.037 % 0.25)
            start = time.monotonic()
            old.kill()
            while not fleet.submit(fleet.entries[0]):
                if time.monotonic() - start > SUBMIT_LIMIT_S:
                    raise SystemExit("No submit was accepted.")
            took.append((time.monotonic() - start) * 1000)
            fleet.c.start(old)
            fleet.wait_in_force()
        bench.report("voters.elect_ms", percentile(took, 0.99), "ms")
        bench.report("voters.elect_ms.p50", percentile(took, 0.5), "ms")
    finally:
        fleet.close()


def main():
    bench = Bench()
    if bench.wanted("once.claims.v3"):
        claims(bench)
    if bench.wanted("voters.submits.c64"):
        submits(bench)
    if bench.wanted("voters.elect_ms"):
        elections(bench)


if __name__ == "__main__":
    main()

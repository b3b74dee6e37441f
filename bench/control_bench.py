#!/usr/bin/env python3
"""control.*: what control costs an entry, a voter and the leader, at rest and
for one change, at several sizes; worked out for letter 1's size.

control.cpu_pct, control.rss_mb and control.bytes_s are those of the entry that
has the most, at 3,400 changes a day of a document of 940 models, with all 770
engines reporting to fewer daemons than 360: the load reports that come to the
entries of a service are as many as at 360, those that an entry sends on are
more.  `.N` is the mean entry at N daemons with their share of the engines.
The figures of voters and the leader are worked out for 360 daemons from the
slopes over the sizes.

Usage: control_bench.py BUILD [--only PREFIX] [--quick] [--json]"""
import json
import statistics
import time

from bench_common import Bench, Meter, note, slope
from bench_fleet import (CHANGES_S, LETTER_DAEMONS, LETTER_ENGINES,
                         LETTER_VOTERS,
                         MODELS_LETTER, Fleet, engine_report, make_document)
from cluster import BACKEND_KEY, request

SIZES = (11, 50, 100, 200)
QUICK_SIZES = (11, 50)
FULL_SIZE = 200
QUICK_FULL_SIZE = 50
MANY_VOTERS = 7
FIELDS = ("cpu", "bytes_s", "messages_s")


class Cost:
    """What one kind of daemon uses: at rest a second, and for a change."""

    def __init__(self, idle, busy, changes):
        self.rest = {f: idle[f] for f in FIELDS}
        self.change = {f: (busy[f] - idle[f]) * busy["seconds"] / changes
                       for f in FIELDS}
        self.rss_mb = busy["rss_mb"]

    def at(self, field):
        """A second at letter 1's rate of changes."""
        return self.rest[field] + self.change[field] * CHANGES_S


def of_all(meters, pick):
    """What METERS read, each value PICKed from all of them."""
    read = [m.read() for m in meters]
    return {k: pick([r[k] for r in read]) for k in read[0]}


class Watch:
    """Entries, followers and the leader of a fleet, each kind by its mean
    or another PICK."""

    def __init__(self, fleet, pick):
        self.pick = pick
        self.kinds = {
            "entry": fleet.entries,
            "voter": [v for v in fleet.voters if v is not fleet.leader],
            "leader": [fleet.leader]}

    def over(self, what):
        """What each kind uses while WHAT () runs."""
        meters = {k: [Meter(d) for d in v] for k, v in self.kinds.items()}
        what()
        return {k: of_all(v, self.pick) for k, v in meters.items()}


def measure(bench, size, engines, voters=3, pick=statistics.mean):
    """Costs of each kind at SIZE daemons."""
    rest_s = 6 if bench.quick else 20
    changes = 5 if bench.quick else 12
    fleet = Fleet(bench, size, MODELS_LETTER, voters=voters, engines=engines)
    try:
        time.sleep(4 if bench.quick else 12)  # the start's work is over
        watch = Watch(fleet, pick)
        idle = watch.over(lambda: time.sleep(rest_s))

        def change():
            for _ in range(changes):
                if not fleet.submit(fleet.leader):
                    raise SystemExit("A change was refused.")
                time.sleep(1)
        busy = watch.over(change)
        return {k: Cost(idle[k], busy[k], changes) for k in idle}
    finally:
        fleet.close()


def report_size(bench, size, costs):
    entry = costs["entry"]
    bench.report(f"control.cpu_pct.{size}", entry.at("cpu") * 100, "%")
    bench.report(f"control.rss_mb.{size}", entry.rss_mb, "MB")
    bench.report(f"control.bytes_s.{size}", entry.at("bytes_s"), "B/s")
    for kind, c in costs.items():
        name = f"control.{kind}"
        bench.report(f"{name}.idle_cpu_pct.{size}", c.rest["cpu"] * 100, "%")
        bench.report(f"{name}.idle_bytes_s.{size}", c.rest["bytes_s"], "B/s")
        bench.report(f"{name}.idle_messages_s.{size}", c.rest["messages_s"],
                     "1/s")
        bench.report(f"{name}.change_cpu_ms.{size}", c.change["cpu"] * 1000,
                     "ms")
        bench.report(f"{name}.change_bytes.{size}", c.change["bytes_s"], "B")
        bench.report(f"{name}.rss_mb.{size}", c.rss_mb, "MB")


def worked_out(points, at):
    """The line through POINTS at AT, not below 0."""
    a, b = slope(points)
    return max(a * at + b, 0)


def report_letter(bench, by_size, by_voters):
    """A voter's and the leader's figures, worked out for 360 daemons that
    share 7 voters: 51 poll a voter, as with 3 voters of 154 daemons."""
    small = min(by_size)

    def line(kind, value, at):
        more = (value(by_voters[kind]) - value(by_size[small][kind]))
        points = [(n, value(costs[kind])) for n, costs in by_size.items()]
        return worked_out(points, at) + more
    polled = LETTER_DAEMONS * 3 // LETTER_VOTERS
    for kind, at in (("voter", polled), ("leader", LETTER_DAEMONS)):
        name = f"control.{kind}"
        bench.report(f"{name}.cpu_pct",
                     line(kind, lambda c: c.at("cpu"), at) * 100, "%")
        bench.report(f"{name}.rss_mb", line(kind, lambda c: c.rss_mb, at),
                     "MB")
        bench.report(f"{name}.bytes_s",
                     line(kind, lambda c: c.at("bytes_s"), at), "B/s")


def copy_changes(bench):
    """control.copy_change_bytes: what an entry hears when a copy on an engine
    of letter 1 (6 models and adapters) that reports elsewhere changes, with
    about 10 such changes a second; `.22`: with about 22."""
    fleet = Fleet(bench, 5, MODELS_LETTER)
    try:
        report = engine_report(0, LETTER_ENGINES, MODELS_LETTER)
        home, other = fleet.entries

        def announce(seq, pause_s=0.1):
            report["copies"][-1]["phase"] = ("ready", "draining")[seq % 2]
            a = request(home.callers, "POST", "/v1/backends/announce",
                        {**report, "seq": seq},
                        {"Authorization": f"Bearer {BACKEND_KEY}"})
            if a.status != 200:
                raise SystemExit(a)
            time.sleep(pause_s)
        announce(1)
        meter = Meter(other)
        time.sleep(5)
        rest = meter.read()["bytes_s"]
        seq = 1
        for name, changes, pause_s in (("", 50, 0.1), (".22", 110, 0.043)):
            meter.begin()
            for seq in range(seq + 1, seq + 1 + changes):
                announce(seq, pause_s)
            got = meter.read()
            bench.report(f"control.copy_change_bytes{name}",
                         (got["bytes_s"] - rest) * got["seconds"] / changes,
                         "B")
    finally:
        fleet.close()


def report_full(bench, costs):
    """The entry that has the most, with all engines of letter 1."""
    entry = costs["entry"]
    bench.report("control.cpu_pct", entry.at("cpu") * 100, "%")
    bench.report("control.rss_mb", entry.rss_mb, "MB")
    bench.report("control.bytes_s", entry.at("bytes_s"), "B/s")
    leader = costs["leader"]
    bench.report("control.leader.full.cpu_pct", leader.at("cpu") * 100, "%")
    bench.report("control.leader.full.rss_mb", leader.rss_mb, "MB")


def main():
    bench = Bench()
    if not bench.wanted("control."):
        return
    sizes = QUICK_SIZES if bench.quick else SIZES
    full = QUICK_FULL_SIZE if bench.quick else FULL_SIZE
    note(f"the document has {len(json.dumps(make_document(MODELS_LETTER, 0)))}"
         " bytes")
    copy_changes(bench)
    if bench.options.only.startswith("control.copy"):
        return
    by_size = {}
    for size in sizes:
        engines = size * LETTER_ENGINES // LETTER_DAEMONS
        by_size[size] = measure(bench, size, engines)
        report_size(bench, size, by_size[size])
    engines = sizes[0] * LETTER_ENGINES // LETTER_DAEMONS
    by_voters = measure(bench, sizes[0], engines, voters=MANY_VOTERS)
    report_size(bench, f"{sizes[0]}.v{MANY_VOTERS}", by_voters)
    report_letter(bench, by_size, by_voters)
    report_full(bench, measure(bench, full, LETTER_ENGINES, pick=max))


if __name__ == "__main__":
    main()

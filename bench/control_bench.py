#!/usr/bin/env python3
"""control.*: what control costs an entry, a voter and the leader, at rest and
for one change, at several sizes; worked out for letter 1's size.

control.cpu_pct, control.rss_mb and control.bytes_s are an entry's, at 3,400
changes a day of a document of 940 models, worked out for 360 daemons from the
slopes over the sizes.  `.N` is the same at N daemons as measured.  Usage:
control_bench.py BUILD [--only PREFIX] [--quick] [--json]"""
import json
import statistics
import time

from bench_common import Bench, Meter, note, slope
from bench_fleet import (CHANGES_S, LETTER_DAEMONS, LETTER_ENGINES,
                         LETTER_VOTERS,
                         MODELS_LETTER, Fleet, make_document)

SIZES = (11, 50, 100, 200)
QUICK_SIZES = (11, 50)
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


def mean(meters):
    """The mean of what METERS read."""
    read = [m.read() for m in meters]
    return {k: statistics.mean(r[k] for r in read) for k in read[0]}


class Watch:
    """Entries, followers and the leader of a fleet, each kind by its mean."""

    def __init__(self, fleet):
        self.kinds = {
            "entry": fleet.entries,
            "voter": [v for v in fleet.voters if v is not fleet.leader],
            "leader": [fleet.leader]}

    def over(self, what):
        """Means while WHAT () runs."""
        meters = {k: [Meter(d) for d in v] for k, v in self.kinds.items()}
        what()
        return {k: mean(v) for k, v in meters.items()}


def measure(bench, size, engines):
    """Costs of each kind at SIZE daemons."""
    rest_s = 6 if bench.quick else 20
    changes = 5 if bench.quick else 12
    fleet = Fleet(bench, size, MODELS_LETTER, engines=engines)
    try:
        time.sleep(4 if bench.quick else 12)  # the start's work is over
        watch = Watch(fleet)
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


def report_letter(bench, by_size):
    """The figures at 360 daemons; a voter's and the leader's are those of the
    daemons that share 7 voters."""
    def line(kind, value):
        points = [(n, value(costs[kind])) for n, costs in by_size.items()]
        return worked_out(points, LETTER_DAEMONS)
    bench.report("control.cpu_pct",
                 line("entry", lambda c: c.at("cpu")) * 100, "%")
    bench.report("control.rss_mb", line("entry", lambda c: c.rss_mb), "MB")
    bench.report("control.bytes_s", line("entry", lambda c: c.at("bytes_s")),
                 "B/s")
    for kind in ("voter", "leader"):
        name = f"control.{kind}"
        bench.report(f"{name}.cpu_pct",
                     line(kind, lambda c: c.at("cpu")) * 100, "%")
        bench.report(f"{name}.rss_mb", line(kind, lambda c: c.rss_mb), "MB")
        bench.report(f"{name}.bytes_s",
                     line(kind, lambda c: c.at("bytes_s")), "B/s")


def main():
    bench = Bench()
    if not bench.wanted("control."):
        return
    text = json.dumps(make_document(MODELS_LETTER, 0))
    note(f"the document has {len(text)} bytes; {LETTER_VOTERS} voters at "
         f"{LETTER_DAEMONS} daemons have {LETTER_DAEMONS // LETTER_VOTERS} "
         "daemons each, 3 voters at 200 have 66")
    by_size = {}
    for size in QUICK_SIZES if bench.quick else SIZES:
        engines = size * LETTER_ENGINES // LETTER_DAEMONS
        by_size[size] = measure(bench, size, engines)
        report_size(bench, size, by_size[size])
    report_letter(bench, by_size)


if __name__ == "__main__":
    main()

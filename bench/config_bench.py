#!/usr/bin/env python3
"""config.in_force_s.N: from the answer that a change is accepted until it is
in force on each of N daemons.

Each daemon's own word counts (document_version at /metrics), asked for in
turns; a turn over 100 daemons takes about 0.1 s, which the figure contains.
Usage: config_bench.py BUILD [--only PREFIX] [--quick] [--json]"""
import time

from bench_common import Bench, note, percentile
from bench_fleet import Fleet

SIZES = (11, 100, 200)


def measure(bench, size):
    changes = 10 if bench.quick else 30
    fleet = Fleet(bench, size)
    try:
        delays, worst = [], []
        for i in range(changes):
            if not fleet.submit(fleet.daemons[i % size]):
                raise SystemExit("A change was refused.")
            accepted = time.monotonic()
            seen = fleet.wait_in_force()
            delays += [at - accepted for at in seen.values()]
            worst.append(max(seen.values()) - accepted)
        note(f"{size} daemons: worst of each change "
             f"{min(worst):.3f} to {max(worst):.3f} s")
        bench.report(f"config.in_force_s.{size}", percentile(delays, 0.99),
                     "s")
        bench.report(f"config.in_force_s.{size}.p50",
                     percentile(delays, 0.5), "s")
    finally:
        fleet.close()


def main():
    bench = Bench()
    for size in SIZES:
        if bench.wanted(f"config.in_force_s.{size}"):
            if size > 100 and bench.quick:
                continue
            measure(bench, size)


if __name__ == "__main__":
    main()

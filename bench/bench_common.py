"""What the benchmarks over whole processes share: arguments, figures, the
load driver, and reading what a process costs."""
import argparse
import json
import math
import os
import pathlib
import re
import signal
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import cluster  # noqa: E402  (tests/cluster.py)

NET = 88  # the clusters' addresses are 127.NET.x.y
LIMIT_S = 900  # of one script: what hangs is ended
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024


class Bench:
    """The arguments of a benchmark script, and its figures."""

    def __init__(self):
        p = argparse.ArgumentParser()
        p.add_argument("build", type=pathlib.Path)
        p.add_argument("--only", default="")
        p.add_argument("--quick", action="store_true")
        p.add_argument("--json", action="store_true")
        self.options = p.parse_args()
        self.build, self.quick = self.options.build, self.options.quick
        signal.signal(signal.SIGALRM, self._too_long)
        signal.alarm(LIMIT_S)

    @staticmethod
    def _too_long(number, frame):
        raise SystemExit(f"The benchmark took longer than {LIMIT_S} s.")

    def wanted(self, *names):
        """Whether any of NAMES (or names that begin so) is asked for."""
        only = self.options.only
        return any(n.startswith(only) or only.startswith(n) for n in names)

    def report(self, name, value, unit, ratio=None):
        """Prints one figure as a line of JSON."""
        figure = {"name": name, "value": round_to(value), "unit": unit}
        if ratio is not None:
            figure["ratio"] = round_to(ratio)
        print(json.dumps(figure), flush=True)

    def cluster(self, **limits):
        """A cluster with the default timing of the settings."""
        c = cluster.Cluster(self.build, NET, limits=limits)
        c.timing = {}
        return c


def show_logs(c):
    """The last lines of each process of cluster C that has ended."""
    for p in c.processes():
        if p.surprise():
            note(f"{p.surprise()}\n{p.tail()}")


def round_to(value, digits=5):
    """VALUE with so many significant digits."""
    if value == 0 or not math.isfinite(value):
        return value
    return round(value, digits - 1 - math.floor(math.log10(abs(value))))


def note(text):
    """A remark for the reader of the run, not a figure."""
    print(text, file=sys.stderr, flush=True)


def percentile(values, p):
    """The P-quantile (0..1) of VALUES by nearest rank."""
    ranked = sorted(values)
    return ranked[max(0, math.ceil(p * len(ranked)) - 1)]


def slope(points):
    """Least squares through (x, y): the slope and the value at 0."""
    fit = statistics.linear_regression(*zip(*points))
    return fit.slope, fit.intercept


# --- what a process costs ---

def cpu_s(pid):
    """Processor seconds used so far, in user and system mode."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_kb(pid):
    """Resident memory now."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_KB


def metrics(daemon):
    """The counters of a daemon by name, without their common prefix."""
    text = daemon.ask("GET", "/metrics").body.decode()
    found = re.findall(r"^plantainusher_(\S+) (-?\d+)$", text, re.M)
    return {name: int(value) for name, value in found}


class Meter:
    """What a daemon uses from now on."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.begin()

    def begin(self):
        self._metrics = metrics(self.daemon)
        self._cpu = cpu_s(self.daemon.pid)
        self._time = time.monotonic()

    def read(self):
        """cpu (share of a core), bytes_s (in and out), rss_mb, seconds."""
        seconds = time.monotonic() - self._time
        cpu = cpu_s(self.daemon.pid) - self._cpu
        now = metrics(self.daemon)

        def rate(*names):
            return sum(now.get(n, 0) - self._metrics.get(n, 0)
                       for n in names) / seconds
        return {"cpu": cpu / seconds,
                "in_s": rate("rpc_bytes_in_total"),
                "out_s": rate("rpc_bytes_out_total"),
                "bytes_s": rate("rpc_bytes_in_total", "rpc_bytes_out_total"),
                "messages_s": rate("rpc_messages_in_total",
                                   "rpc_messages_out_total"),
                "rss_mb": rss_kb(self.daemon.pid) / 1024,
                "seconds": seconds}


# --- load ---

def load(build, processes, **options):
    """Runs PROCESSES load drivers side by side, each with OPTIONS (None: a
    bare flag; a callable is called with the process's number).  Returns their figures."""
    running = []
    for i in range(processes):
        command = [str(build / "bench" / "load"), "--json", f"--seed={i + 1}"]
        for key, value in options.items():
            value = value(i) if callable(value) else value
            key = key.replace("_", "-")
            for one in value if isinstance(value, list) else [value]:
                command.append(f"--{key}" if one is None
                               else f"--{key}={one}")
        running.append(subprocess.Popen(command, stdout=subprocess.PIPE,
                                        text=True))
    return [json.loads(p.communicate()[0]) for p in running]


def total(figures, name):
    return sum(f[name] for f in figures)


def check_answers(figures):
    """Fails on an answer that must never come."""
    for f in figures:
        if f["wrong"] or f["cut"] or f["unknown"]:
            raise SystemExit(f"wrong or broken answers: {f}")

"""A fleet of daemons for the benchmarks of control: voters, entries, and a
document of any size."""
import json
import subprocess
import sys
import time

from bench_common import ROOT, metrics, show_logs
from cluster import BACKEND_KEY, wait_until

ADAPTERS = 3  # of each model, as the users have them today
SERVICES = 30
MODELS_TODAY = 34
MODELS_LETTER = 940
CHANGES_A_DAY = 3400
CHANGES_S = CHANGES_A_DAY / 86400
LETTER_DAEMONS = 360
LETTER_ENGINES = 770
LETTER_VOTERS = 7


def model_names(models):
    return [f"model-{i:04}" for i in range(models)]


def adapter_names(model):
    return [f"{model}-adapter-{k}" for k in range(ADAPTERS)]


def make_document(models, number):
    """A document of MODELS models with their adapters, a run of models for
    each service; NUMBER makes it differ from others in one place."""
    names = model_names(models)
    services = {}
    for k in range(SERVICES):
        own = names[k * models // SERVICES:(k + 1) * models // SERVICES]
        services[f"service-{k}"] = {
            "kind": "model", "importance": 5,
            "models": own + [a for m in own for a in adapter_names(m)],
            "targets": {"first_token_ms": 390, "per_token_ms": 56}}
    services["service-0"]["importance"] = number % 10 + 1
    return {"services": services,
            "adapters": {a: {"base": m, "version": "1", "memory_mb": 200}
                         for m in names for a in adapter_names(m)},
            "models": {m: {"version": "1", "memory_mb": 14000,
                           "kv_cache_mb": 4000} for m in names}}


def engine_report(number, engines, models):
    """The whole announcement of engine NUMBER of ENGINES, which hold MODELS
    models among them, each once and beside its adapters."""
    own = model_names(models)[number * models // engines:
                              (number + 1) * models // engines]
    sizes = {m: 18000 for m in own}
    sizes.update({a: 200 for m in own for a in adapter_names(m)})
    return {"name": f"engine-{number:04}", "incarnation": 1, "kind": "engine",
            "service": "", "address": "127.0.0.1:9", "region": "local",
            "zone": "abc"[number % 3], "accelerators": 8,
            "memory_mb": 1000000, "fenced": True, "leaving": False,
            "token": 0, "load": {"running": 3, "waiting": 0, "kv_used_mb": 900,
                                 "tokens_per_s": 1800},
            "copies": [{"model": name, "version": "1", "memory_mb": mb,
                        "phase": "ready"} for name, mb in sizes.items()]}


class Fleet:
    """SIZE daemons, VOTERS of them voters and no entries; the rest entries.
    All have a document of MODELS models in force, and ENGINES stand-ins of
    engines report to the entries."""

    def __init__(self, bench, size, models=MODELS_TODAY, voters=3, engines=0):
        self.c = bench.cluster()
        self.models = models
        self.announcers = None
        try:
            self.voters = self.c.add_voters(
                [f"control-{i}" for i in range(voters)], ["control"])
            self.entries = [self.c.add(f"entry-{i:03}", ["entry"],
                                       "abc"[i % 3])
                            for i in range(size - voters)]
            self.daemons = self.voters + self.entries
            self.c.start(*self.voters)
            self.leader = self.c.wait_leader()
            self.version = 0
            self.c.start(*self.entries)
            wait_until("the first document", lambda: self.submit())
            wait_until("all daemons to join", self._joined)
            self.wait_in_force()
            if engines > 0:
                self._announce(engines)
        except BaseException:
            show_logs(self.c)
            self.close()
            raise

    def _announce(self, n):
        p = subprocess.Popen([sys.executable, ROOT / "bench/announcers.py"],
                             stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                             text=True)
        self.announcers = p
        entries = self.entries
        order = {"key": BACKEND_KEY, "engines": [
            {"entry": entries[i % len(entries)].callers,
             "report": engine_report(i, n, self.models)} for i in range(n)]}
        p.stdin.write(json.dumps(order) + "\n")
        p.stdin.flush()
        line = p.stdout.readline()
        if line != "ready\n":
            raise SystemExit(f"The stand-ins of engines failed: {line}")
        wait_until("the engines", lambda: len(
            self.leader.status()["backends"]) == n)

    def _joined(self):
        return len(self.leader.status()["members"]) >= len(self.entries)

    def submit(self, by=None):
        """Submits the next version; returns whether it was accepted."""
        n = self.version
        a = (by or self.leader).submit(n, f"change-{n}",
                                       make_document(self.models, n))
        if a.status != 200:
            return False
        self.version = a.json["version"]
        return True

    def in_force(self, daemon):
        return metrics(daemon).get("document_version", 0) >= self.version

    def wait_in_force(self):
        """Until each daemon has the newest version; returns when (monotonic)
        each was seen to."""
        seen = {}
        end = time.monotonic() + 60
        while len(seen) < len(self.daemons):
            for d in self.daemons:
                if d not in seen and self.in_force(d):
                    seen[d] = time.monotonic()
            if time.monotonic() > end:
                raise SystemExit("A change did not come into force in 60 s.")
        return seen

    def close(self):
        if self.announcers is not None:
            self.announcers.stdin.close()
            self.announcers.stdout.close()
            self.announcers.wait()
        self.c.close()

"""A fleet of daemons for the benchmarks of control: voters, entries, and a
document of any size."""
import time

from bench_common import metrics
from cluster import wait_until

ADAPTERS = 3  # of each model, as the users have them today
MODELS_TODAY = 34
MODELS_LETTER = 940
CHANGES_A_DAY = 3400
CHANGES_S = CHANGES_A_DAY / 86400
LETTER_DAEMONS = 360
LETTER_VOTERS = 7


def make_document(models, number):
    """A document of MODELS models and their adapters, in ten services; NUMBER
    makes it differ from others in one place."""
    names = [f"model-{i:04}" for i in range(models)]
    adapters = {f"{name}-adapter-{k}": {"base": name, "version": "1",
                                        "memory_mb": 200}
                for name in names for k in range(ADAPTERS)}
    every = names + list(adapters)
    services = {f"service-{k}": {"kind": "model", "models": every[k::10],
                                 "importance": 5,
                                 "targets": {"first_token_ms": 390,
                                             "per_token_ms": 56}}
                for k in range(10)}
    services["service-0"]["importance"] = number % 10 + 1
    return {"services": services, "adapters": adapters,
            "models": {name: {"version": "1", "memory_mb": 14000,
                              "kv_cache_mb": 4000} for name in names}}


class Fleet:
    """SIZE daemons, VOTERS of them voters and no entries; the rest entries.
    All have a document of MODELS models in force."""

    def __init__(self, bench, size, models=MODELS_TODAY, voters=3):
        self.c = bench.cluster()
        self.models = models
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
        except BaseException:
            self.c.close()
            raise

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
        self.c.close()

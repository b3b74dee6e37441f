"""What the cases of this review share: a small deployment of the release build
on loopback, with the stand-ins of tests/, and a record of what was seen."""
import os
import pathlib
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.dont_write_bytecode = True

from cluster import Cluster, wait_until  # noqa: E402
import platform_fakes  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
NET = 91
LIMIT_S = 110.0        # of a whole case
CONTACT_S = 3.0        # contact_ms of the site that claim.txt names
CONFIG_APPLY_S = 2.0   # config_apply_ms
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One run: `say` writes to the record, `play` ends the process."""

    def __init__(self, folder):
        self.record = open(pathlib.Path(folder) / "record.txt", "w",
                           encoding="utf-8")
        self.begun = time.monotonic()
        self._lock = threading.Lock()
        self.say(f"trouble: {TROUBLE}")

    def now(self):
        return time.monotonic() - self.begun

    def say(self, text):
        with self._lock:
            self.record.write(f"{self.now():8.3f} {text}\n")
            self.record.flush()

    def play(self, run):
        """Calls RUN (cluster, case), which returns what broke the rule."""
        cluster = None
        try:
            cluster = Cluster(ROOT / "target", NET)
            threading.Thread(target=self._watch, args=[cluster],
                             daemon=True).start()
            found = run(cluster, self)
            code = BROKEN if found else HELD
            for one in found:
                self.say(f"broken: {one}")
        except BaseException as e:  # a case that could not run says so
            self.say(f"not run: {e!r}")
            code = NOT_RUN
        finally:
            if cluster is not None:
                cluster.close()
        self.say(f"exit {code}")
        print(f"exit {code}, see {self.record.name}", flush=True)
        os._exit(code)

    def _watch(self, cluster):
        time.sleep(LIMIT_S)
        self.say(f"not run: not over after {LIMIT_S} s")
        cluster.kill(*cluster.processes())
        os._exit(NOT_RUN)


def log_of(one):
    return one.log.read_text(errors="replace") if one.log.exists() else ""


def leader_of(some):
    """The instance of SOME that leads, by the last words of the logs."""
    best = None
    for one in some:
        if not one.alive():
            continue
        term, leads = 0, False
        for line in log_of(one).splitlines():
            if "Leads in term" in line:
                term = int(line.split("Leads in term")[1].strip(" .\"}"))
                leads = True
            elif "Leads no more" in line:
                leads = False
        if leads and (best is None or term > best[0]):
            best = (term, one)
    return best[1] if best else None


def wait_leader(some):
    return wait_until("a leader", lambda: leader_of(some))

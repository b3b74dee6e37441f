"""Requests name an adapter that no config has, by a long name.  The platform
starts each process that ended again after a short delay."""
import http.client
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit_2 import TROUBLE, Case, wait_until  # noqa: E402
from platform_fakes import (Backend, config, instances,  # noqa: E402
                            submit)

MODEL = "m1"
LONG = "Acme_Corp.SUPPORT_BOT.LoRA_R64.EN_DE_FR.2026_12_07.STEP_12000"
SHORT = "Acme_Corp"
ROUNDS = 12
PAUSE_S = 1.0
DELAY_S = 0.5  # until a process is started again
ENDS = 3


class Platform:
    """Starts again what ended.  Its calls must come from one thread."""

    def __init__(self, some, case):
        self.some, self.case = some, case
        self.ends = {one.name: 0 for one in some}
        self.due = {}

    def look(self):
        for one in self.some:
            if one.alive():
                continue
            if one not in self.due:
                self.ends[one.name] += 1
                self.due[one] = self.case.now() + DELAY_S
                self.case.say(f"{one.name} is no more: {one.surprise()}")
            elif self.case.now() >= self.due[one]:
                del self.due[one]
                one.values["bootstrap"] = False
                one.start()

    def wait(self, seconds):
        def over():
            self.look()
            return self.case.now() >= end
        end = self.case.now() + seconds
        wait_until("the pause to be over", over)


def ask(one, rid, name):
    """The status of a request for the adapter NAME, 0 if there was none."""
    try:
        return one.ask("POST", "/talk/x", {
            "Model": f"{MODEL}/{name}", "Token-Counts": "100,10",
            "Prompt-Prefix": "a:60,b:40", "Deadline-Ms": "4000"},
            rid, 5).status
    except (OSError, http.client.HTTPException):
        return 0


def ask_plain(one, rid):
    try:
        return one.ask("GET", "/safe/x", {"Deadline-Ms": "1000"}, rid,
                       2).status
    except (OSError, http.client.HTTPException):
        return 0


def run(cluster, case):
    some = instances(cluster, disks=3, plain=2)
    core = some[:3]
    backends = [Backend(cluster, "i-app", "app"),
                Backend(cluster, "i-llm", "llm", models=[MODEL])]
    submit(some, config(1, models=[MODEL], adapters=4))
    for one in some:
        wait_until(f"{one.name} to serve", lambda one=one: one.ask(
            "GET", "/safe/x").status == 200)
    case.say("all instances serve")
    platform = Platform(some, case)
    name = LONG if TROUBLE else SHORT
    plain, failed = 0, 0
    for i in range(ROUNDS):
        for one in some:
            if one.alive():
                status = ask(one, f"adapter{i}-{one.name}", name)
                case.say(f"{one.name}: {MODEL}/{name}: {status}")
        platform.wait(PAUSE_S)
        for one in some:
            plain += 1
            failed += ask_plain(one, f"plain{i}-{one.name}") != 200
        platform.wait(PAUSE_S)
    case.say(f"{failed} of {plain} other requests got no 200")
    case.say(f"ends: {platform.ends}")
    for b in backends:
        b.close()
    found = []
    for what, of, least in (
            ("core machines", core, (len(core) + 1) // 2),
            ("machines", some, max(2, -(-len(some) // 10)))):
        often = [one.name for one in of if platform.ends[one.name] >= ENDS]
        if len(often) >= least:
            found.append(f"Fault: {often} of {len(of)} {what} ended by "
                         f"themselves {ENDS} times or more")
    return found


Case(HERE).play(run)

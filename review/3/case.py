#!/usr/bin/env python3
"""An engine starts again under its id.  A check-in of its earlier boot, which
said that it was leaving, arrives seconds late.  The engine of now is taken for
leaving, and is never given a request again."""
import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import (TROUBLE, Backend, config, instances, main, request,  # noqa: E402
                      route, submit, wait_until)

RETRY_S = 1.0     # without an answer, the next daemon is called
DRAIN_S = 2.0     # from the acknowledgement until the earlier boot exits
LATE_S = 6.0      # the check-in that was held up, from its sending
SETTLE_S = 3.0    # from then on until the answers are counted
COUNT_S = 20.0
SERVICES = ("one", "two")  # each with an engine and a route of its own


def check_in_body(b, state, seq):
    return {"service": b.service, "address": b.address, "zone": b.zone,
            "version": b.version, "slots": b.slots, "state": state,
            "cold_left_ms": 0, "seq": seq, "born": b.born}


def restart(b):
    """B ends and starts again: its connections end, its count of check-ins
    starts anew, and its time of birth is another."""
    for one in list(b.connections):
        try:
            one.shutdown(2)
        except OSError:
            pass
    b.born = int(time.time() * 1000)
    b._seq = 0


def case(c, record):
    some = instances(c, disks=3, plain=1)
    submit(some, config(1, [{"name": s, "health_path": "/health",
                             "max_conns": 100} for s in SERVICES],
                        [route(f"r-{s}", f"/{s}/", "safe", s)
                         for s in SERVICES]))
    born = int(time.time() * 1000)
    first, other = (Backend(c, f"i-{s}", s, born=born) for s in SERVICES)
    counting, lock = threading.Event(), threading.Lock()
    end, answers = threading.Event(), {s: {} for s in SERVICES}

    def ask(one, service, rid):
        try:
            return one.ask("GET", f"/{service}/x", {"Deadline-Ms": "2000"},
                           rid, 3).status
        except (OSError, http.client.HTTPException) as e:
            return type(e).__name__

    for one in some:
        for s in SERVICES:
            wait_until(f"{s} at {one.name}",
                       lambda one=one, s=s: ask(one, s, "w") == 200)
    record("both services are served at all instances")

    def demand(n):
        i = 0
        while not end.wait(0.1):
            i += 1
            s = SERVICES[i % 2]
            status = ask(some[n % len(some)], s, f"q{n}-{i}")
            if counting.is_set():
                with lock:
                    answers[s][status] = answers[s].get(status, 0) + 1

    for n in range(4):
        threading.Thread(target=demand, args=(n,), daemon=True).start()
    first.homes = [some[0]]
    first._seq += 2
    late = check_in_body(first, "draining", first._seq)
    sent = time.monotonic()
    record(f"the earlier boot of {first.name} reports to {some[-1].name} that "
           f"it is draining; the check-in is held up on its way: {late}")
    time.sleep(RETRY_S)
    first.state = "draining"
    record(f"without an answer it reports to {some[0].name}: "
           f"{first.check_in(some[0])}")
    time.sleep(DRAIN_S)
    restart(first)
    first.state = "ready"
    record(f"{first.name} has exited and started again, born {first.born}")
    time.sleep(max(0.0, sent + LATE_S - time.monotonic()))
    wait_until("the new boot to be served",
               lambda: ask(some[0], "one", "w2") == 200)
    record(f"{first.name} is ready, and its requests are served")
    if TROUBLE:
        a = request(some[-1].control, "PUT", f"/api/instances/{first.name}",
                    late, timeout_s=2)
        record(f"the check-in of the earlier boot arrives: {a.status}")
    time.sleep(SETTLE_S)
    counting.set()
    record("from here on the answers count")
    time.sleep(COUNT_S)
    end.set()
    with lock:
        counts = {s: dict(answers[s]) for s in SERVICES}
    record(f"{first.name} (ready, born {first.born}) checked in "
           f"{first._seq} times since its start")
    asked = {s: sum(n.values()) for s, n in counts.items()}
    served = {s: counts[s].get(200, 0) for s in SERVICES}
    for s in SERVICES:
        record(f"service {s}: {asked[s]} requests, answered {counts[s]}")
    share = served["one"] / asked["one"]
    share_all = sum(served.values()) / sum(asked.values())
    record(f"served: {share:.3f} of the requests for service one, "
           f"{share_all:.3f} of all")
    return share >= share_all / 4


if __name__ == "__main__":
    main(FOLDER, case)

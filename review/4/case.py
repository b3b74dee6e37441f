#!/usr/bin/env python3
"""An engine is cut off from control for some seconds and leaves meanwhile.
Its DELETE is acknowledged, then one of its check-ins that the partition had
held up arrives, and requests are sent to it again."""
import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import (TROUBLE, Backend, config, instances, main, request,  # noqa: E402
                      route, submit, wait_until)

HEARTBEAT_MS = 1200  # as at all sites
CUT_S = 5.0          # srv_cut: for_s (5)
LEAVES_S = 3.0       # after the beginning of the cut
CALL_S = 1.0         # without an answer, the next daemon is called
HELD_UP_S = 1.0      # the check-in, from the end of the cut on
DRAIN_S = 2.0        # drain_ms
CALLERS = 8
SERVES_S = 8.0       # after the acknowledgement: "at times many seconds"


class Server(Backend):
    """Notes when requests reach it.  While it is cut off from control, its
    check-ins fail."""

    def __init__(self, *args, **more):
        self.reached, self.cut_off = [], False
        super().__init__(*args, **more)

    def check_in(self, instance):
        if self.cut_off:
            raise OSError("cut off from control")
        return super().check_in(instance)

    def enter(self):
        self.reached.append(time.monotonic())
        return super().enter()


def case(c, record):
    some = instances(c, disks=3, plain=1, heartbeat_ms=HEARTBEAT_MS)
    submit(some, config(1, [{"name": "app", "health_path": "/health",
                             "max_conns": 100}],
                        [route("r", "/app/", "safe", "app")]))
    one = Server(c, "i-1", "app")  # the only one: all requests are for it
    one.beat_s = HEARTBEAT_MS / 1000
    end = threading.Event()

    def ask(at, rid):
        try:
            return at.ask("GET", "/app/x", {"Deadline-Ms": "2000"}, rid,
                          3).status
        except (OSError, http.client.HTTPException) as e:
            return type(e).__name__

    def demand(n):
        i = 0
        while not end.wait(0.05):
            i += 1
            ask(some[n % len(some)], f"q{n}-{i}")

    for n in range(CALLERS):
        threading.Thread(target=demand, args=(n,), daemon=True).start()
    wait_until(f"{one.name} to be reached", lambda: one.reached)
    time.sleep(3)
    record(f"{one.name} serves")

    # The cut: check-ins and calls of i-1 to control are held up on their way.
    # It begins shortly before a check-in.
    before = one._seq
    wait_until("a check-in", lambda: one._seq > before)
    time.sleep(HEARTBEAT_MS / 1000 - 0.2)
    begun = time.monotonic()
    one.cut_off = True
    one._seq += 1
    held = {"service": "app", "address": one.address, "zone": one.zone,
            "version": one.version, "slots": one.slots, "state": "ready",
            "cold_left_ms": 0, "seq": one._seq}
    record(f"{one.name} is cut off from control, not from the fronts; its "
           f"check-in {held['seq']} (ready) is held up")
    time.sleep(LEAVES_S)
    record(f"{one.name} leaves: its DELETE is held up too, and sent again "
           "each second to the next daemon")
    time.sleep(max(0.0, begun + CUT_S - time.monotonic()))
    record("the cut heals")
    a = request(some[0].control, "DELETE", f"/api/instances/{one.name}",
                timeout_s=1)
    acknowledged = time.monotonic()
    record(f"{some[0].name} answers {a.status} to the DELETE of {one.name}")
    if a.status != 200:
        raise RuntimeError("the DELETE was not acknowledged")
    time.sleep(HELD_UP_S)
    if TROUBLE:
        a = request(some[1].control, "PUT", f"/api/instances/{one.name}",
                    held, timeout_s=1)
        record(f"the check-in {held['seq']} arrives at {some[1].name}: "
               f"{a.status}")
    time.sleep(max(0.0, acknowledged + SERVES_S - time.monotonic()))
    end.set()
    late = [t - acknowledged for t in one.reached
            if t > acknowledged + DRAIN_S]
    record(f"{len(late)} requests reached {one.name} later than {DRAIN_S} s "
           "after the acknowledgement"
           + (f", the first after {late[0]:.3f} s, the last after "
              f"{late[-1]:.3f} s" if late else ""))
    return not late


if __name__ == "__main__":
    main(FOLDER, case)

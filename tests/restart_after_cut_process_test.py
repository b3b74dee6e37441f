#!/usr/bin/env python3
"""All daemons are killed just after the voters have a quorum again, some of
them without their disks: the config is read back in time.  tests/cluster.py
says how to run this file."""
import shutil
import time

from cluster import main, wait_until
from platform_fakes import instances, submit
from relay import BOTH, SWALLOW, ways
from stale_view_process_test import RelayedTest, changed

DISKS = 8
VOTERS = 7
PLAIN = 4
DARK_S = 10.0
REPAIR_S = 1.0    # between a voter's return and the others' loss
DOWN_S = 1.2
READ_BACK_S = 4.4
GIVEN_UP_S = 20


class Restarts(RelayedTest):
    """Some voters miss changes behind a cut, one of the others loses its disk
    and the rest is dark; the cut heals, a config is acknowledged, and all are
    killed."""

    def start(self, some, empty=()):
        for one in some:
            if one in empty:
                shutil.rmtree(one.data_folder, ignore_errors=True)
            one.values["bootstrap"] = False
            one.start()

    def log(self):
        """The leader, and its account of the log."""
        leader = self.leader()
        return leader, self.dump(leader)["control"]

    def members(self):
        """The leader, and the names of all voters."""
        leader, log = self.log()
        return leader, [v["name"] for v in log["voters"]
                        if v["role"] in ("voter", "leaving")]

    def read_back(self, begun, newest):
        """Seconds from BEGUN until the first and the last instance answers."""
        times = {}  # by the instance's name; some may never answer

        def all_answer():
            for one in self.some:
                if one.name in times:
                    continue
                try:
                    status, found = one.get_config()
                except OSError:
                    continue
                if status == 200:
                    self.assertEqual(found, newest)
                    times[one.name] = time.monotonic() - begun
            return len(times) == len(self.some)
        try:
            wait_until("all to answer a read", all_answer, GIVEN_UP_S)
        except AssertionError:
            pass
        return times

    def play(self, wiped, repair_s=REPAIR_S, behind=2):
        self.some = instances(self.c, disks=DISKS, plain=PLAIN)
        self.voters, self.plain = self.some[:DISKS], self.some[DISKS:]
        self.serving(changed(1))
        wait_until("all voters", lambda: len(self.members()[1]) == VOTERS)
        leader, names = self.members()
        voting = [v for v in self.voters if v.name in names]
        behind = [v for v in voting if v is not leader][:behind]
        rest = [v for v in self.voters if v not in behind]
        self.net.set(SWALLOW, ways(BOTH, behind, rest))
        submit(rest, changed(2))
        lost = [v for v in voting if v not in behind and v is not leader][0]
        lost.kill()
        self.start([lost], empty=[lost])
        time.sleep(repair_s)
        dark = [v for v in rest if v is not lost]
        self.c.kill(*dark)
        time.sleep(DARK_S)
        self.net.heal()
        self.start(dark)
        back = time.monotonic()
        submit(self.plain + self.voters, changed(3))
        acked = time.monotonic()
        leader, at_ack = self.members()
        log = self.log()[1]
        status = [(v["name"], v["role"], v.get("match"))
                  for v in log["voters"]]
        self.c.kill(*self.some)
        order = [leader] + [v for v in dark if v is not leader
                            and v.name in at_ack]
        time.sleep(DOWN_S)
        again = time.monotonic()
        self.start(self.some, empty=order[:wiped])
        times = self.read_back(again, changed(3))
        print(f"{self.id().split('.')[-1]}: terms {log['term']}, then "
              f"{self.log()[1]['term']}; voters {names}, behind "
              f"{[b.name for b in behind]}, lost {lost.name}; acknowledged "
              f"{acked - back:.2f} s after the return, voters {status}; "
              f"wiped {[o.name for o in order[:wiped]]}; read back after "
              f"{min(times.values(), default=99):.2f} to "
              f"{max(times.values(), default=99):.2f} s at {len(times)}",
              flush=True)
        self.assertLessEqual(min(times.values(), default=99), READ_BACK_S)

    def test_all_killed(self):
        self.play(wiped=0)

    def test_two_lose_their_disks(self):
        self.play(wiped=2)

    def test_two_lose_their_disks_and_three_were_behind(self):
        self.play(wiped=2, repair_s=0, behind=3)


if __name__ == "__main__":
    main()

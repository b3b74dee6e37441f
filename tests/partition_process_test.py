#!/usr/bin/env python3
"""Partitions: the network between daemons goes silent one way or both ways,
nothing is closed, and what it held back comes late.  tests/relay.py is the
network, tests/cluster.py says how to run this file."""
import time

import changes
import cluster
from cluster import wait_until
from relay import BOTH, FROM, HOLD, PASS, SWALLOW, TO, Relay, ways

CUT_S = 4  # longer than a session
NO_LEADER_S = 3  # several election times


class Partition(changes.ElevenTest):
    """Invariant: whoever is cut off from whom, no accepted change is lost or
    reverted, none is accepted by a leader that was replaced, and in the end
    all daemons have exactly what was accepted."""

    def begin(self):
        self.net = Relay()
        c = self.start(relay=self.net)
        self.watch = changes.Watch(self.all)
        self.voters = [c.daemons[n] for n in changes.VOTERS]
        return c

    def cut(self, mode, some):
        self.mode, self.cut_ways = mode, some
        self.net.set(mode, some)
        self.net.count.clear()

    def heal(self):
        """Heals, after a look whether the cut was one: nothing came through
        and something was kept back."""
        count = self.net.count
        self.assertEqual([w for w in self.cut_ways if count[PASS, w]], [])
        self.assertTrue(any(count[self.mode, w] for w in self.cut_ways))
        self.net.heal()

    def submit_for(self, seconds, daemon):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.accepted.submit(daemon, f"change-{self.accepted.version + 1}")

    def check_all(self):
        self.in_force()
        self.accepted.check_offered(self)
        for d in self.all:
            self.accepted.check(self, d)

    # --- the leader ---

    def wait_successor(self, old):
        """The voter that leads in place of OLD; OLD holds no lease then."""
        def lease(v):
            return v.dump()["control"]["lease"]
        new = wait_until("another leader", lambda: next(
            (v for v in self.voters if v is not old and lease(v)), None))
        self.assertFalse(lease(old))
        return new

    def leader_cut_off(self, mode, shape):
        """It is offered a change at once and another one late."""
        c = self.begin()
        old = c.wait_leader()
        others = [d for d in self.all if d is not old]
        version = self.accepted.version
        self.cut(mode, ways(shape, [old], others))
        self.accepted.offer(old, "at-the-cut")
        new = self.wait_successor(old)
        self.submit_for(CUT_S, others[3])
        late = cluster.Later(lambda: old.submit(
            version, "late", changes.document("late")))
        self.submit_for(CUT_S, others[5])
        self.assertFalse(old.dump()["control"]["lease"])
        self.assertTrue(new.dump()["control"]["lease"])
        self.heal()
        self.assertNotEqual(late.result().status, 200, late.result())
        self.check_all()
        self.watch.finish(self)

    def test_leader_hears_nothing(self):
        self.leader_cut_off(SWALLOW, TO)

    def test_leader_hears_late(self):
        self.leader_cut_off(HOLD, TO)

    def test_leader_is_not_heard(self):
        self.leader_cut_off(SWALLOW, FROM)

    def test_leader_is_heard_late(self):
        self.leader_cut_off(HOLD, FROM)

    def test_leader_cut_off_both_ways(self):
        self.leader_cut_off(SWALLOW, BOTH)

    def test_leader_cut_off_both_ways_and_late(self):
        self.leader_cut_off(HOLD, BOTH)

    # --- two faults at once ---

    def no_quorum(self, c, mode):
        """The leader is cut off, another voter is killed: nothing is accepted
        anywhere.  Returns the killed one."""
        old = c.wait_leader()
        killed = next(v for v in self.voters if v is not old)
        self.cut(mode, ways(BOTH, [old], [d for d in self.all if d is not old]))
        killed.kill()
        wait_until("the old leader to give up", lambda: not old.dump()[
            "control"]["lease"])
        version = self.accepted.version
        self.accepted.offer(old, f"old-{version}")
        self.accepted.offer(self.all[4], f"other-{version}")
        end = time.monotonic() + NO_LEADER_S
        while time.monotonic() < end:
            self.assertIsNone(c.leader())
            for d in (old, *self.all[3:]):
                self.assertEqual(d.document()["version"], version)
        return killed

    def leader_cut_off_and_a_voter_killed(self, mode):
        c = self.begin()
        killed = self.no_quorum(c, mode)
        c.start(killed)
        self.submit_for(1, self.all[6])
        self.heal()
        self.check_all()
        killed = self.no_quorum(c, mode)
        self.heal()
        self.submit_for(1, self.all[7])
        c.start(killed)
        self.check_all()
        self.watch.finish(self)

    def test_leader_cut_off_and_a_voter_killed(self):
        self.leader_cut_off_and_a_voter_killed(SWALLOW)

    def test_leader_cut_off_late_and_a_voter_killed(self):
        self.leader_cut_off_and_a_voter_killed(HOLD)

    # --- another voter ---

    def voter_cut_off(self, shape):
        """The daemons that poll it have each change in force all the same."""
        c = self.begin()
        leader = c.wait_leader()
        cut = next(v for v in self.voters if v is not leader)
        rest = [v for v in self.voters if v is not cut]
        self.cut(SWALLOW, ways(shape, [cut], rest))
        self.submit_for(2 * CUT_S, rest[0])
        self.in_force([d for d in self.all if d is not cut])
        self.heal()
        self.check_all()
        self.watch.finish(self)

    def test_voter_hears_no_voter(self):
        self.voter_cut_off(TO)

    def test_voter_is_heard_by_no_voter(self):
        self.voter_cut_off(FROM)

    def test_voter_cut_off_from_voters(self):
        self.voter_cut_off(BOTH)


if __name__ == "__main__":
    cluster.main()

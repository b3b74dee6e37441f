#!/usr/bin/env python3
"""Voters and their disks: replaced, lost, damaged and torn ones never lose or
fake what was accepted."""
import json
import shutil
import time

import changes
import cluster
from cluster import wait_until

NO_LEADER_S = 4  # several election times
REPLACE_MS = 4000  # the least that is allowed
TORN = b"\x17torn batch" * 20
CLI_NOT_FOUND = 6
CLI_UNAVAILABLE = 7


class VotersTest(cluster.ClusterTest):
    def start(self, names=("v-1", "v-2", "v-3"), spares=(), **timing):
        """Voters, control instances that do not vote yet, two entries."""
        c = self.cluster(timing=timing)
        c.add_voters(names)
        for name in spares:
            c.add(name, ["control", "entry"])
        for name in ("e-1", "e-2"):
            c.add(name, ["entry"])
        c.start()
        self.accepted = changes.Accepted()
        for n in range(5):
            self.accepted.submit(c.daemons["e-1"], f"first-{n}")
        return c

    @staticmethod
    def voters(c):
        """{name: id} of those that vote, as the leader says; None without."""
        leader = c.leader()
        if leader is None:
            return None
        members = leader.dump()["control"]["voters"]
        if any(m["role"] not in ("voter", "learner") for m in members):
            return None  # a change is under way
        names = [m["name"] for m in members if m["role"] == "voter"]
        assert len(names) == len(set(names)) or len(names) > 3, members
        return {m["name"]: m["id"] for m in members if m["role"] == "voter"}

    def wait_voters(self, c, names):
        return wait_until(f"the voters {sorted(names)}", lambda: (
            (v := self.voters(c)) and set(v) == set(names) and v))

    @staticmethod
    def segment(daemon):
        """The newest segment of the voter's log."""
        return sorted((daemon.data_folder / "log").glob("log-*"))[-1]

    def check_all(self, c):
        for d in c.daemons.values():
            if d.alive():
                self.accepted.check(self, d)

    # --- a second loss ---

    def test_second_loss_right_after_a_repair(self):
        """Invariant: when a voter that lost its disk has been repaired, the
        loss of another at once stops nothing and loses nothing."""
        c = self.start()
        leader = c.wait_leader()
        first, second = [d for n, d in c.daemons.items()
                         if n.startswith("v-") and d is not leader]
        old = self.wait_voters(c, ("v-1", "v-2", "v-3"))[first.name]
        first.kill()
        shutil.rmtree(first.data_folder)
        c.start(first)
        wait_until("the repair", lambda: (
            (v := self.voters(c)) and len(v) == 3
            and v.get(first.name) not in (None, old)))
        second.kill()
        self.accepted.submit(c.daemons["e-2"], "after-second-loss")
        leader.kill()
        c.start(leader)
        self.accepted.submit(c.daemons["e-2"], "by-the-repaired-voter")
        self.check_all(c)

    def test_second_loss_right_after_a_replacement(self):
        """Invariant: the same when an operator replaced a dead voter by
        another instance."""
        c = self.start(spares=["v-4"])
        leader = c.wait_leader()
        first, second = [c.daemons[n] for n in ("v-1", "v-2", "v-3")
                         if c.daemons[n] is not leader]
        self.wait_learner(c, "v-4")
        first.kill()
        self.cli(c, "voters", "replace", first.name, "v-4")
        self.wait_voters(c, {leader.name, second.name, "v-4"})
        second.kill()
        self.accepted.submit(c.daemons["e-2"], "after-second-loss")
        self.check_all(c)

    def replaced_by_itself(self, lost_of):
        """The voter that LOST_OF (leader, followers) names is lost for good;
        once the spare has its place, another of the first three is."""
        c = self.start(spares=["v-4"], replace_after_ms=REPLACE_MS)
        watch = changes.Watch(c.daemons.values())
        leader = c.wait_leader()
        voters = [c.daemons[n] for n in ("v-1", "v-2", "v-3")]
        lost = lost_of(leader, [v for v in voters if v is not leader])
        self.wait_learner(c, "v-4")
        lost.kill()
        shutil.rmtree(lost.data_folder)
        self.accepted.submit(c.daemons["e-1"], "after-the-loss")
        rest = [v for v in voters if v is not lost]
        self.wait_voters(c, {"v-4", *(v.name for v in rest)})
        rest[0].kill()
        shutil.rmtree(rest[0].data_folder)
        for n in range(5):
            self.accepted.submit(c.daemons["e-2"], f"after-second-loss-{n}")
        self.check_all(c)
        c.kill(*(d for d in c.daemons.values() if d.alive()))
        c.start(*(d for d in c.daemons.values()
                  if d not in (lost, rest[0])))
        self.accepted.submit(c.daemons["e-1"], "after-a-restart")
        self.check_all(c)
        watch.finish(self)

    def test_spare_replaces_a_lost_voter_by_itself(self):
        """Invariant: a spare takes the place of a voter that was lost for
        good, nobody asks for it; then a second one may be lost as well."""
        self.replaced_by_itself(lambda leader, others: others[0])

    def test_spare_replaces_a_lost_leader_by_itself(self):
        """Invariant: the same when the lost one led."""
        self.replaced_by_itself(lambda leader, others: leader)

    def test_voter_that_restarts_keeps_its_place(self):
        """Invariant: a spare takes no place before the wait is over."""
        c = self.start(spares=["v-4"])
        before = self.wait_voters(c, ("v-1", "v-2", "v-3"))
        self.wait_learner(c, "v-4")
        victim = self.follower(c)
        victim.kill()
        self.accepted.submit(c.daemons["e-1"], "without-one")
        c.start(victim)
        self.accepted.submit(c.daemons["e-1"], "with-all")
        self.assertEqual(self.wait_voters(c, before), before)
        self.check_all(c)

    # --- disks ---

    def test_lost_disk_does_not_vote_as_before(self):
        """Invariant: a voter whose disk is new is no witness of the old log:
        with one that lags it elects nobody, and the change that only the
        third still holds is in force again when that one returns."""
        c = self.start()
        lags, wiped, holds = (c.daemons[n] for n in ("v-1", "v-2", "v-3"))
        old = self.wait_voters(c, ("v-1", "v-2", "v-3"))[wiped.name]
        lags.kill()
        self.accepted.submit(c.daemons["e-1"], "held-by-two")
        c.kill(wiped, holds)
        shutil.rmtree(wiped.data_folder)
        c.start(lags, wiped)
        end = time.monotonic() + NO_LEADER_S
        refused = cluster.Later(lambda: wiped.submit(
            0, "on-a-new-disk", changes.document("no")))
        while time.monotonic() < end:
            self.assertIsNone(c.leader())
        self.assertNotEqual(refused.result().status, 200, refused.result())
        c.start(holds)
        c.wait_leader()
        self.accepted.submit(c.daemons["e-1"], "after-all")
        new = wait_until("the new identity", lambda: (
            (v := self.voters(c)) and len(v) == 3 and v.get(wiped.name)
            not in (None, old) and v))
        self.assertNotIn(old, new.values())
        self.check_all(c)

    def test_damaged_journal_is_set_aside(self):
        """Invariant: a voter whose synced log is damaged in the middle does
        not go on as if it were whole: it rejoins as another identity."""
        c = self.start()
        victim = self.follower(c)
        old = self.wait_voters(c, ("v-1", "v-2", "v-3"))[victim.name]
        victim.kill()
        path = self.segment(victim)
        data = bytearray(path.read_bytes())
        for at in range(len(data) // 2, len(data) // 2 + 8):
            data[at] ^= 0x5a
        path.write_bytes(data)
        c.start(victim)
        wait_until("the new identity", lambda: (
            (v := self.voters(c)) and len(v) == 3
            and v.get(victim.name) not in (None, old)))
        self.assertTrue(list((victim.data_folder / "log").glob("lost-*")))
        self.accepted.submit(c.daemons["e-1"], "after-damage")
        self.check_all(c)

    def test_torn_tail_is_cut(self):
        """Invariant: what a crash leaves of a batch that was never synced is
        cut off, on all voters at once, and the voters stay who they are."""
        c = self.start()
        before = self.wait_voters(c, ("v-1", "v-2", "v-3"))
        voters = [c.daemons[n] for n in before]
        c.kill(*voters)
        for v in voters:
            with open(self.segment(v), "ab") as f:
                f.write(TORN)
        c.start(*voters)
        self.accepted.submit(c.daemons["e-1"], "after-torn-tails")
        self.assertEqual(self.wait_voters(c, before), before)
        self.check_all(c)

    def test_cut_tail_of_one_is_fetched_again(self):
        """Invariant: a voter that lost the end of its log, unseen, gets it
        from the others, under the same identity."""
        c = self.start()
        before = self.wait_voters(c, ("v-1", "v-2", "v-3"))
        victim = self.follower(c)
        victim.kill()
        path = self.segment(victim)
        path.write_bytes(path.read_bytes()[:-5])
        c.start(victim)
        self.accepted.submit(c.daemons["e-1"], "after-cut-tail")
        self.assertEqual(self.wait_voters(c, before), before)
        position = c.wait_leader().dump()["control"]["commit"]
        wait_until("the voter to be up to date", lambda: victim.dump()[
            "control"]["synced"] >= position)
        self.check_all(c)

    @staticmethod
    def follower(c):
        leader = c.wait_leader()
        return next(d for n, d in c.daemons.items()
                    if n.startswith("v-") and d is not leader)

    # --- an operator's changes ---

    def cli(self, c, *args, code=0):
        """Runs a command against an entry, again while it was not run for
        want of a leader or because another change is under way."""
        def run():
            r = c.cli(*args, "--json", server=c.daemons["e-1"])
            return r if r.returncode != CLI_UNAVAILABLE else None
        r = wait_until(" ".join(args), run)
        self.assertEqual(r.returncode, code, (args, r.stdout, r.stderr))
        return json.loads(r.stdout) if r.stdout else None

    def wait_learner(self, c, name):
        def joined():
            return any(v["name"] == name and v["role"] == "learner"
                       for v in self.cli(c, "status").get("voters", []))
        wait_until(f"{name} to join as a learner", joined)

    def test_operator_changes_voters(self):
        """Invariant: add, remove and replace through the command line change
        who votes, one at a time, and nothing accepted is lost: in the end the
        first three are gone and the log goes on without them."""
        c = self.start(spares=["v-4", "v-5", "v-6"])
        watch = changes.Watch(c.daemons.values())
        for name in ("v-4", "v-5", "v-6"):
            self.wait_learner(c, name)
        self.cli(c, "voters", "add", "v-7", code=CLI_NOT_FOUND)
        self.cli(c, "voters", "remove", "v-4", code=CLI_NOT_FOUND)
        self.cli(c, "voters", "add", "v-4")
        self.wait_voters(c, ("v-1", "v-2", "v-3", "v-4"))
        self.accepted.submit(c.daemons["e-1"], "four")
        self.cli(c, "voters", "remove", "v-1")
        self.wait_voters(c, ("v-2", "v-3", "v-4"))
        self.accepted.submit(c.daemons["e-1"], "without-v-1")
        self.cli(c, "voters", "replace", "v-2", "v-5")
        self.wait_voters(c, ("v-3", "v-4", "v-5"))
        self.cli(c, "voters", "replace", "v-3", "v-6")
        self.wait_voters(c, ("v-4", "v-5", "v-6"))
        c.kill(*(c.daemons[n] for n in ("v-1", "v-2", "v-3")))
        self.accepted.submit(c.daemons["e-2"], "by-others")
        watch.finish(self)
        self.check_all(c)


if __name__ == "__main__":
    cluster.main()

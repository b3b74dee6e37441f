#!/usr/bin/env python3
"""Control with real daemons, disks and signals: what operators had accepted
survives, once, whoever is killed or silent."""
import json
import threading
import time

import changes
import cluster
from cluster import wait_until

DATASYNC_MS = 400
ROUNDS = 300
SILENT_S = 3
STALLED_MS = 4000  # and as long again for the folder
STALL_WATCHED_S = 7  # more than two sessions


class ControlTest(changes.ElevenTest):
    def race(self, n, version, base):
        """Both operators submit on top of VERSION through different daemons:
        one wins, the other is told of the conflict."""
        both = {}
        gate = threading.Barrier(2)

        def submit(author, daemon):
            change_id = f"{author}-{n}"
            gate.wait()
            both[author] = daemon.submit(version, change_id,
                                         changes.document(change_id), author)
        threads = [threading.Thread(target=submit, args=(a, self.all[at % 11]))
                   for a, at in (("ada", base), ("bea", base + 1 + n % 10))]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        statuses = {a: r.status for a, r in both.items()}
        self.assertEqual(sorted(statuses.values()), [200, 409], both)
        won, lost = sorted(statuses, key=statuses.get)
        self.assertEqual(both[won].json["version"], version + 1)
        conflict = both[lost].json
        self.assertEqual(conflict["error"], "conflict")
        self.assertEqual(conflict["outcome"], "not-run")
        self.assertEqual(conflict["current_version"], version + 1)
        self.assertIn(f"/services/{lost}-{n}/kind",
                      [d["path"] for d in conflict["differs"]])
        self.accepted.add(both[won].json, f"{won}-{n}", won,
                          changes.document(f"{won}-{n}"))

    def test_restart_of_all_keeps_what_was_accepted(self):
        """Invariants: one change wins a version, the loser is told what
        differs; after SIGKILL of all, in the midst of a change, version,
        text and history are exactly what was accepted."""
        c = self.start(limits={"snapshot_entries": 64})
        for n in range(ROUNDS):
            self.race(n, self.accepted.version, n)
        unknown = self.submit_until_killed(c)
        c.start()
        c.wait_leader()
        self.settle(unknown)
        for one in self.all:
            self.accepted.check(self, one)
        self.race(ROUNDS, self.accepted.version, 0)
        late = self.all[7].submit(1, "late", changes.document("late"))
        self.assertEqual(late.status, 409, late)
        self.assertGreater(self.accepted.version, ROUNDS)

    def settle(self, unknown):
        """Finds out whether the change UNKNOWN was accepted.  A daemon may
        show the document before it until the new leader has committed what
        it found in the log, so this reads after an answer of the log."""
        probe = wait_until("an answer of the log", lambda: (
            a := self.all[5].submit(0, "probe", changes.document("probe"))
        ).status == 409 and a)
        d = wait_until("the document in force", lambda: (
            d := self.all[5].document())
            and d["version"] >= probe.json["current_version"] and d)
        if d["change_id"] == unknown:  # it was accepted, its answer lost
            self.accepted.add(d, unknown, "ada", changes.document(unknown))

    def test_change_without_an_answer_is_settled_on_slow_disks(self):
        """Invariant: a change that a daemon had in force before SIGKILL of
        all is in the history of all after it, though disks are so slow that
        the document before it is shown first."""
        c = self.start()
        self.race(0, self.accepted.version, 0)
        base, text = self.accepted.version, changes.document("lost")
        body = json.dumps({"base_version": base, "change_id": "lost",
                           "document": text})
        self.send_without_reading(self.all[8], body)
        wait_until("the change", lambda: self.all[9].document()["change_id"]
                   == "lost")
        c.kill(*self.all)
        for one in self.all:
            one.slow_disk(DATASYNC_MS, DATASYNC_MS)
        c.start()
        c.wait_leader()
        self.settle("lost")
        self.assertEqual(self.accepted.rows[-1][:2], (base + 1, "lost"))
        for one in self.all:
            self.accepted.check(self, one)

    def test_instance_with_a_stalled_disk_stays_a_member(self):
        """Invariant: an instance is up while it saves a new document, however
        long its disk takes; the document before stays in force there."""
        c = self.start()
        slow, other = self.all[9], self.all[3]

        def known():
            return [m["name"] for m in other.status()["members"]]
        c.kill(slow)
        slow.slow_disk(STALLED_MS)
        c.start(slow)
        self.in_force()
        wait_until("the instance to be a member", lambda: slow.name in known()
                   and slow.dump()["agent"]["joined"])
        before = self.accepted.version
        self.accepted.submit(other, "second")
        self.in_force([other])
        end = time.monotonic() + STALL_WATCHED_S
        while time.monotonic() < end:
            self.assertIn(slow.name, known())
            self.assertEqual(slow.document()["version"], before)
            time.sleep(0.1)
        self.in_force()

    def submit_until_killed(self, c):
        """One change after the other until all daemons are killed; the id of
        the one without an answer."""
        some = threading.Event()

        def kill():
            some.wait()
            c.kill(*self.all)
        killer = threading.Thread(target=kill)
        killer.start()
        for n in range(10000):
            change_id = f"last-{n}"
            text = changes.document(change_id)
            try:
                a = self.all[6].submit(self.accepted.version, change_id, text)
            except (OSError, cluster.http.client.HTTPException):
                break
            self.assertEqual(a.status, 200, a)
            self.accepted.add(a.json, change_id, "ada", text)
            if n == 5:
                some.set()
        killer.join()
        return change_id

    def same_answer(self, first, daemon):
        """DAEMON answers the change "resent" as it was answered first."""
        a = wait_until("an answer", lambda: (
            a := daemon.submit(1, "resent", changes.document("resent"))
        ).status not in (503, 504) and a)
        self.assertEqual(a.status, 200, a)
        again = a.json
        self.assertTrue(again["seen"], again)
        for field in ("version", "position"):
            self.assertEqual(again[field], first[field])

    def test_resent_change_gets_its_first_answer(self):
        """Invariant: a change id is accepted once: after a lost answer, a
        change of the leader and a restart of all, and when other changes
        came since."""
        c = self.start()
        body = json.dumps({"base_version": 1, "change_id": "resent",
                           "document": changes.document("resent")})
        self.send_without_reading(self.all[8], body)
        wait_until("the change", lambda: self.all[9].document()["change_id"]
                   == "resent")
        first = self.all[9].submit(1, "resent", changes.document("resent"))
        self.assertEqual(first.status, 200, first)
        first = first.json
        self.accepted.add(first, "resent", "ada", changes.document("resent"))
        self.same_answer(first, self.all[8])
        self.accepted.submit(self.all[4], "after")
        leader = c.wait_leader()
        leader.kill()
        c.wait_leader()
        self.same_answer(first, self.all[10])
        leader.start()
        c.kill(*self.all)
        c.start()
        self.same_answer(first, self.all[5])
        for d in self.all:
            self.accepted.check(self, d)

    @staticmethod
    def send_without_reading(daemon, body):
        """Submits and closes the connection before the answer."""
        host, port = daemon.operators.split(":")
        with cluster.socket.create_connection((host, int(port))) as s:
            s.sendall(f"POST /operator/submit HTTP/1.1\r\nHost: {host}\r\n"
                      f"Authorization: Bearer {cluster.OPERATORS['ada']}\r\n"
                      "Content-Type: application/json\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            time.sleep(0.1)  # else a close may overtake the request

    # --- leaders ---

    def test_changes_go_on_after_the_leader_is_killed(self):
        """Invariant: the loss of a leader loses nothing and another accepts
        changes; of each leader in turn."""
        c = self.start()
        for n in range(3):
            leader = c.wait_leader()
            leader.kill()
            others = [d for d in self.all if d is not leader]
            self.accepted.submit(others[-1], f"without-{n}")
            self.in_force(others)
            c.start(leader)
            self.in_force([leader])
        for d in self.all:
            self.accepted.check(self, d)

    def test_planned_stops_lose_nothing(self):
        """Invariant: a leader and then all at once end by a planned stop with
        exit code 0; what was accepted is there after the restart."""
        c = self.start()
        leader = c.wait_leader()
        leader.term()
        self.assertEqual(leader.wait(), 0)
        self.accepted.submit(self.all[5], "after-a-planned-stop")
        c.start(leader)
        self.in_force()
        for d in self.all:
            d.term()
        for d in self.all:
            self.assertEqual(d.wait(), 0, d.name)
        c.start()
        for d in self.all:
            self.accepted.check(self, d)

    def test_silent_leader_gets_nothing_accepted(self):
        """Invariant: a leader that was silent while another led never gets a
        change accepted on its old state, never holds its lease again for its
        old term, and nothing reverts anywhere."""
        c = self.start()
        watch = changes.Watch(self.all)
        for n in range(2):
            old = c.wait_leader()
            others = [d for d in self.all if d is not old]
            term = old.dump()["control"]["term"]
            version = self.accepted.version
            old.stop()
            asked = [cluster.Later(lambda: old.dump()["control"]),
                     cluster.Later(lambda: old.submit(
                         version, f"old-{n}", changes.document("old")))]
            c.wait_leader(other_than=[old])
            end = time.monotonic() + SILENT_S
            while time.monotonic() < end:
                self.accepted.submit(others[3], f"new-{n}-{time.monotonic()}")
            old.cont()
            control, answer = (a.result() for a in asked)
            self.assertFalse(control["lease"] and control["term"] == term,
                             control)
            self.assertNotEqual(answer.status, 200, answer)
            self.in_force()
        watch.finish(self)
        for d in self.all:
            self.accepted.check(self, d)

if __name__ == "__main__":
    cluster.main()

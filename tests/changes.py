"""Changes of the document, a watch over what daemons have in force, and the
cluster of 11 daemons that the tests of control use."""
import http.client
import json
import threading

import cluster

VOTERS = ("i-01", "i-02", "i-03")
ASK_S = 2  # a daemon that was stopped answers later


def document(marker):
    """A document of one plain service; MARKER tells it from all others."""
    return {"services": {"rooms": {"kind": "plain",
                                   "targets": {"answer_ms": 250}},
                         marker: {"kind": "plain", "importance": 3}}}


class Accepted:
    """The changes that were answered as accepted: what must be found again.
    DOCUMENT (change id) is what is submitted."""

    def __init__(self, document=document):
        self._document = document
        self.rows = []  # (version, change id, author), rising
        self.last = None
        self._offered = {}  # change id -> what `offer` waits for

    def add(self, answer, change_id, author, text):
        self.rows.append((answer["version"], change_id, author))
        self.last = text

    @property
    def version(self):
        return self.rows[-1][0] if self.rows else 0

    def offer(self, daemon, change_id):
        """Submits on top of the newest accepted change through a daemon that
        may be cut off, beside the test: it may be accepted or not.  Settle it
        by `check_offered`."""
        version, text = self.version, document(change_id)
        self._offered[change_id] = cluster.Later(
            lambda: daemon.submit(version, change_id, text))

    def _adopt(self, daemon):
        """Takes up an offered change that is in force."""
        d = daemon.document()
        if d["version"] == self.version + 1 and d["change_id"] in self._offered:
            self.add(d, d["change_id"], d["author"], document(d["change_id"]))

    def check_offered(self, test):
        """What was answered to offered changes is true."""
        for change_id, later in self._offered.items():
            a = later.result()
            found = [r[0] for r in self.rows if r[1] == change_id]
            if a.status == 200:
                test.assertEqual(found, [a.json["version"]], change_id)
            elif a.status == 409 or a.json["outcome"] == "not-run":
                test.assertEqual(found, [], (change_id, a))
        self._offered = {}

    def submit(self, daemon, change_id, author="ada"):
        """Submits on top of the newest accepted change until that is settled:
        an answer that was lost is asked for again with the same id."""
        text = self._document(change_id)

        def settled():
            a = daemon.submit(self.version, change_id, text, author, ASK_S)
            if a.status in (503, 504):
                return None
            if a.status == 409 and self._offered:
                self._adopt(daemon)
                return None
            assert a.status == 200, a
            return a.json
        answer = cluster.wait_until(f"{change_id} to be accepted", settled)
        assert answer["version"] == self.version + 1, answer
        self.add(answer, change_id, author, text)
        return answer

    def check(self, test, daemon):
        """The daemon has exactly this: version, text and whole history."""
        d = cluster.wait_until(
            f"{daemon.name} to have version {self.version}",
            lambda: ((d := daemon.document()) and d["version"] >= self.version
                     and d))
        test.assertEqual(d["version"], self.version, daemon.name)
        test.assertEqual(d["document"], self.last, daemon.name)
        test.assertEqual(d["change_id"], self.rows[-1][1], daemon.name)
        history = [(h["version"], h["change_id"], h["author"])
                   for h in daemon.history()]
        test.assertEqual(history, self.rows[::-1], daemon.name)


class Watch:
    """Asks every daemon again and again what is in force there and checks
    that versions never fall, restarts included, that positions never fall
    while a process lives, and that a version is the same text everywhere."""

    def __init__(self, daemons, pause_s=0.05):
        self._texts, self._lock = {}, threading.Lock()
        self.faults = []
        self.asked = 0
        self._threads = [cluster.Background(self._asker(d), pause_s)
                         for d in daemons]

    def _asker(self, daemon):
        seen = {"version": 0, "position": 0, "starts": 0}

        def ask():
            starts = daemon.starts
            try:
                a = daemon.ask("GET", "/operator/document", timeout_s=ASK_S)
            except (OSError, http.client.HTTPException):
                return
            if a.status == 503:
                return  # it says that it has no state yet
            found = a.json if a.status == 200 else {"version": 0,
                                                    "position": 0}
            # No process answers before its start is counted.
            same = starts == daemon.starts == seen["starts"]
            self._compare(daemon, seen, found, same)
            seen.update(version=max(found["version"], seen["version"]),
                        position=found["position"], starts=starts)
        return ask

    def _compare(self, daemon, seen, found, same):
        with self._lock:
            self.asked += 1
            if found["version"] < seen["version"]:
                self.faults.append(f"{daemon.name}: version {found['version']}"
                                   f" after {seen['version']}")
            if same and found["position"] < seen["position"]:
                self.faults.append(f"{daemon.name}: position "
                                   f"{found['position']} after "
                                   f"{seen['position']}")
            text = json.dumps(found.get("document"), sort_keys=True)
            if self._texts.setdefault(found["version"], text) != text:
                self.faults.append(f"{daemon.name}: another text of version "
                                   f"{found['version']}")

    def finish(self, test):
        for t in self._threads:
            t.finish()
        test.assertEqual(self.faults, [])
        test.assertGreater(self.asked, 0)


class ElevenTest(cluster.ClusterTest):
    """A test with 11 daemons: 3 voters, entries too, and 8 other entries."""

    def start(self, without_disk=(), **options):
        """11 daemons with their first document in force at each; those named
        WITHOUT_DISK have no data folder."""
        c = self.cluster(**options)
        c.add_voters(VOTERS)
        for i in range(4, 12):
            c.add(f"i-{i:02}", ["entry"], "abc"[i % 3])
        for name in without_disk:
            del c.daemons[name].settings["data_folder"]
        self.all = list(c.start())
        self.accepted = Accepted()
        self.accepted.submit(self.all[3], "first")
        self.in_force()
        return c

    def in_force(self, daemons=None):
        """Waits until the newest accepted version is in force at each."""
        for d in daemons or self.all:
            cluster.wait_until(f"version {self.accepted.version} on {d.name}",
                               lambda: (d.document() or {}).get("version")
                               == self.accepted.version)

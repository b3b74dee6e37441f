#!/usr/bin/env python3
"""Settings read again at run time (signal HUP).  tests/cluster.py says how to
run this file."""
import json
import os
import signal

from cluster import (BACKEND_KEY, PEERS_PORT, ClusterTest, main, request,
                     wait_until)

NEW_BACKEND_KEY = "process-test-new-backends-key"
NEW_ADA_KEY = "process-test-new-ada-key"
ADA_KEY = "process-test-ada-key"
READ_AGAIN = "Read the settings again."
BODY_MAX = 1024
UNAUTHORIZED = 401  # of the announce path
DENIED = 403        # of the operators' paths


def hang_up(daemon, text, sign):
    """Has the daemon read TEXT, and waits until its log says SIGN."""
    before = daemon.log.read_text().count(sign)
    daemon.settings_path.write_text(text)
    os.kill(daemon.pid, signal.SIGHUP)
    wait_until(f"'{sign}' in the log",
               lambda: daemon.log.read_text().count(sign) > before)


def operator_status(daemon, key):
    return request(daemon.operators, "GET", "/operator/status", None,
                   {"Authorization": f"Bearer {key}"}).status


def announce_status(daemon, key):
    """400 with a good key: the report is empty."""
    return request(daemon.callers, "POST", "/v1/backends/announce", {},
                   {"Authorization": f"Bearer {key}"}).status


def post_status(daemon, size):
    return request(daemon.callers, "POST", "/v1/chat/completions",
                   b"x" * size).status


class Reload(ClusterTest):
    def _one(self):
        """A daemon with both roles, ready, and its settings to change."""
        c = self.cluster()
        d, = c.add_voters(["v1"])
        c.start()
        c.wait_leader()
        wait_until("a ready view",
                   lambda: announce_status(d, BACKEND_KEY) == 400)
        return d, json.loads(json.dumps(d.settings))

    def test_new_keys_work_and_old_ones_do_not(self):
        d, changed = self._one()
        changed["keys"]["backends"] = [NEW_BACKEND_KEY]
        changed["keys"]["operators"][0]["key"] = NEW_ADA_KEY
        hang_up(d, json.dumps(changed), READ_AGAIN)
        self.assertEqual(announce_status(d, NEW_BACKEND_KEY), 400)
        self.assertEqual(announce_status(d, BACKEND_KEY), UNAUTHORIZED)
        self.assertEqual(operator_status(d, NEW_ADA_KEY), 200)
        self.assertEqual(operator_status(d, ADA_KEY), DENIED)

    def test_new_limits_hold(self):
        d, changed = self._one()
        self.assertNotEqual(post_status(d, BODY_MAX + 1), 413)
        changed["limits"] = {"max_body_bytes": BODY_MAX, "drain_s": 7,
                             "max_claims": 99}
        # Twice: what was in force before is freed.
        for _ in range(2):
            hang_up(d, json.dumps(changed), READ_AGAIN)
        self.assertEqual(post_status(d, BODY_MAX + 1), 413)
        self.assertNotEqual(post_status(d, BODY_MAX - 1), 413)
        limits = d.dump()["settings"]["limits"]
        self.assertEqual(limits["max_body_bytes"], BODY_MAX)
        self.assertEqual((limits["drain_s"], limits["max_claims"]), (7, 99))

    def test_a_file_that_changes_without_a_signal_is_read(self):
        d, changed = self._one()
        changed["keys"]["backends"] = [NEW_BACKEND_KEY]
        d.settings_path.write_text(json.dumps(changed))
        wait_until("the new key", lambda: announce_status(
            d, NEW_BACKEND_KEY) == 400)
        self.assertEqual(announce_status(d, BACKEND_KEY), UNAUTHORIZED)

    def test_a_daemon_finds_voters_at_addresses_to_join_that_came_later(self):
        c = self.cluster()
        voter, = c.add_voters(["v1"])
        c.start()
        c.wait_leader()
        lost = c.add("e1", ["entry"])
        lost.settings["join"] = [f"{c.host()}:{PEERS_PORT}"]
        c.start(lost)
        lost.settings["join"] = [voter.peers]
        lost.settings_path.write_text(json.dumps(lost.settings))
        wait_until("the view", lambda: lost.status()["ready"])

    def test_a_file_with_findings_changes_nothing(self):
        d, changed = self._one()
        before = d.dump()["settings"]
        changed["keys"]["backends"] = [NEW_BACKEND_KEY]
        changed["log_level"] = "loud"
        for text in json.dumps(changed), "{":
            hang_up(d, text, "the old ones stay")
        self.assertEqual(announce_status(d, BACKEND_KEY), 400)
        self.assertEqual(announce_status(d, NEW_BACKEND_KEY), UNAUTHORIZED)
        self.assertEqual(d.dump()["settings"], before)

    def test_what_needs_a_restart_is_logged_and_stays(self):
        d, changed = self._one()
        changed["zone"] = "z"
        changed["keys"]["peers"] = "process-test-other-peers-key"
        changed["limits"]["snapshot_entries"] = 77
        changed["log_level"] = "debug"
        hang_up(d, json.dumps(changed), READ_AGAIN)
        text = d.log.read_text()
        for field in "/zone", "/keys/peers", "/limits/snapshot_entries":
            self.assertIn(f"A change of {field} needs a restart.", text)
        shown = d.dump()["settings"]
        self.assertEqual(shown["zone"], d.settings["zone"])
        self.assertNotEqual(shown["limits"]["snapshot_entries"], 77)
        self.assertEqual(shown["log_level"], "debug")


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Which incarnation of a backend server leaves, when messages about it are
late or repeated.  tests/cluster.py says how to run this file."""
import http.client
import time

from cluster import main, request, wait_until
from platform_fakes import Backend, config, reset, submit
from platform_process_test import PlatformTest

CALL_S = 1.0    # without an answer, a backend server calls the next instance
DRAIN_S = 2.0   # it serves on from the acknowledgement of its leave
SETTLE_S = 3.0  # until all instances have heard of a leave
COUNT_S = 5.0
PAUSE_S = 0.1
LATE_S = 10.5   # from a restart on, until a removal can't be older
DOWN_S = 5.0    # until one that is silent is down
MANY_SEQ = 9999


class Server(Backend):
    """While it is silent, it does not check in."""
    silent = False

    def check_in(self, instance):
        if self.silent:
            raise OSError("silent")
        return super().check_in(instance)


class LeavesTest(PlatformTest):
    """A platform with one backend server, which serves all requests."""
    has_born = True  # its check-ins say when it started

    def setUp(self):
        super().setUp()
        submit(self.some, config(1))
        self.one = Server(self.c, "i-0", "app",
                          born=self.now() if self.has_born else None)
        self.backends.append(self.one)
        for at in self.some:
            self.wait_served(at)

    @staticmethod
    def now():
        return int(time.time() * 1000)

    def restart(self, *homes):
        """The backend server ends and starts again under its id.  It checks in
        at HOMES."""
        for c in list(self.one.connections):
            reset(c)
        self.one.homes = homes
        self.one.state = "ready"
        self.one.born = self.now()
        self.one._seq = 0
        self.one.silent = False

    def check_in(self, at, state, **fields):
        """The status of one check-in, or None without an answer."""
        body = {"service": "app", "address": self.one.address, "zone": "a",
                "version": "v1", "slots": 8, "cold_left_ms": 0,
                "state": state}
        if self.one.born is not None:
            body["born"] = self.one.born
        return self.call(at, "PUT", body | fields)

    def remove(self, at):
        return self.call(at, "DELETE")

    @staticmethod
    def call(at, method, body=None):
        try:
            return request(at.control, method, "/api/instances/i-0", body,
                           timeout_s=CALL_S).status
        except (OSError, http.client.HTTPException):
            return None

    def silence(self):
        """The backend server checks in no more."""
        self.one.silent = True
        time.sleep(PAUSE_S)

    def leave(self, at):
        """It leaves by a removal at AT, as one that never says draining."""
        self.silence()
        wait_until("the leave to be acknowledged",
                   lambda: self.remove(at) == 200)
        time.sleep(DRAIN_S)

    def statuses(self):
        """The statuses that callers of all instances get."""
        found = set()
        end = time.monotonic() + COUNT_S
        while time.monotonic() < end:
            found |= {at.ask("GET", "/safe/x").status for at in self.some}
            time.sleep(PAUSE_S)
        return found

    def assert_unused(self):
        before = len(self.one.ran)
        self.statuses()
        self.assertEqual(len(self.one.ran) - before, 0)


class Incarnations(LeavesTest):
    """Invariant: a message about one incarnation of a backend server does not
    end the service of the next."""

    def test_late_check_in_of_an_earlier_incarnation(self):
        first, last = self.some[0], self.some[-1]
        born = self.one.born
        self.one.homes = [first]
        self.one.state = "draining"
        wait_until("the leave to be acknowledged",
                   lambda: self.one.check_in(first) == 200)
        time.sleep(DRAIN_S)
        self.restart(first)
        for at in self.some:
            self.wait_served(at)
        status = self.check_in(last, "draining", seq=MANY_SEQ, born=born)
        time.sleep(SETTLE_S)
        self.assertEqual(self.statuses(), {200})
        self.assertEqual(status, 409)

    def test_late_check_in_is_not_acknowledged(self):
        first = self.some[0]
        self.one.homes = [first]
        seq = self.one._seq
        wait_until("later check-ins", lambda: self.one._seq > seq + 2)
        self.assertEqual(self.check_in(first, "ready", seq=seq), 409)
        self.assertEqual(self.check_in(first, "ready", seq=MANY_SEQ), 200)

    def test_leave_that_waits_for_a_leader(self):
        leader = self.leader()
        others = [i for i in self.some if i is not leader]
        self.silence()
        leader.stop()
        self.assertNotEqual(self.remove(self.some[-1]), 200)
        self.restart(*others)
        self.wait_served(others[0])
        time.sleep(SETTLE_S)
        leader.cont()
        time.sleep(SETTLE_S)
        self.assertEqual(self.statuses(), {200})

    def test_late_removal_at_an_instance_that_hung(self):
        first, hung = self.some[0], self.some[-1]
        hung.stop()
        self.assertIsNone(self.remove(hung))
        self.leave(first)
        self.restart(first)
        self.wait_served(first)
        hung.cont()
        time.sleep(SETTLE_S)
        self.assertEqual(self.statuses(), {200})

    def test_late_removal_on_its_way(self):
        first, last = self.some[0], self.some[-1]
        self.leave(first)
        self.restart(first)
        for at in self.some:
            self.wait_served(at)
        status = self.remove(last)
        time.sleep(SETTLE_S)
        self.assertEqual(self.statuses(), {200})
        self.assertEqual(status, 503)

    def test_removal_of_an_incarnation_that_has_served_for_long(self):
        first, last = self.some[0], self.some[-1]
        self.leave(first)
        self.restart(first)
        for at in self.some:
            self.wait_served(at)
        time.sleep(LATE_S)
        self.leave(last)
        self.assert_unused()


class Left(LeavesTest):
    """Invariant: a backend server whose leave was acknowledged gets no new
    requests, whatever of it arrives late."""
    has_born = False

    def leave_down(self):
        """It leaves after its lease has ended."""
        self.silence()
        for at in self.some:
            wait_until(f"{at.name} to take it for down",
                       lambda at=at: at.ask("GET", "/safe/x").status == 503,
                       DOWN_S)
        self.leave(self.some[0])

    def test_late_check_in_after_a_leave_while_down(self):
        self.leave_down()
        self.check_in(self.some[1], "ready", seq=MANY_SEQ)
        self.assert_unused()

    def test_late_check_in_after_a_restart_of_all_instances(self):
        self.leave_down()
        for one in self.some:
            one.kill()
        for one in self.some:
            one.start()
        for one in self.some:
            wait_until(f"{one.name} to be ready", one.is_ready)
        self.check_in(self.some[1], "ready", seq=MANY_SEQ)
        self.assert_unused()


class LeftWithBorn(Left):
    """The same of one whose check-ins say when it started."""
    has_born = True


if __name__ == "__main__":
    main()

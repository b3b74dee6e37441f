#!/usr/bin/env python3
"""Configs of many routes at an instance that takes seconds to read one.
tests/cluster.py says how to run this file."""
from cluster import Later, main, request, wait_until
from platform_fakes import config, route, submit
from platform_process_test import PlatformTest

ROUTES = 600
LOAD_MS = 1500
# An operator moves on when a second has passed without an answer.
OPERATOR_S = 1
LAST = f"/r-{ROUTES - 1}/x"
NOT_FOUND = 404
# No request takes more than a few milliseconds.
CALLER_S = 1
# Far more than the instance needs to read a config.
READING_S = 20


def large(version):
    return config(version, [route("s", "/safe/", "safe")]
                  + [route(f"r-{i}", f"/r-{i}/", "safe")
                     for i in range(ROUTES)])


class LargeConfig(PlatformTest):
    """The last instance, without a disk, is slow to load a config."""

    def setUp(self):
        super().setUp()
        self.slow = self.some[-1]
        self.slow.kill()
        self.slow.slow_json(LOAD_MS)
        self.slow.start()

    def put(self, wanted, limit_s):
        return request(self.slow.control, "PUT", "/api/config", wanted,
                       timeout_s=limit_s).status

    def in_force_at_the_slow_one(self, wanted):
        """Submits WANTED to the others."""
        self.serving()
        submit(self.some[:-1], wanted)
        self.wait_served(self.slow, LAST)

    def served_until(self, done):
        """Asks the slow instance, one request after the other, each of which
        must be answered at once, until DONE ()."""
        while not done():
            try:
                a = self.slow.ask("GET", "/safe/x", timeout_s=CALLER_S)
            except OSError as e:
                self.fail(f"a request was not answered: {e}")
            self.assertEqual(a.status, 200)

    def test_requests_are_served_while_a_document_is_read(self):
        self.serving()
        submit(self.some[:-1], large(5))
        self.served_until(
            lambda: self.slow.ask("GET", LAST, timeout_s=CALLER_S).status
            != NOT_FOUND)

    def test_requests_are_served_while_a_config_is_read(self):
        self.serving()
        later = Later(lambda: self.put(large(5), READING_S))
        self.served_until(lambda: not later.is_alive())
        self.assertEqual(later.result(), 200)

    def test_config_in_force_is_acknowledged_again_at_once(self):
        self.in_force_at_the_slow_one(large(5))
        self.assertEqual(self.put(large(5), OPERATOR_S), 200)

    def test_config_that_was_overtaken_is_acknowledged_again_at_once(self):
        self.in_force_at_the_slow_one(large(5))
        submit(self.some[:-1], config(6))
        wait_until("the newer config",
                   lambda: self.slow.get_config() == (200, config(6)))
        self.assertEqual(self.put(large(5), OPERATOR_S), 200)

    def test_config_is_read_back_at_once(self):
        self.in_force_at_the_slow_one(large(5))
        a = request(self.slow.control, "GET", "/api/config",
                    timeout_s=OPERATOR_S)
        self.assertEqual((a.status, a.json), (200, large(5)))

    def test_time_to_read_a_config_is_not_taken_from_its_deadline(self):
        self.serving()
        self.assertEqual(self.put(large(5), READING_S), 200)
        for one in self.some:
            wait_until("the config",
                       lambda one=one: one.get_config() == (200, large(5)))


if __name__ == "__main__":
    main()

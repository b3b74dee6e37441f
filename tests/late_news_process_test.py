#!/usr/bin/env python3
"""News that the instances must have in time: who of them and of the backend
servers is there, and the operator's config.  tests/cluster.py says how to run
this file."""
import json
import re
import time

from cluster import main, request, wait_until
from platform_fakes import config
from platform_process_test import IN_FORCE_S, PlatformTest

METRICS_PORT = 9464
MODELS = 400   # of a config whose models stand in the document several times
FROZEN_S = 2.0
AWAY_S = 3.0   # without a quorum
CHECK_IN_S = 0.3


def sent_bytes(one):
    """What ONE has sent to other instances since its start."""
    text = request(f"{one.host}:{METRICS_PORT}", "GET", "/metrics").body
    return int(re.search(r"^\S*rpc_bytes_out_total\S* (\d+)$", text.decode(),
                         re.M).group(1))


class Leaves(PlatformTest):
    """Invariant: when an instance acknowledges that a backend server leaves,
    the others learn of it within the drain time."""

    def check_in(self, method, name, body=None):
        """The status of one check-in at an instance without a vote."""
        a = request(self.some[-1].control, method, f"/api/instances/{name}",
                    body, timeout_s=2)
        return a.status

    def without_quorum(self, leave):
        """LEAVE at an instance while two of three voters are frozen."""
        self.serving()
        for one in self.some[:2]:
            one.stop()
        statuses = set()
        end = time.monotonic() + AWAY_S
        while time.monotonic() < end:
            statuses.add(leave())
            time.sleep(CHECK_IN_S)
        for one in self.some[:2]:
            one.cont()
        self.assertNotIn(200, statuses, "acknowledged, though no log has it")
        wait_until("the leave to be acknowledged", lambda: leave() == 200)
        for one in self.some:
            wait_until(f"{one.name} to send it nothing new",
                       lambda one=one: self.unused(one), IN_FORCE_S)

    def unused(self, one):
        gone = self.backends[0]
        before = len(gone.ran)
        for _ in range(4):
            self.assertEqual(one.ask("GET", "/safe/x").status, 200)
        return len(gone.ran) == before

    def test_leave_is_not_acknowledged_before_the_log_has_it(self):
        def leave():
            self.backends[0].state = "draining"
            return self.backends[0].check_in(self.some[-1])
        self.without_quorum(leave)

    def test_removal_is_not_acknowledged_before_the_log_has_it(self):
        def leave():
            self.backends[0].beat_s = 3600  # it checks in no more
            return self.check_in("DELETE", "i-0")
        self.without_quorum(leave)


class Voters(PlatformTest):
    options = {"plain": 6}

    def test_instances_that_poll_a_frozen_voter_stay_named(self):
        """A frozen voter says nothing about those that poll it."""
        self.serving()
        leader = self.leader()
        frozen = next(one for one in self.some[:3] if one is not leader)
        others = [one for one in self.some if one is not frozen]
        frozen.stop()
        missing = set()
        end = time.monotonic() + FROZEN_S
        while time.monotonic() < end:
            for one in others:
                named = one.resolve(zone="none")
                missing |= {o.name for o in others if o.front not in named}
            time.sleep(0.05)
        frozen.cont()
        self.assertEqual(missing, set())


class Configs(PlatformTest):
    def test_config_costs_its_instance_no_more_than_it_has_bytes(self):
        """The document that is made of a config is several times as long, and
        an instance's link may be slow."""
        models = [f"model-number-{i}" for i in range(MODELS)]
        self.serving(config(1), plain=1)
        one, wanted = self.some[-1], config(7, models=models, adapters=3)
        before = sent_bytes(one)
        wait_until("the config to be taken",
                   lambda: one.put_config(wanted) == 200)
        self.assertLess(sent_bytes(one) - before, len(json.dumps(wanted)))


if __name__ == "__main__":
    main()

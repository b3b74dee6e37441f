#!/usr/bin/env python3
"""On the users' platform an engine that has crashed is down before its lease
ends, and its models are served elsewhere.  tests/cluster.py says how to run
this file."""
from cluster import main, wait_until
from platform_fakes import config, reset, submit
from platform_process_test import PlatformTest
from server_limit_process_test import Callers

HEADERS = {"Model": "m1", "Token-Counts": "100,10"}


class CrashedEngine(PlatformTest):
    """Leases last longer than a test waits for anything."""
    options = {"heartbeat_ms": 30000}

    @staticmethod
    def down(one, backend):
        """Whether ONE has logged that BACKEND is down."""
        return any(f'"server":"{backend.name}"' in line
                   and '"now":"down"' in line
                   for line in one.log.read_text(errors="replace")
                   .splitlines())

    def begin(self):
        """An engine with the only copy of a model that all instances ask
        for."""
        engine = self.backend("g-0", "llm", models=["m1"])
        submit(self.some, config(1, models=["m1"]))
        for one in self.some:
            wait_until(f"{one.name} to know {engine.name}",
                       lambda one=one: self.knows(one, engine))
        callers = Callers(self.some, "/talk/x", HEADERS)
        wait_until("the model", lambda: len(engine.ran) > 20)
        return engine, callers

    def test_it_is_down_at_all_instances_and_its_model_is_loaded(self):
        engine, callers = self.begin()
        other = self.backend("g-1", "llm", models=[])
        engine.crash()
        for one in self.some:
            wait_until(f"{one.name} to take {engine.name} for down",
                       lambda one=one: self.down(one, engine))
        wait_until("the model elsewhere", lambda: len(other.ran) > 20)
        answers = callers.finish()
        self.assertEqual(answers[-1].status, 200)

    def test_new_leader_learns_of_it(self):
        engine, callers = self.begin()
        self.leader().kill()
        engine.crash()
        others = [i for i in self.some if i.alive()]
        for one in others:
            wait_until(f"{one.name} to take {engine.name} for down",
                       lambda one=one: self.down(one, engine))
        callers.finish()

    def test_engine_that_breaks_off_but_accepts_connections_stays(self):
        engine, callers = self.begin()
        for one in list(engine.connections):
            try:
                reset(one)
            except OSError:
                pass  # its caller was quicker
        ran = len(engine.ran)
        wait_until("requests after that", lambda: len(engine.ran) > ran + 40)
        callers.finish()
        self.assertFalse(any(self.down(one, engine) for one in self.some))


if __name__ == "__main__":
    main()

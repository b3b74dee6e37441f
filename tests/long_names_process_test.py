#!/usr/bin/env python3
"""Names from outside that are too long, or too many, for the records that they
would go into: whoever sends one is answered, and no process ends.  tests/cluster.py
says how to run this file."""
import http.client
import json
import threading
import time

from cluster import main, request, wait_until
from platform_fakes import config
from platform_process_test import PlatformTest

# Of capitals, each of which has three bytes in its encoded form.
LONG = {n: "A" * n for n in (20, 42, 43, 64, 128, 4000)}
# Instances poll each half second at least; the leader hears each second.
PASSED_ON_S = 2.5
SERVERS = 5000  # records have room for 4,096
CHECKING_IN = 16  # at the same time
CHECKING_IN_S = 5.0
TALK = {"Token-Counts": "10,3", "Prompt-Prefix": "a:6,b:4",
        "Deadline-Ms": "2000"}


class LongNames(PlatformTest):
    def setUp(self):
        super().setUp()
        self.serving(config(1, models=["m1"], adapters=2))

    def check_all_serve(self):
        time.sleep(PASSED_ON_S)
        for one in self.some:
            self.assertTrue(one.alive(), one.name)
            self.assertEqual(one.ask("GET", "/safe/x").status, 200)

    def engine(self):
        b = self.backend("e-0", "llm", models=["m1"])
        for one in self.some:
            wait_until(f"{one.name} to know {b.name}",
                       lambda one=one: self.knows(one, b))
        return b

    def talk(self, one, model, rid):
        return one.ask("POST", "/talk/x", {**TALK, "Model": model}, rid,
                       body={}).status


class Requests(LongNames):
    def test_models_and_adapters_of_requests(self):
        self.engine()
        for one in self.some:
            for n, name in LONG.items():
                for model in name, f"m1/{name}", f"{name}/a1", "m" * n:
                    self.assertEqual(self.talk(one, model, f"{model[:9]}{n}"),
                                     404, (n, model[:9]))
        self.check_all_serve()
        self.assertEqual(self.talk(self.some[0], "m1", "last"), 200)


class Reports(LongNames):
    """An engine reports names that are too long beside one that is not."""

    def play(self, change):
        b = self.engine()
        plain = b.report

        def report():
            told = plain()
            change(told)
            return told
        b.report = report
        # It takes orders for what it reports and does not hold.
        b.order = lambda body, told: 202
        self.check_all_serve()
        for i, one in enumerate(self.some):
            self.assertEqual(self.talk(one, "m1", f"after-{i}"), 200)
        told = [line for one in self.some
                for line in one.log.read_text(errors="replace").splitlines()
                if "whose name is too long" in line]
        self.assertTrue(told and all("e-0" in line for line in told), told)

    def test_models(self):
        self.play(lambda told: told["models"].extend(
            {"name": name, "version": 1, "adapters": []}
            for name in LONG.values()))

    def test_adapters(self):
        self.play(lambda told: told["models"][0]["adapters"].extend(
            LONG.values()))

    def test_adapters_on_their_way(self):
        self.play(lambda told: told.update(incoming=[
            f"m1/{name}@1" for name in LONG.values()]))

    def test_models_in_memory_and_on_disk(self):
        self.play(lambda told: told.update(available={
            "in_memory": list(LONG.values()), "on_disk": list(LONG.values())}))


class CheckIns(LongNames):
    def test_names_of_check_ins_and_leaves(self):
        one = self.some[0]
        for n, name in LONG.items():
            path = f"/api/instances/{name}"
            body = {"service": name, "address": "127.0.0.1:9", "zone": "a",
                    "slots": 8, "state": "ready", "seq": 1,
                    "models": [{"name": name, "version": 1,
                                "adapters": [name]}]}
            status = request(one.control, "PUT", path, body).status
            self.assertEqual(status, 200 if n <= 20 else 400, n)
            self.assertIn(request(one.control, "DELETE", path).status,
                          (200, 503), n)
        self.check_all_serve()

    def test_more_backend_servers_than_there_is_room_for(self):
        """All check in within their leases."""
        one, told = self.some[0], set()
        end = time.monotonic() + CHECKING_IN_S

        def check_in(part):
            conn = http.client.HTTPConnection(one.control, timeout=5)
            n = 0
            while time.monotonic() < end:
                n += 1
                for i in range(part, SERVERS, CHECKING_IN):
                    conn.request("PUT", f"/api/instances/x-{i}", json.dumps(
                        {"service": "other", "address": f"127.0.0.1:{i + 1}",
                         "zone": "b", "slots": 8, "state": "ready",
                         "seq": n}))
                    answer = conn.getresponse()
                    answer.read()
                    told.add(answer.status)
            conn.close()
        threads = [threading.Thread(target=check_in, args=(i,))
                   for i in range(CHECKING_IN)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        self.assertEqual(told, {200, 503})
        self.check_all_serve()


if __name__ == "__main__":
    main()

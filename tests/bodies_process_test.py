#!/usr/bin/env python3
"""Many callers that each send part of a large body, slowly, to a daemon with
little memory.  tests/cluster.py says how to run this file."""
import http.client
import io
import json
import re
import select
import socket
import time

from callers import document, set_fault
from cluster import ClusterTest, Later, main, request, wait_until
from platform_fakes import Backend, HOST, config, instances, route, submit

MEMORY_MB = 100
MB = 1 << 20
SENDERS = 150
BODY_BYTES = 15 * MB
PIECE_BYTES = 32 << 10
ROUNDS = 64  # 2 MB of each
TRICKLE = 5


class Sender:
    """A caller that never finishes its body."""

    def __init__(self, address, path, method="POST", body_bytes=BODY_BYTES,
                 key="none"):
        host, port = address.rsplit(":", 1)
        self._s = socket.create_connection((host, int(port)))
        self._s.setblocking(False)
        self.answer = None  # bytes, once there are any
        self._send(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                   f"Request-Id: big\r\nAuthorization: Bearer {key}\r\n"
                   f"Content-Length: {body_bytes}\r\n\r\n".encode())

    def _send(self, data):
        try:
            self._s.send(data)
        except BlockingIOError:
            pass
        except OSError:
            self.answer = self.answer or b""

    def go_on(self, data):
        if self.answer is not None:
            return
        if select.select([self._s], [], [], 0)[0]:
            try:
                self.answer = self._s.recv(65536)
            except OSError:
                self.answer = b""
            self._s.close()
        else:
            self._send(data)

    def close(self):
        self._s.close()


class _Bytes:
    """What http.client reads an answer from."""

    def __init__(self, data):
        self._data = data

    def makefile(self, *_):
        return io.BytesIO(self._data)


class Bodies(ClusterTest):
    def flood(self, daemon, small, *target, **more):
        """Sends as above, by Sender (*TARGET, **MORE); SMALL () is a request
        whose status is 200.  Returns the answers."""
        some = [Sender(*target, **more) for _ in range(SENDERS)]
        for _ in range(ROUNDS):
            for one in some:
                one.go_on(b"x" * PIECE_BYTES)
        for _ in range(TRICKLE):
            for one in some:
                one.go_on(b"x")
            time.sleep(0.2)
        self.assertEqual(small(), 200)
        for one in some:
            one.close()
        self.assertIsNone(daemon.surprise())
        self.assertLess(self.peak_mb(daemon), MEMORY_MB)
        told = [one.answer for one in some if one.answer]
        self.assertGreater(len(told), SENDERS / 2)
        answers = []
        for data in told:
            answer = http.client.HTTPResponse(_Bytes(data))
            answer.begin()
            self.assertEqual(answer.status, 503)
            self.assertGreater(int(answer.headers["Retry-After"]), 0)
            self.assertEqual(answer.headers["Connection"], "close")
            answers.append(answer)
        return answers

    def check_callers(self, answers):
        for answer in answers:
            self.assertEqual(answer.headers["X-Outcome"], "not-run")
            self.assertEqual(json.loads(answer.read())["error"]["type"],
                             "memory")

    @staticmethod
    def peak_mb(daemon):
        with open(f"/proc/{daemon.pid}/status") as f:
            return int(re.search(r"VmHWM:\s*(\d+) kB", f.read())[1]) / 1024

    def test_entry_stays_within_its_memory(self):
        c = self.cluster(limits={"memory_mb": MEMORY_MB})
        entry = c.add_voters(["v1"])[0]
        c.start()
        c.wait_leader()
        wait_until("the document", lambda: entry.submit(
            0, "first", document(services={"doors": {"kind": "plain"}})
        ).status == 200)
        s = c.service("d1", "doors")
        wait_until("the service", lambda: request(
            entry.callers, "GET", "/services/doors/state").status == 200)
        set_fault(s, "slow", ms=4000, count=1)
        running = Later(lambda: request(entry.callers, "PUT",
                                        "/services/doors/echo", "running"))
        wait_until("the call to be at work", lambda: request(
            s.address, "GET", "/state").json["running"] > 0)
        self.check_callers(self.flood(
            entry, lambda: request(entry.callers, "PUT",
                                   "/services/doors/echo", "small").status,
            entry.callers, "/services/doors/echo"))
        a = running.result()
        self.assertEqual((a.status, a.body), (200, b"running"))
        metrics = entry.ask("GET", "/metrics").body.decode()
        self.assertGreater(self.metric(
            metrics, "memory_arriving_refused_total"), SENDERS / 2)
        wait_until("nothing to be counted", lambda: self.metric(
            entry.ask("GET", "/metrics").body.decode(),
            "memory_arriving_bytes") == 0)

    @staticmethod
    def metric(text, name):
        return int(re.search(rf"^plantainusher_{name} (\d+)$", text,
                             re.M)[1])

    def test_instance_on_the_platform_stays_within_its_memory(self):
        c = self.cluster()
        some = instances(c)
        front = some[-1]
        front.kill()
        front.values["limits"]["memory_mb"] = MEMORY_MB
        front.start()
        wanted = config(1, [route("s", "/safe/", "safe", timeout_ms=9000)])
        wanted["limits"]["max_body_bytes"] = BODY_BYTES
        submit(some, wanted)
        backend = Backend(c, "i-0", "app")
        self.addCleanup(backend.close)
        wait_until("the service", lambda: front.ask(
            "GET", "/safe/x").status == 200)
        backend.hold_s = 4
        running = Later(lambda: front.ask("GET", "/safe/x", rid="running",
                                          timeout_s=9))
        wait_until("the request to run", lambda: "running" in backend.ran)
        backend.hold_s = 0
        self.check_callers(self.flood(
            front, lambda: front.ask("GET", "/safe/x", rid="small").status,
            front.front, "/safe/x"))
        self.assertEqual(running.result().status, 200)
        self.assertNotIn("big", backend.ran)

    def test_operators_address_stays_within_its_memory(self):
        c = self.cluster(limits={"memory_mb": MEMORY_MB})
        voter = c.add_voters(["v1"])[0]
        c.start()
        c.wait_leader()
        self.flood(voter, lambda: voter.ask("GET", "/operator/status").status,
                   voter.operators, "/operator/check", body_bytes=7 * MB)

    def test_address_for_configs_stays_within_its_memory(self):
        c = self.cluster()
        some = instances(c)
        front = some[-1]
        front.kill()
        front.values["limits"]["memory_mb"] = MEMORY_MB
        front.start()
        submit(some, config(1))
        wait_until("the config", lambda: front.get_config()[0] == 200)
        self.flood(front, lambda: front.get_config()[0], front.control,
                   "/api/config", method="PUT", body_bytes=3 * MB)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Connections that are lost without a sign, and connections that are left in
the midst of an answer, with 11 daemons.  tests/cluster.py says how to run this
file."""
import socket

from callers import (ask, assign, check_whole, document, engines, fleet,
                     ledger, service, together)
from cluster import (CALLERS_PORT, ClusterTest, Daemon, main, request,
                     wait_until)

TOKENS = 20
SLOW_MS = 1000
KEYS = 8


class LostConnections(ClusterTest):
    """Something between the two ends has lost track of what is open: nothing
    written there arrives, no end is told, and new connections work."""

    def _begin(self):
        c = fleet(self, prepare=Daemon.may_lose_connections)
        c.some = engines(c, 2)
        c.rooms = service(c)
        return c

    def _works_again(self, c, marker):
        """A change is accepted and in force everywhere, every entry answers,
        and what may run once does so once."""
        changed = document(services={marker: {"kind": "plain"}})

        def accepted():
            a = c.entries[2].submit(1, marker, changed, timeout_s=5)
            return a if a.status not in (503, 504) else None
        a = wait_until("a change to be accepted", accepted)
        self.assertEqual(a.status, 200, a)
        for d in filter(Daemon.alive, c.daemons.values()):
            wait_until(f"version 2 on {d.name}", lambda: (
                d.document() or {}).get("version") == 2)
        for e in c.entries:
            check_whole(self, c, ask(e.callers, f"{marker} {e.name}", TOKENS),
                        TOKENS)
        for n in range(KEYS):
            self._assigned(c, f"{marker}-{n}")
        ran = [row["key"] for row in ledger(c.rooms, "ran")]
        self.assertEqual(sorted(ran), [f"{marker}-{n}" for n in range(KEYS)])

    @staticmethod
    def _assigned(c, key):
        """Sends KEY through all entries until each knows the result."""
        wait_until(f"the result of {key}", lambda: all(
            r.status == 200 for r in together(
                lambda e: assign(e.callers, key, timeout_s=5), c.entries)))

    def test_all_connections_of_all_daemons_lost(self):
        """Invariant: the loss of every connection open at this time, between
        voters too, stops changes and requests for a while only."""
        c = self._begin()
        for d in c.daemons.values():
            d.lose_connections()
        self._works_again(c, "all-lost")

    def test_all_connections_of_the_leader_lost(self):
        """Invariant: the same for what the leader writes; the others hear
        nothing of it there, though it hears them."""
        c = self._begin()
        c.wait_leader().lose_connections()
        self._works_again(c, "leader-lost")

    def test_leader_killed_while_all_connections_are_lost(self):
        """Invariant: both at once: the two voters left must find each other
        anew."""
        c = self._begin()
        leader = c.wait_leader()
        for d in c.daemons.values():
            d.lose_connections()
        leader.kill()
        self._works_again(c, "both")


class LeftConnections(ClusterTest):
    """An answer that comes after its caller has gone is nobody's."""

    def test_late_answer_goes_to_no_other_caller(self):
        c = fleet(self, document(services={"doors": {"kind": "plain"}}))
        s = c.service("d1", "doors")
        home = next(e for e in c.entries
                    if e.callers == c.entries[0].entries("doors")[0])
        wait_until("the service", lambda: request(
            home.callers, "GET", "/services/doors/state").status == 200)
        for n in range(5):
            self._leave(s, home, f"left {n}")
            a = request(home.callers, "PUT", "/services/doors/echo",
                        f"mine {n}")
            self.assertEqual((a.status, a.body.decode()), (200, f"mine {n}"))

    @staticmethod
    def _leave(s, entry, body):
        """A caller that goes while its call is at work."""
        request(s.address, "POST", "/fake/fault",
                {"kind": "slow", "ms": SLOW_MS, "count": 1})
        with socket.create_connection((entry.host, CALLERS_PORT)) as caller:
            caller.sendall("PUT /services/doors/echo HTTP/1.1\r\nHost: x\r\n"
                           f"Content-Length: {len(body)}\r\n\r\n{body}"
                           .encode())
            wait_until("the call to be at work", lambda: request(
                s.address, "GET", "/state").json["running"] > 0)
        wait_until("the entry to know", lambda: entry.dump()["entry"][
            "requests"] == 0)


if __name__ == "__main__":
    main()

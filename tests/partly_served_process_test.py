#!/usr/bin/env python3
"""Instances that lose their way to a part of the backend servers: what they
reach they serve themselves, the rest through others.  tests/cluster.py says
how to run this file."""
import json

from cluster import main
from partly_cut_off_process_test import CUT_S, PartlyCutOffTest

SETTLED_S = 1.0  # after a cut has begun
ALLOWED = 5      # requests that may fail in any case, and one in:
ALLOWED_ONE_IN = 50
SHUNNED_PART = 10  # one request in so many may meet a server out of reach


class PartlyServed(PartlyCutOffTest):
    """Invariant: an instance that is cut off from some backend servers goes on
    serving by the others, and hands on only what needs those."""

    def settled(self, cut):
        """The requests at CUT that began while it was cut off for a while:
        id -> status."""
        return {rid: status for one in cut
                for at, rid, status in self.asked[one.name]
                if any(SETTLED_S < at - begun < CUT_S
                       for begun in self.cut_at)}

    def events(self, cut, message):
        return [json.loads(line) for one in cut
                for line in one.log.read_text(errors="replace").splitlines()
                if f'"message":"{message}"' in line]

    def check(self, cut):
        """Returns the requests and figures for a message."""
        requests = self.settled(cut)
        relayed = {e["request"] for e in self.events(cut, "Relayed.")}
        minds = [line for one in cut
                 for line in one.log.read_text(errors="replace").splitlines()
                 if "This instance reaches no backend server" in line]
        failed = sum(s != 200 for s in requests.values())
        met = sum(e["request"] in requests and e["why"] == "connect"
                  for e in self.events(cut, "Attempt failed."))
        figures = {"requests": len(requests), "failed": failed,
                   "met lost servers": met,
                   "took itself for cut off": len(minds),
                   "relayed": len(relayed & requests.keys())}
        self.assertGreater(len(requests), 0, figures)
        self.assertLessEqual(failed, ALLOWED + len(requests) / ALLOWED_ONE_IN,
                             figures)
        self.assertEqual(minds, [], figures)
        self.assertLessEqual(met, ALLOWED + len(requests) / SHUNNED_PART,
                             figures)
        return sorted(relayed & requests.keys()), figures

    def test_most_servers_of_each_service_are_lost(self):
        cut = self.some[-3:]
        self.cut_parts(cut)
        relayed, figures = self.check(cut)
        self.assertLessEqual(len(relayed), ALLOWED, figures)

    def test_all_servers_of_one_service_are_lost(self):
        cut = self.some[-3:]
        self.cut_parts(cut, lambda _: [b for b in self.backends
                                       if b.models is not None])
        relayed, figures = self.check(cut)
        self.assertEqual([r for r in relayed if not r.startswith("talk-")],
                         [], figures)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""While the disks of a quorum of voters end no sync, nothing is committed: the
logs tell so, and why.  tests/cluster.py says how to run this file."""
from cluster import main, wait_until
from platform_process_test import PlatformTest

DISKS = 3


def lines(one, words):
    """The lines of ONE's log with WORDS."""
    text = one.log.read_text(errors="replace") if one.log.exists() else ""
    return [line for line in text.splitlines() if words in line]


class StalledDisks(PlatformTest):
    options = {"disks": DISKS, "stallable": True}

    def told(self, words):
        """Whether an instance's log has WORDS."""
        return any(lines(one, words) for one in self.some)

    def test_logs_tell_what_holds_up_commits(self):
        self.serving()
        self.leader()
        voters = self.some[:DISKS]
        self.assertFalse(self.told("Nothing was committed for"))
        for one in voters:
            one.stall_disk()
        late = self.backend("late", "app")
        wait_until("an instance to tell of a proposal that is given up",
                   lambda: self.told("A proposal took long."))
        wait_until("the leader to tell of the stall",
                   lambda: self.told("Nothing was committed for"))
        leader = next(one for one in self.some
                      if lines(one, "Nothing was committed for"))
        line = lines(leader, "Nothing was committed for")[0]
        for one in voters:
            self.assertEqual(f"{one.name} has " in line, one is not leader,
                             line)
        self.assertFalse(any(self.knows(one, late) for one in self.some))
        for one in voters:
            one.stall_disk(False)
        wait_until("the end of the stall",
                   lambda: self.told("The stall ended after"))
        for one in voters:
            wait_until(f"{one.name} to tell of its disk",
                       lambda one=one: lines(one, "Writing a batch of"))
        for one in self.some:
            wait_until(f"{one.name} to know {late.name}",
                       lambda one=one: self.knows(one, late))


if __name__ == "__main__":
    main()

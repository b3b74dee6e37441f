#!/usr/bin/env python3
"""On the users' platform a part of prompts that crashes what runs them is
found out by the crashes of different requests, at all instances together, and
requests without that part are served.  tests/cluster.py says how to run this
file."""
import random
import threading
import time

from cluster import Later, main, wait_until
from platform_fakes import config, submit
from platform_process_test import PlatformTest
from streams import RETRY_S, ask

ENGINES = 12
RESTART_S = 3.0
SOUND_CALLERS = 14
BAD_CALLERS = 4
BAD_EVERY_S = 0.6
CONTACT_S = 3.0
CRASHES = 5       # after which the part must be known
REACH_MAX = 3     # requests with the part that reach engines later than that
BEGIN_SHARE = 0.5
QUIET_S = 3.0
TOGETHER_S = 12.0
STALL_S = 9.0
DISKS = 3
COMMON, BAD = "c0", "bad0"
DOCUMENTS = 30
REFUSAL = b"has crashed backend servers"


def prompt(middle, last, bad_at=None, tokens=20):
    """A prompt of COMMON, MIDDLE and LAST, with the bad part in front of the
    part numbered BAD_AT.  Each part has TOKENS or a few more."""
    parts = [COMMON, middle, last]
    if bad_at is not None:
        parts.insert(bad_at, BAD)
    return ",".join(f"{part}:{tokens + i}" for i, part in enumerate(parts))


class Callers:
    """N callers that send requests until stopped, through whichever instance
    is alive; `tries` holds what they got."""

    def __init__(self, test, name, n, bad_at=None, pause_s=0.0):
        self._test, self._name = test, name
        self._bad_at, self._pause_s = bad_at, pause_s
        self._end, self.tries = threading.Event(), []
        self._threads = [threading.Thread(target=self._run, args=(i,),
                                          daemon=True) for i in range(n)]
        for t in self._threads:
            t.start()

    def _run(self, caller):
        draw = random.Random(f"{self._name} {caller}")
        n = 0
        while not self._end.wait(self._pause_s):
            n += 1
            rid = f"{self._name}-{caller}-{n}"
            # Every other document is of this request alone.
            middle = f"d{draw.randrange(DOCUMENTS):x}" if n % 2 else \
                f"e{caller:x}{n:04x}"
            alive = [i for i in self._test.some if i.alive()]
            if not alive:
                continue
            t = ask(draw.choice(alive), rid, f"/talk/{rid}",
                    body=f"body {rid}",
                    prompt=prompt(middle, f"f{caller:x}{n:04x}", self._bad_at,
                                  draw.randint(10, 50)))
            self.tries.append(t)
            if not t.whole:
                time.sleep(RETRY_S)

    def finish(self):
        self._end.set()
        for t in self._threads:
            t.join()
        return self.tries


def begun(tries):
    """The share of TRIES that have got an event."""
    return sum(bool(t.events) for t in tries) / len(tries)


class BadPartTest(PlatformTest):
    """Engines that crash when they write on a prompt with a certain part, and
    are replaced under another name at another address."""
    options = {"plain": 4}
    crash_half = True

    def setUp(self):
        super().setUp()
        self.started = 0
        self._stop = threading.Event()
        for _ in range(ENGINES):
            self.engine()
        submit(self.some, config(1, models=["m1"]))
        for one in self.some:
            for b in list(self.backends):
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
            self.wait_begun(one)
        self._supervisor = threading.Thread(target=self._supervise,
                                            daemon=True)
        self._supervisor.start()

    def tearDown(self):
        self._stop.set()
        self._supervisor.join()
        super().tearDown()

    def engine(self):
        b = self.backend(f"g-{self.started}", "llm",
                         zone="abc"[self.started % 3], models=["m1"])
        self.started += 1
        b.crash_on_part, b.marks = BAD, True
        b.crash_half = self.crash_half
        b.events, b.hold_s = 8, 0.05

    def _supervise(self):
        replaced = set()
        while not self._stop.wait(0.1):
            due = time.monotonic() - RESTART_S
            for b in list(self.backends):
                if b.crashed_at is not None and b.crashed_at <= due \
                        and b not in replaced:
                    replaced.add(b)
                    self.engine()

    def wait_begun(self, one):
        wait_until(f"{one.name} to serve streams", lambda: ask(
            one, f"first-{one.name}",
            prompt=prompt("d0", f"f{one.name}")).whole)

    def crashes(self):
        """When engines crashed, in order."""
        return sorted(b.crashed_at for b in self.backends
                      if b.crashed_at is not None)

    def reached(self, since=0.0):
        """The requests with the part that reached engines later than SINCE."""
        return [rid for b in list(self.backends)
                for at, rid in zip(b.arrived_at, b.ran)
                if rid.startswith("bad") and at > since]

    def known_at(self):
        """When the part must be known."""
        ended = self.crashes()[:CRASHES]
        self.assertTrue(ended, "no engine has crashed")
        return ended[-1] + CONTACT_S

    def check(self, sound, quiet_until, end):
        """BUDGET and LOST, by the SOUND tries, of which the requests with the
        part came from QUIET_UNTIL to END."""
        known = self.known_at()
        late = self.reached(known)
        self.assertLess(known + CONTACT_S, end - 1)
        before = [t for t in sound if t.sent_at < quiet_until]
        settled = [t for t in sound if known + CONTACT_S < t.sent_at < end]
        shares = begun(before), begun(settled)
        print(f"{self.id().split('.')[-1]}: {len(self.crashes())} crashes, "
              f"{len(self.reached())} bad requests reached engines, "
              f"{len(late)} late; sound that begin: {shares[0]:.2f} of "
              f"{len(before)} before, {shares[1]:.2f} of {len(settled)} "
              f"meanwhile")
        self.assertEqual([t.rid for t in sound if REFUSAL in t.refusal], [])
        self.assertLessEqual(len(late), REACH_MAX)
        self.assertGreaterEqual(len(settled), 20)
        self.assertGreaterEqual(shares[1], BEGIN_SHARE * shares[0])

    def sound(self):
        return Callers(self, "sound", SOUND_CALLERS)

    def bad(self, at, name="bad"):
        return Callers(self, name, BAD_CALLERS, at, BAD_EVERY_S)

    def check_place(self, place):
        sound = self.sound()
        time.sleep(QUIET_S)
        quiet_until = time.monotonic()
        bad = self.bad(place)
        time.sleep(TOGETHER_S)
        end = time.monotonic()
        told = bad.finish()
        self.check(sound.finish(), quiet_until, end)
        self.assertTrue(told[-1].status == 503 and REFUSAL in told[-1].refusal,
                        (told[-1].status, told[-1].refusal))
        return told


class BadPart(BadPartTest):
    def test_first_part_crashes_engines(self):
        self.check_place(0)

    def test_second_part_crashes_engines(self):
        self.check_place(1)

    def test_third_part_crashes_engines(self):
        self.check_place(2)


class CutBetweenEvents(BadPartTest):
    """The engines' answers have no length, and what is cut off between two
    events looks whole."""
    crash_half = False

    def test_part_is_found_by_answers_that_look_whole(self):
        self.check_place(1)


class StalledDisks(BadPartTest):
    """From before the first crash on the disks of all voters end no sync, so
    that the log accepts nothing."""
    options = {"disks": DISKS, "plain": 4, "stallable": True}

    def stall(self):
        """Returns when the disks go on."""
        time.sleep(STALL_S)
        end = time.monotonic()
        for one in self.some[:DISKS]:
            one.stall_disk(False)
        return end

    def bad(self, at, name="bad"):
        for one in self.some[:DISKS]:
            one.stall_disk()
        self.stalled = Later(self.stall)
        return super().bad(at, name)

    def test_part_is_known_everywhere_while_nothing_is_committed(self):
        told = self.check_place(2)
        end = self.stalled.result()
        self.assertTrue(any("Nothing was committed for" in one.log.read_text(
            errors="replace") for one in self.some))
        meanwhile = [t for t in told if self.known_at() < t.sent_at < end]
        known = sum(REFUSAL in t.refusal for t in meanwhile)
        print(f"{known} of {len(meanwhile)} requests with the part refused as "
              "such while nothing is committed")
        self.assertGreaterEqual(len(meanwhile), 5)
        self.assertEqual(known, len(meanwhile))


class RestartedInstances(BadPartTest):
    def test_part_is_known_after_a_restart_of_all_instances(self):
        sound = self.sound()
        time.sleep(QUIET_S)
        bad = self.bad(1)
        wait_until("the crashes", lambda: len(self.crashes()) >= 3)
        time.sleep(CONTACT_S)
        bad.finish()
        self.assertEqual([t.rid for t in sound.finish()
                          if REFUSAL in t.refusal], [])
        self.c.kill(*self.some)
        for one in self.some:
            one.values["bootstrap"] = False
            one.start()
        for one in self.some:
            self.wait_begun(one)
        restarted = time.monotonic()
        bad = self.bad(1, "bad-again")
        time.sleep(CONTACT_S)
        bad.finish()
        self.assertEqual(self.reached(restarted), [])

    def test_instances_that_have_just_started_refuse_no_sound_request(self):
        sound = self.sound()
        time.sleep(QUIET_S)
        quiet_until = time.monotonic()
        bad = self.bad(1)
        for one in self.some[3:5]:
            one.kill()
            one.start()
        time.sleep(TOGETHER_S)
        end = time.monotonic()
        bad.finish()
        self.check(sound.finish(), quiet_until, end)


if __name__ == "__main__":
    main()

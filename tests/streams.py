"""Callers that take up broken streams again, at any instance, and what is
promised of such a stream: one software version from its first event to its
last, each event once and in order.  Built on platform_fakes.py."""
import http.client
import random
import threading
import time
import zlib

from cluster import wait_until
from platform_fakes import HOST, config
from platform_process_test import PlatformTest

TRIES_MAX = 4
NOT_RUN = (408, 421, 429, 503)
RETRY_S = 0.2
EVENTS = 8
EVENT_S = 0.05
STREAMS = 60
VERSIONS = ("v1.1", "v1.2")
EACH = 3


class Try:
    """One answer: its status (0: none came), the events that arrived whole
    as (number, version, server), and whether it ended in order."""

    def __init__(self, rid):
        self.rid, self.status, self.events = rid, 0, []
        self.whole = False
        self.retry_after_s = 0.0
        self.resumes = None  # the id that it named
        self.refusal = b""   # the body of another answer than 200
        self.sent_at = time.monotonic()
        self.took_s = 0.0


class Stream:
    """One stream over all its tries."""

    def __init__(self, tries):
        self.tries = tries

    @property
    def events(self):
        return [e for t in self.tries for e in t.events]

    def joined_answers(self):
        """The answers that hold events of two versions."""
        return [f"{t.rid} joins {sorted({v for _, v, _ in t.events})}"
                for t in self.tries if len({v for _, v, _ in t.events}) > 1]

    def wrongs(self, last):
        """What a stream of LAST events has broken."""
        found = self.joined_answers()
        numbers = [n for n, _, _ in self.events]
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"{self.tries[0].rid} has events {numbers}")
        for t in self.tries:
            if t.whole and t.events and t.events[-1][0] != last:
                found.append(f"{t.rid} ends as whole at {t.events[-1][0]}")
        versions = {v for _, v, _ in self.events}
        if len(versions) > 1 and not found:
            found.append(f"{[t.rid for t in self.tries]} join "
                         f"{sorted(versions)} over their tries")
        return found


def _read(response, answer, leave_at):
    """Reads events into ANSWER.  Unlike readline, read1 raises if a chunked
    answer breaks off."""
    number, rest = None, b""
    while True:
        more = response.read1(65536)
        if not more:
            answer.whole = True
            return
        *lines, rest = (rest + more).split(b"\n")
        for line in lines:
            if line.startswith(b"id: "):
                number = int(line[4:])
            elif line.startswith(b"data: "):
                _, version, server = line[6:].decode().split()
                answer.events.append((number, version, server))
                if leave_at is not None and number >= leave_at:
                    return


def ask(one, rid, path="/talk/x", after=0, resumes=None, leave_at=None,
        model="m1", deadline_ms=4000, prompt=None, body=None):
    """One try at ONE that leaves after event LEAVE_AT."""
    t = Try(rid)
    t.resumes = resumes
    headers = {"Host": HOST, "Request-Id": rid, "Model": model,
               "Deadline-Ms": str(deadline_ms), "Token-Counts": "100,10",
               # Prompts that begin alike would meet at one engine.
               "Prompt-Prefix": prompt
               or f"{zlib.crc32(rid.encode()):x}:60,b2:40"}
    if after > 0:
        headers["Last-Event-Id"] = str(after)
    if resumes is not None:
        headers["Resumes"] = resumes
    begun = time.monotonic()
    c = http.client.HTTPConnection(one.front, timeout=deadline_ms / 1000)
    try:
        c.request("POST", path, body, headers)
        r = c.getresponse()
        t.status = r.status
        t.retry_after_s = float(r.getheader("Retry-After", 0))
        if r.status == 200:
            _read(r, t, leave_at)
        else:
            t.refusal = r.read()
    except (OSError, http.client.HTTPException):
        t.whole = False
    finally:
        c.close()
        t.took_s = time.monotonic() - begun
    return t


def follow(choose, rid, leave_at=None, model="m1", deadline_s=4.0):
    """A stream over its tries: at CHOOSE () first, left after LEAVE_AT, and
    taken up again at CHOOSE () until it ends, or the tries or the time."""
    end = time.monotonic() + deadline_s
    tries, first, after = [], None, 0
    while len(tries) < TRIES_MAX and time.monotonic() + RETRY_S < end:
        left_ms = int((end - time.monotonic()) * 1000)
        t = ask(choose(), f"{rid}.{len(tries)}", after=after, resumes=first,
                leave_at=leave_at if not tries else None, model=model,
                deadline_ms=left_ms)
        tries.append(t)
        if t.events:
            after = t.events[-1][0]
            first = first or t.rid
        if t.whole or t.status not in (0, 200, *NOT_RUN):
            break
        time.sleep(min(max(RETRY_S, t.retry_after_s),
                       max(0.0, (end - time.monotonic()) / 3)))
    return Stream(tries)


def shares(streams):
    """(begun, new tries, gone on, tries that took a stream up)."""
    new = [t for s in streams for t in s.tries if t.resumes is None]
    again = [t for s in streams for t in s.tries if t.resumes is not None]
    return (sum(bool(t.events) for t in new), len(new),
            sum(bool(t.events) or t.whole for t in again), len(again))


class StreamVersionsTest(PlatformTest):
    """A platform whose engines serve one model in several software
    versions."""
    options = {"plain": 4, "cuttable": True}

    def setUp(self):
        super().setUp()
        self.random = random.Random(7)

    def engines(self, versions=VERSIONS, each=EACH, attempts=2):
        """EACH of each of VERSIONS, known at all instances; a stream may be
        sent to ATTEMPTS of them."""
        wanted = config(1, models=["m1"])
        for r in wanted["routes"]:
            r["max_attempts"] = attempts
        self.serving(wanted)
        made = []
        for v in versions:
            for i in range(each):
                b = self.backend(f"g-{v}-{i}", "llm", zone="abc"[i % 3],
                                 models=["m1"])
                b.version, b.marks = v, True
                b.events, b.hold_s = EVENTS, EVENT_S
                made.append(b)
        for one in self.some:
            for b in made:
                wait_until(f"{one.name} to know {b.name}",
                           lambda one=one, b=b: self.knows(one, b))
            wait_until(f"{one.name} to serve streams", lambda one=one: ask(
                one, f"first-{one.name}").whole)
        # The first check-ins may have gone without the version.
        time.sleep(1.0)
        return made

    def streams(self, n=STREAMS, choose=None, leave=False, meanwhile=None):
        """N streams, a few at once."""
        choose = choose or (lambda: self.random.choice(
            [i for i in self.some if i.alive()]))
        made, threads = [], []

        def one(i):
            leave_at = self.random.randint(1, EVENTS - 2) if leave else None
            made.append(follow(choose, f"s{i}", leave_at))
        for i in range(n):
            threads.append(threading.Thread(target=one, args=(i,)))
            threads[-1].start()
            time.sleep(EVENT_S)
            if meanwhile is not None and i == n // 3:
                meanwhile()
        for t in threads:
            t.join()
        return made

    def check(self, made, again_min):
        """Nothing is joined, and streams go on as often as new ones begin."""
        self.assertEqual([w for s in made for w in s.wrongs(EVENTS)], [])
        begun, new, gone_on, again = shares(made)
        self.assertGreaterEqual(again, again_min)
        self.assertGreaterEqual(2 * gone_on * new, begun * again,
                                f"{gone_on} of {again} went on, "
                                f"{begun} of {new} began")

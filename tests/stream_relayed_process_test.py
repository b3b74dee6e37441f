#!/usr/bin/env python3
"""Backend servers of two software versions in one service: a stream that is
relayed to another instance goes on at the version that began it.
tests/cluster.py says how to run this file."""
import threading
import time

from cluster import main
from streams import EVENT_S, StreamVersionsTest, follow

ROUNDS = 3
CUT = 2       # instances in a round
STREAMS = 8


class Relayed(StreamVersionsTest):
    def round(self, number, engines):
        """Streams at instances that lose their way to the backend servers,
        and their streams there, in the middle of them."""
        cut = self.some[number * CUT:(number + 1) * CUT]
        made, threads = [], []

        def one(i):
            at = cut[i % CUT]
            made.append(follow(lambda: at, f"s{number}-{i}"))
        for i in range(STREAMS):
            threads.append(threading.Thread(target=one, args=(i,)))
            threads[-1].start()
        time.sleep(3 * EVENT_S)
        for i in cut:
            i.cut_servers("refuse")
        for b in engines:
            b.cut_at = time.monotonic()
        for t in threads:
            t.join()
        for i in cut:
            i.cut_servers(None)
        time.sleep(1.0)
        return made

    def go_on(self, attempts):
        engines = self.engines(attempts=attempts)
        made = [s for n in range(ROUNDS) for s in self.round(n, engines)]
        self.assertEqual([w for s in made for w in s.joined_answers()], [])
        # Each was cut; it may go on at the engine that began it.
        self.assertGreater(sum(s.tries[0].whole for s in made),
                           ROUNDS * STREAMS // 2)

    def test_stream_goes_on_through_a_neighbour(self):
        self.go_on(attempts=6)

    def test_stream_goes_on_through_a_neighbour_at_its_last_attempt(self):
        self.go_on(attempts=2)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Backend servers of two software versions in one service: a stream goes on
within one answer at the version that began it.  tests/cluster.py says how to
run this file."""
from cluster import main
from streams import StreamVersionsTest


class OneAnswer(StreamVersionsTest):
    def test_stream_cut_at_a_backend_server_goes_on_within_one_answer(self):
        for b in self.engines():
            b.cut = b.name.endswith("-0")
        made = self.streams()
        self.assertEqual([w for s in made for w in s.joined_answers()], [])
        gone_on = [s for s in made if s.tries[0].whole
                   and len({g for _, _, g in s.tries[0].events}) > 1]
        self.assertGreater(len(gone_on), 5)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""tests/fuzz-all runs every stateful fuzz of the slices."""
import ast
import fnmatch
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
AT_LEAST = 10


def targets():
    """The table TARGETS of tests/fuzz-all."""
    for node in ast.parse((ROOT / "tests/fuzz-all").read_text()).body:
        if isinstance(node, ast.Assign) and node.targets[0].id == "TARGETS":
            return ast.literal_eval(node.value)
    raise AssertionError("no TARGETS in tests/fuzz-all")


def fuzzes():
    """The properties whose suite is named ...Fuzz: (slice, suite.test)."""
    for source in sorted(ROOT.glob("libplantainusher/*/*_test.cc")):
        for suite, test in re.findall(r"RC_GTEST_PROP \((\w*Fuzz),\s*(\w+)",
                                      source.read_text()):
            yield source.parent.name, f"{suite}.{test}"


class FuzzAll(unittest.TestCase):
    def test_every_stateful_fuzz_is_run(self):
        found = list(fuzzes())
        self.assertGreaterEqual(len(found), AT_LEAST)
        left_out = [f"{name}: {test}" for name, test in found
                    if not any(name == target and any(
                        fnmatch.fnmatchcase(test, pattern)
                        for pattern in tests.split(":"))
                        for target, tests, _ in targets())]
        self.assertEqual(left_out, [])


unittest.main()

#!/usr/bin/env python3
"""No usual build has the deliberate breaks: no_breaks_test.py BINARY [yes].

Looks in BINARY for the names of libplantainusher/base/breaks.h, the variable
that switches them and the function that reads it.  With `yes`, for a build
with PU_BREAKS, all must be there, which shows that the search can fail.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = ROOT / "libplantainusher/base/breaks.h"
ALWAYS = ["PU_BREAK", "pu_break_active"]
AT_LEAST = 15


def main():
    if len(sys.argv) not in (2, 3) or sys.argv[2:] not in ([], ["yes"]):
        sys.exit(__doc__)
    names = re.findall(r'^#define PU_BREAK_\w+ "(.+)"$', HEADER.read_text(),
                       re.M)
    if len(names) < AT_LEAST:
        sys.exit(f"Only {len(names)} names found in {HEADER}.")
    binary = pathlib.Path(sys.argv[1]).read_bytes()
    wanted = names + ALWAYS
    found = [n for n in wanted if n.encode() + b"\0" in binary]
    expected = wanted if sys.argv[2:] else []
    print(f"{len(found)} of {len(wanted)} names found")
    if found != expected:
        sys.exit(f"Found {found}, not {expected}")


main()

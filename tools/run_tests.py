"""Run every test but those that KNOWN-RED.txt lists, and print what it lists.

A line of KNOWN-RED.txt is ``test id | command and seed | seen | cause | issue``. At
most three lines may stand there: a longer list would let faults pile up unseen, so
the run fails instead.
"""

import os
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def read_known_red() -> list[str]:
    """Return the non-empty lines of KNOWN-RED.txt, or none when it is absent."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip()]


def main() -> int:
    """Run the tests and return pytest's exit code."""
    known_red = read_known_red()
    if len(known_red) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt: got {len(known_red)} lines, at most {MAX_KNOWN_RED}")
        return 1
    # Other styles parse the source of a failing test. CPython 3.11 may raise an error
    # there if a finalizer runs meanwhile, and pytest then ends without its report.
    args = [f"--rootdir={ROOT}", "--tb=native", *sys.argv[1:]]
    for line in known_red:
        print(f"KNOWN RED (not run): {line}")
        args.append(f"--deselect={line.split('|')[0].strip()}")
    return int(pytest.main(args))


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # A test that fails can leave a server's threads behind. They would keep the
    # process, and CI with it, alive for good after the last line was printed.
    os._exit(code)

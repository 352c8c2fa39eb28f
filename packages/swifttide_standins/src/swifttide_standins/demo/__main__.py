"""Run the demo: exit status 0 only when every check holds."""

import logging
import signal
import sys
import time

from swifttide_standins.demo._check import check_all
from swifttide_standins.demo._demo_run import DemoRun
from swifttide_standins.demo._report import print_report
from swifttide_standins.launcher import Launcher


def main() -> int:
    """Run the demo and return its exit status."""
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.monotonic()
    with Launcher() as launcher:
        found = DemoRun(launcher).run()
        checks = check_all(found)
        passed = all(check.holds for check in checks)
        if not passed:
            launcher.show_logs()
    print_report(found, checks)
    print(f"{time.monotonic() - started:.1f} s in all")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())

"""Run a small fleet until Ctrl-C: ``python -m swifttide_standins.site FILE``."""

import logging
import signal
import sys
import threading
from pathlib import Path

from swifttide_standins.launcher import Fleet, Launcher
from swifttide_standins.site._site import PLAN, write_environment


def main() -> int:
    """Run the site and return the exit status."""
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    path = Path(sys.argv[1] if len(sys.argv) > 1 else "out/site.env")
    path.parent.mkdir(parents=True, exist_ok=True)
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    with Launcher() as launcher:
        fleet = Fleet.start(launcher, PLAN)
        write_environment(fleet, launcher.directory, path)
        print(f"The site is up. In another shell: source {path}", flush=True)
        stop.wait()
    path.unlink(missing_ok=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""The binary ``swifttided``."""

import signal
import sys
import threading
from dataclasses import dataclass
from typing import Annotated

import cappa

from swifttide_daemon.settings import Settings

EXIT_BAD_SETTINGS = 2


@dataclass
class Swifttided:
    """Serve agent programs at this host.

    Parameters
    ----------
    settings : str
        File with this host's settings, JSON with comments.
    """

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file of this host.")]


def run(args: Swifttided) -> int:
    """Serve until SIGTERM or SIGINT, then leave without cutting a request."""
    settings = Settings.from_file(args.settings)
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    from swifttide_daemon._daemon import Daemon, wait_for_signal

    daemon = Daemon.from_settings(settings.ok)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    daemon.start()
    wait_for_signal(stop)
    daemon.stop()
    return 0


def main() -> None:
    """Parse the command line and serve."""
    sys.exit(run(cappa.parse(Swifttided, version="0.1.0")))


if __name__ == "__main__":
    main()

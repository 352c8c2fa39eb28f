"""Starts a gateway on a machine of the platform: ``python -m`` this module.

It imports nothing else of the package before it handles signals. The other imports take
most of the time of a start.
"""

import signal


def main() -> None:
    """Serve until SIGTERM; a reload that is asked for during the start is ignored.

    The settings are read after the imports, so such a reload has nothing left to do. By
    default SIGHUP would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from swifttide_daemon.platform.__main__ import main as serve

    serve()


if __name__ == "__main__":
    main()

"""Entry point of the daemon ``swifttided``."""

import signal
import sys
import threading

from swifttide_daemon.settings import Settings, read_deployment_secret

EXIT_CANT_START = 1
EXIT_BAD_SETTINGS = 2
SETTINGS_OPTION = "--settings"


def run(path: str) -> int:
    """Serve until SIGTERM or SIGINT, then drain running requests and stop.

    Returns the exit status of the process.
    """
    settings = Settings.from_file(path)
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    secret = read_deployment_secret(settings.ok.deployment_secret_file)
    if secret.is_error():
        print(f"{path}: {secret.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    from swifttide_daemon._builder import Builder
    from swifttide_daemon._daemon import wait_for_signal

    try:
        daemon = Builder(settings.ok).build()
    except OSError as exc:
        # For example, the port is in use. One line is more useful here than a
        # traceback.
        print(f"{path}: can't start: {exc}", file=sys.stderr)
        return EXIT_CANT_START
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    daemon.start()
    wait_for_signal(stop)
    daemon.stop()
    return 0


def main() -> None:
    """Parse the command line, serve, and exit with the status of `run`."""
    sys.exit(run(_settings_file(sys.argv[1:])))


def _settings_file(argv: list[str]) -> str:
    """Return the path of the settings file from the command line.

    The usual form ``--settings FILE`` is parsed without cappa, as the library and its
    imports would stay in memory as long as the process: 6 MB of the 64 MB that a
    daemon may use.
    """
    match argv:
        case [option, path] if option == SETTINGS_OPTION:
            return path
    from swifttide_daemon._command_line import parse

    return parse().settings


if __name__ == "__main__":
    main()

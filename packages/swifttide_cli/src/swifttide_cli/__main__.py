"""Entry point of the ``swifttide`` command."""

import sys

import cappa
from expression import Result

from swifttide_cli import __version__
from swifttide_cli.commands import Swifttide
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import print_failure, print_report

_VERSION = cappa.Arg(
    __version__, short="-V", long="--version", help="Print the version and exit."
)


def main(argv: list[str] | None = None) -> int:
    """Run the command.

    Parameters
    ----------
    argv : list of str or None
        Arguments; None takes those of the process.

    Returns
    -------
    int
        One of `ExitCode`.
    """
    as_json = "--json" in (sys.argv[1:] if argv is None else argv)
    try:
        outcome = cappa.parse(Swifttide, argv=argv, version=_VERSION).run()
    except cappa.Exit as exc:
        return int(exc.code or 0)
    except KeyboardInterrupt:
        print("swifttide: stopped; an edit may have been sent", file=sys.stderr)
        return ExitCode.FAILED
    match outcome:
        case Result(tag="ok", ok=report):
            print_report(report, as_json)
            return ExitCode.OK
        case Result(error=failure):
            print_failure(failure, as_json)
            return failure.code


def run() -> None:
    """Run the command and exit with its code."""
    sys.exit(main())


if __name__ == "__main__":
    run()

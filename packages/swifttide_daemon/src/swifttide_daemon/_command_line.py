"""Command-line interface of ``swifttided``."""

from dataclasses import dataclass
from importlib.metadata import version
from typing import Annotated

import cappa

_VERSION = cappa.Arg(
    version("swifttide-daemon"),
    short="-V",
    long="--version",
    help="Print the version and exit.",
)


@cappa.command(
    name="swifttided",
    help="Serve agent programs at this host.",
    description="SIGTERM and SIGINT stop it without cutting a request.",
    epilog="Exit status: 0 stopped, 1 can't start, 2 wrong command line or settings.",
)
@dataclass(frozen=True)
class Swifttided:
    """Serve agent programs at this host.

    Parameters
    ----------
    settings : str
        Path of the file with the settings of this host, JSON with comments.
    """

    settings: Annotated[
        str,
        cappa.Arg(long="--settings", value_name="FILE", help="This host's settings."),
    ]


def parse() -> Swifttided:
    """Parse the arguments of the process; exit on ``--help`` and on errors."""
    return cappa.parse(Swifttided, version=_VERSION)

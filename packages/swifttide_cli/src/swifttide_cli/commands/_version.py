"""``swifttide version``."""

from dataclasses import dataclass

import cappa
from expression import Ok, Result

from swifttide_cli import __version__
from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report


@cappa.command(name="version", help="Print the version of this command.")
@dataclass(frozen=True)
class Version:
    """Print the version."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return Ok(Report({"version": __version__}, lines=(f"swifttide {__version__}",)))

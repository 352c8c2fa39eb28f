"""``swifttide config``: the configuration as a whole."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Result

from swifttide_cli.commands._documents import history_report
from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report


@cappa.command(
    name="history",
    help="List the edits of all documents.",
    description="The newest edit comes last.",
)
@dataclass(frozen=True)
class ConfigHistory:
    """List the edits.

    Parameters
    ----------
    kind : str
        Only documents of this kind.
    name : str
        Only the document of this name.
    """

    kind: Annotated[str, cappa.Arg(long="--kind", help="Only this kind.")] = ""
    name: Annotated[str, cappa.Arg(long="--name", help="Only this name.")] = ""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            options.client()
            .bind(lambda c: c.history(self.kind, self.name))
            .map(history_report)
        )


@cappa.command(name="config", help="The configuration as a whole.")
@dataclass(frozen=True)
class Config:
    """Commands on the configuration."""

    command: Annotated[ConfigHistory, cappa.Subcommand]

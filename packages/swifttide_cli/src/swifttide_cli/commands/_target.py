"""``swifttide target``: where requests are sent."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from expression import Result

from swifttide_cli.commands._documents import (
    change_document,
    list_documents,
)
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._put_options import PutOptions
from swifttide_cli.commands._wait import WaitOptions
from swifttide_cli.output import Failure, Report
from swifttide_core.documents import DocumentKind

_COLUMNS = ("kind", "zone", "url", "serves", "checks_fencing", "leaving")


@cappa.command(name="list", help="List the targets as they are configured.")
@dataclass(frozen=True)
class TargetList:
    """List the targets."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: list_documents(c, DocumentKind.TARGET, _COLUMNS)
        )


@cappa.command(
    name="put",
    help="Store a target from a file.",
    description="For a target that exists, give the version that you edited.",
)
@dataclass(frozen=True)
class TargetPut(PutOptions):
    """Store a target."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return self.put(DocumentKind.TARGET, options)


@cappa.command(
    name="leave",
    help="Give a target no new work.",
    description="Work under way there runs to its end.",
)
@dataclass(frozen=True)
class TargetLeave(WaitOptions):
    """Give a target no new work.

    Parameters
    ----------
    name : str
        Id of the target.
    """

    name: Annotated[str, cappa.Arg(help="Id of the target.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: c.document(str(DocumentKind.TARGET), self.name).bind(
                lambda _: change_document(
                    c, DocumentKind.TARGET, self.name, _set_leaving, self
                )
            )
        )


@cappa.command(name="target", help="Where requests are sent.")
@dataclass(frozen=True)
class TargetCommand:
    """Commands on targets."""

    command: Annotated[TargetList | TargetPut | TargetLeave, cappa.Subcommand]


def _set_leaving(members: dict[str, Any] | None) -> dict[str, Any]:
    return {**(members or {}), "leaving": True}

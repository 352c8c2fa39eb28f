"""``swifttide profile``: how classes of programs are served."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Result

from swifttide_cli.commands._documents import (
    history_report,
    list_documents,
    show_document,
)
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._put_options import PutOptions
from swifttide_cli.output import Failure, Report
from swifttide_core.documents import DocumentKind

_COLUMNS = ("customers", "model", "budget_tokens", "urgency", "never_repeat")


@cappa.command(name="list", help="List the profiles.")
@dataclass(frozen=True)
class ProfileList:
    """List the profiles."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: list_documents(c, DocumentKind.PROFILE, _COLUMNS)
        )


@cappa.command(
    name="show",
    help="Show a profile and its version.",
    description="The version is the --base of your edit.",
)
@dataclass(frozen=True)
class ProfileShow:
    """Show a profile.

    Parameters
    ----------
    name : str
        Name of the profile.
    """

    name: Annotated[str, cappa.Arg(help="Name of the profile.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: show_document(c, DocumentKind.PROFILE, self.name)
        )


@cappa.command(
    name="put",
    help="Store a profile from a file.",
    description="A new profile needs no --base. For one that exists, give the version "
    "that `profile show` printed: if someone has edited it since, nothing is changed "
    "and both versions are shown.",
)
@dataclass(frozen=True)
class ProfilePut(PutOptions):
    """Store a profile."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return self.put(DocumentKind.PROFILE, options)


@cappa.command(
    name="history",
    help="List the edits of a profile.",
    description="The newest edit comes last.",
)
@dataclass(frozen=True)
class ProfileHistory:
    """List the edits of a profile.

    Parameters
    ----------
    name : str
        Name of the profile.
    """

    name: Annotated[str, cappa.Arg(help="Name of the profile.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            options.client()
            .bind(lambda c: c.history(str(DocumentKind.PROFILE), self.name))
            .map(history_report)
        )


@cappa.command(name="profile", help="How classes of programs are served.")
@dataclass(frozen=True)
class ProfileCommand:
    """Commands on profiles."""

    command: Annotated[
        ProfileList | ProfileShow | ProfilePut | ProfileHistory, cappa.Subcommand
    ]

"""``swifttide customer``: rate and burst of customers."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from expression import Result

from swifttide_cli.commands._documents import (
    change_document,
    list_documents,
    show_document,
)
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._wait import WaitOptions
from swifttide_cli.output import Failure, Report
from swifttide_core.documents import DocumentKind


@cappa.command(name="list", help="List the customers.")
@dataclass(frozen=True)
class CustomerList:
    """List the customers."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        columns = ("rate_per_second", "burst")
        return options.client().bind(
            lambda c: list_documents(c, DocumentKind.CUSTOMER, columns)
        )


@cappa.command(
    name="show",
    help="Show a customer and its version.",
    description="The version is the --base of your edit.",
)
@dataclass(frozen=True)
class CustomerShow:
    """Show a customer.

    Parameters
    ----------
    name : str
        Id of the customer.
    """

    name: Annotated[str, cappa.Arg(help="Id of the customer.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: show_document(c, DocumentKind.CUSTOMER, self.name)
        )


@cappa.command(
    name="set",
    help="Create a customer, or change its rate or burst.",
    description="What isn't given stays as it is. If someone edits the customer at the "
    "same time, nothing is changed and both versions are shown.",
)
@dataclass(frozen=True)
class CustomerSet(WaitOptions):
    """Create or change a customer.

    Parameters
    ----------
    name : str
        Id of the customer.
    rate : float or None
        Requests a second in the long run, over all hosts.
    burst : float or None
        Requests at once after a quiet spell, over all hosts.
    base : int or None
        Version that was edited; None for the current one.
    """

    name: Annotated[str, cappa.Arg(help="Id of the customer.")]
    rate: Annotated[
        float | None,
        cappa.Arg(long="--rate-per-second", help="Requests a second over all hosts."),
    ] = None
    burst: Annotated[
        float | None,
        cappa.Arg(long="--burst", help="Requests at once over all hosts."),
    ] = None
    base: Annotated[
        int | None,
        cappa.Arg(long="--base", value_name="VERSION", help="Version that you edited."),
    ] = None

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: change_document(
                c, DocumentKind.CUSTOMER, self.name, self._change, self, self.base
            )
        )

    def _change(self, members: dict[str, Any] | None) -> dict[str, Any]:
        given = {"rate_per_second": self.rate, "burst": self.burst}
        changes = {k: v for k, v in given.items() if v is not None}
        return {"name": self.name, **(members or {}), **changes}


@cappa.command(name="customer", help="Rate and burst of customers.")
@dataclass(frozen=True)
class CustomerCommand:
    """Commands on customers."""

    command: Annotated[CustomerList | CustomerShow | CustomerSet, cappa.Subcommand]

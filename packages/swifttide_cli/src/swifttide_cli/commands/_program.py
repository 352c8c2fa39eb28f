"""``swifttide program``: one agent program."""

import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from expression import Result

from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report


@cappa.command(
    name="show",
    help="Show the state of a program.",
    description="Turns, budget, history and the targets that hold its cache.",
)
@dataclass(frozen=True)
class ProgramShow:
    """Show a program.

    Parameters
    ----------
    customer : str
        Customer that it belongs to.
    program : str
        Id of the program.
    """

    customer: Annotated[str, cappa.Arg(help="Customer that it belongs to.")]
    program: Annotated[str, cappa.Arg(help="Id of the program.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            options.client()
            .bind(lambda c: c.program(self.customer, self.program))
            .map(_report)
        )


@cappa.command(
    name="end",
    help="End a program and release what it holds at targets.",
    description="Ending it again changes nothing.",
)
@dataclass(frozen=True)
class ProgramEnd:
    """End a program.

    Parameters
    ----------
    customer : str
        Customer that it belongs to.
    program : str
        Id of the program.
    """

    customer: Annotated[str, cappa.Arg(help="Customer that it belongs to.")]
    program: Annotated[str, cappa.Arg(help="Id of the program.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        line = f"Ended program {self.program} of {self.customer}."
        return (
            options.client()
            .bind(lambda c: c.end_program(self.customer, self.program))
            .map(lambda data: Report(data, lines=(line,)))
        )


@cappa.command(name="program", help="One agent program.")
@dataclass(frozen=True)
class Program:
    """Commands on programs."""

    command: Annotated[ProgramShow | ProgramEnd, cappa.Subcommand]


def _report(found: dict[str, Any]) -> Report:
    shown = {**found, "history": f"{len(found.get('history', ()))} turns (--json)"}
    rows = tuple(
        (name, json.dumps(v) if isinstance(v, dict) else v) for name, v in shown.items()
    )
    return Report(found, columns=("MEMBER", "VALUE"), rows=rows)

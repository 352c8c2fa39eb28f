"""``swifttide targets``: how the targets fare."""

from dataclasses import dataclass
from typing import Any

import cappa
from expression import Result

from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report

_FIRST = ("name", "target", "kind", "zone", "state")


@cappa.command(name="targets", help="Show how the targets fare now.")
@dataclass(frozen=True)
class Targets:
    """Show the targets' state."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(lambda c: c.targets()).map(_report)


def _report(found: list[dict[str, Any]]) -> Report:
    """Report whatever members the daemon gives, the usual ones first."""
    names = dict.fromkeys(name for row in found for name in row)
    columns = [n for n in _FIRST if n in names]
    columns += [n for n in names if n not in _FIRST]
    return Report(
        data=found,
        columns=tuple(n.upper().replace("_", " ") for n in columns),
        rows=tuple(tuple(row.get(n) for n in columns) for row in found),
    )

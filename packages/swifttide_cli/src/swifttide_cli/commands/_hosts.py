"""``swifttide hosts``: the hosts of the fleet."""

from dataclasses import dataclass

import cappa
import msgspec
from expression import Result

from swifttide_cli.api import HostRow
from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report


@cappa.command(name="hosts", help="List the hosts and the configuration they have.")
@dataclass(frozen=True)
class Hosts:
    """List the hosts."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(lambda c: c.hosts()).map(_report)


def _report(found: list[HostRow]) -> Report:
    rows = tuple(
        (h.host, h.zone, h.state, h.config_version, h.incarnation) for h in found
    )
    return Report(
        data=[msgspec.to_builtins(h) for h in found],
        columns=("HOST", "ZONE", "STATE", "CONFIG VERSION", "INCARNATION"),
        rows=rows,
    )

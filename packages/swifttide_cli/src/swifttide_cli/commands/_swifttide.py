"""The whole command."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Result

from swifttide_cli.commands._check import Check
from swifttide_cli.commands._config import Config
from swifttide_cli.commands._contention import Contention
from swifttide_cli.commands._customer import CustomerCommand
from swifttide_cli.commands._decompose import Decompose
from swifttide_cli.commands._explain import Explain
from swifttide_cli.commands._hosts import Hosts
from swifttide_cli.commands._key import Key
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._profile import ProfileCommand
from swifttide_cli.commands._program import Program
from swifttide_cli.commands._replay import Replay
from swifttide_cli.commands._target import TargetCommand
from swifttide_cli.commands._targets import Targets
from swifttide_cli.commands._trace import Trace
from swifttide_cli.commands._version import Version
from swifttide_cli.output import Failure, Report

_Subcommand = (
    Check
    | Config
    | Contention
    | CustomerCommand
    | Decompose
    | Explain
    | Hosts
    | Key
    | ProfileCommand
    | Program
    | Replay
    | TargetCommand
    | Targets
    | Trace
    | Version
)


@cappa.command(
    name="swifttide",
    help="Edit and watch a swifttide fleet.",
    description="Edits are sent to any daemon and are kept by the platform. The "
    "operator's key comes from SWIFTTIDE_OPERATOR_KEY or --key-file, never from the "
    "command line.",
    epilog="Exit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict, 5 denied, "
    "6 not found, 7 unavailable, 8 may have applied, 9 not yet in force.",
)
@dataclass(frozen=True)
class Swifttide(Options):
    """The root command.

    Parameters
    ----------
    command : object
        The subcommand.
    """

    command: Annotated[_Subcommand | None, cappa.Subcommand(required=True)] = None

    def run(self) -> Result[Report, Failure]:
        """Run the subcommand that was chosen."""
        command = self.command
        while hasattr(command, "command"):
            command = command.command
        return command(self)

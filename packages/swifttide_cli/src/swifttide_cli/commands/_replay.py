"""``swifttide replay``: a recorded trace against its stated outcomes."""

from dataclasses import dataclass
from importlib import import_module
from importlib.util import find_spec
from typing import Annotated

import cappa
from expression import Error, Result

from swifttide_cli.commands._options import Options
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report

REPLAY_MODULE = "swifttide_core.replay"


@cappa.command(
    name="replay",
    help="Replay a recorded trace through the decisions.",
    description="Exits with 3 where an outcome differs from the stated one.",
)
@dataclass(frozen=True)
class Replay:
    """Replay a trace.

    Parameters
    ----------
    trace : str
        JSON lines of events and outcomes.
    """

    trace: Annotated[str, cappa.Arg(help="JSON lines of events and outcomes.")]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        if find_spec(REPLAY_MODULE) is None:
            message = "this version can't replay traces yet"
            advice = "see docs/whats-new.md for the version that can."
            return Error(Failure(ExitCode.FAILED, message, advice))
        return import_module(REPLAY_MODULE).replay_file(self.trace)

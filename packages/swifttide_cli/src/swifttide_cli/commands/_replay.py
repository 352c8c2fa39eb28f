"""``swifttide replay``: a recorded trace against its stated outcomes."""

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from swifttide_cli.commands._options import Options
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report
from swifttide_core.replay import ReplayResult, replay_lines


@cappa.command(
    name="replay",
    help="Replay a recorded trace through the decisions.",
    description="Exits with 3 where something is otherwise than the trace states, or a "
    "call would run twice. Daemons record with the setting recording.path.",
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
        try:
            with Path(self.trace).open("rb") as lines:
                found = replay_lines(lines)
        except OSError as exc:
            message = f"{self.trace}: can't be read ({type(exc).__name__})"
            advice = "check the name and rights of the file."
            return Error(Failure(ExitCode.INVALID, message, advice))
        if found.differences or not found.n_runs:
            return Error(_failure(self.trace, found))
        data = {"runs": found.n_runs, "steps": found.n_steps, "differences": []}
        line = f"{found.n_runs} runs, {found.n_steps} events: all as stated"
        return Ok(Report(data, lines=(line,)))


def _failure(trace: str, found: ReplayResult) -> Failure:
    n_differences = len(found.differences)
    return Failure(
        code=ExitCode.INVALID,
        message=f"{trace}: {n_differences} differences in {found.n_runs} runs",
        advice="compare the version that recorded the trace with this one; a call that "
        "would run twice is a fault.",
        details=tuple(str(d) for d in found.differences),
        data={
            "runs": found.n_runs,
            "steps": found.n_steps,
            "differences": [asdict(d) for d in found.differences],
        },
    )

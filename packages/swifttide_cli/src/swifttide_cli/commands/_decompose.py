"""``swifttide decompose``: where time and requests went, window by window."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
from expression import Error, Ok, Result

from swifttide_cli.commands._log_lines import read_lines
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._windows import (
    DEFAULT_WINDOW_SECONDS,
    ENDINGS,
    check_window,
    quantile,
    reason_of,
    show_reasons,
    split_windows,
)
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report


@cappa.command(
    name="decompose",
    help="Show from the hosts' logs where time and requests went.",
    description="For each window of time: requests served, the time at each hop, and "
    "refusals by reason, those of programs that had been served before apart.",
)
@dataclass(frozen=True)
class Decompose:
    """Show where time and requests went.

    Parameters
    ----------
    files : list of str
        Log files of the hosts; ``-`` or none reads standard input.
    window : float
        Length of a window, in seconds.
    """

    files: Annotated[
        list[str],
        cappa.Arg(value_name="FILE", num_args=-1, help="Log files; - for stdin."),
    ] = ()
    window: Annotated[
        float, cappa.Arg(long="--window", help="Seconds of a window (2).")
    ] = DEFAULT_WINDOW_SECONDS

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            check_window(self.window)
            .bind(lambda _: read_lines(self.files))
            .bind(self._report)
        )

    def _report(self, lines) -> Result[Report, Failure]:
        own = [line for line in lines if line["event"] in ENDINGS]
        if not own:
            message = "no line of a request that was served or refused"
            advice = "give the logs of all hosts."
            return Error(Failure(ExitCode.NOT_FOUND, message, advice))
        windows = _windows(own, self.window)
        return Ok(
            Report(
                {"windows": [w.as_dict() for w in windows]},
                columns=_COLUMNS,
                rows=tuple(w.as_row() for w in windows),
            )
        )


_COLUMNS = (
    "SECOND",
    "TURNS",
    "CALLS",
    "RATE P95",
    "ADMITTED P95",
    "FIRST P95",
    "WHOLE P50",
    "WHOLE P95",
    "REFUSED NEW",
    "UNDER WAY",
    "REASONS",
)


@dataclass
class _Window:
    """What ended within a span of time; hops in seconds."""

    start: float
    n_turns: int = 0
    n_calls: int = 0
    hops: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    n_refused_new: int = 0
    n_refused_under_way: int = 0
    reasons: Counter[str] = field(default_factory=Counter)

    def serve(self, line: dict[str, Any]) -> None:
        """Take a request that was served."""
        if line.get("n_events"):
            self.n_turns += 1
        else:
            self.n_calls += 1
        rate, sent = line.get("rate_seconds", 0.0), line.get("sent_seconds", 0.0)
        self.hops["rate"].append(rate)
        self.hops["admitted"].append(sent - rate)
        self.hops["first"].append(line.get("first_seconds", 0.0) - sent)
        self.hops["whole"].append(line.get("seconds", 0.0))

    def refuse(self, line: dict[str, Any], was_served: bool) -> None:
        """Take a request that was refused."""
        self.reasons[reason_of(line)] += 1
        if was_served:
            self.n_refused_under_way += 1
        else:
            self.n_refused_new += 1

    def quantile(self, hop: str, part: float) -> float:
        """Return a quantile of a hop's seconds; 0 where nothing was served."""
        return quantile(self.hops[hop], part) or 0.0

    def as_dict(self) -> dict[str, Any]:
        """Return the window for ``--json``."""
        return {
            "second": self.start,
            "turns": self.n_turns,
            "calls": self.n_calls,
            "rate_p95": self.quantile("rate", 0.95),
            "admitted_p95": self.quantile("admitted", 0.95),
            "first_p95": self.quantile("first", 0.95),
            "whole_p50": self.quantile("whole", 0.5),
            "whole_p95": self.quantile("whole", 0.95),
            "refused_new": self.n_refused_new,
            "refused_under_way": self.n_refused_under_way,
            "reasons": dict(self.reasons),
        }

    def as_row(self) -> tuple[str, ...]:
        """Return the window's row of the table."""
        *figures, reasons = self.as_dict().values()
        texts = [f"{f:.3f}" if isinstance(f, float) else str(f) for f in figures]
        return (*texts, show_reasons(reasons))


def _windows(own, seconds) -> list[_Window]:
    windows = []
    served: set[str] = set()
    for start, lines in split_windows(own, seconds).items():
        window = _Window(start)
        for line in lines:
            program = line.get("program", "")
            if line["event"] == "request_served":
                window.serve(line)
                served.add(program)
            else:
                window.refuse(line, bool(program) and program in served)
        windows.append(window)
    return windows

"""``swifttide trace``: one request's path from the hosts' trace files."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
from expression import Error, Ok, Result

from swifttide_cli.commands._options import Options
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report

MILLISECONDS = 1000.0
_COLUMNS = ("host", "zone", "target", "operation", "verdict", "error")


@cappa.command(
    name="trace",
    help="Show one request's path from its request id.",
    description="Reads the files that hosts write with the trace exporter `file`.",
)
@dataclass(frozen=True)
class Trace:
    """Show a request's path.

    Parameters
    ----------
    request_id : str
        As in the answer's ``X-Request-Id`` or in a log line.
    files : list of str
        Trace files, one a host.
    """

    request_id: Annotated[str, cappa.Arg(help="From the answer or from a log line.")]
    files: Annotated[
        list[str],
        cappa.Arg(value_name="FILE", num_args=-1, required=True, help="Trace files."),
    ]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        try:
            spans = [s for file in self.files for s in _read(file)]
        except OSError as exc:
            message = f"{exc.filename}: can't be read ({type(exc).__name__})"
            advice = "check the names of the files."
            return Error(Failure(ExitCode.INVALID, message, advice))
        found = _of_request(spans, self.request_id)
        if not found:
            return Error(self._not_found())
        return Ok(_report(found))

    def _not_found(self) -> Failure:
        return Failure(
            code=ExitCode.NOT_FOUND,
            message=f"no span of request {self.request_id}",
            advice="give the files of all hosts; traces.sample_ratio says how many "
            "requests are traced, and a traceparent header with the flag 01 traces "
            "its request always. Refused requests stand in the log by the same id.",
        )


def _read(file: str) -> Iterable[dict[str, Any]]:
    """Yield the spans of a file; a line that a crash cut short is left out."""
    with Path(file).open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            try:
                span = json.loads(line)
            except ValueError:
                continue
            if isinstance(span, dict) and "span_id" in span:
                yield span


def _of_request(spans: list[dict[str, Any]], request_id: str) -> list[dict[str, Any]]:
    """Return a request's spans, and those of its trace that lie below them.

    A hop that was told no request id, such as a call to the platform, belongs to
    the request by its parent.
    """
    wanted = {s["span_id"] for s in spans if s.get("request_id") == request_id}
    while True:
        below = {s["span_id"] for s in spans if s.get("parent_id") in wanted}
        if below <= wanted:
            return [s for s in spans if s["span_id"] in wanted]
        wanted |= below


def _report(spans: list[dict[str, Any]]) -> Report:
    by_id = {s["span_id"]: s for s in spans}
    start = min(s.get("start_seconds", 0.0) for s in spans)
    ordered = _in_order(spans, by_id)
    rows = tuple(
        (
            "  " * depth + str(span.get("name")),
            f"{(span.get('start_seconds', start) - start) * MILLISECONDS:.1f}",
            f"{span.get('duration_seconds', 0.0) * MILLISECONDS:.1f}",
            *(span.get(c) for c in _COLUMNS),
        )
        for depth, span in ordered
    )
    heads = ("HOP", "START MS", "TOOK MS", *(c.upper() for c in _COLUMNS))
    return Report([s for _, s in ordered], columns=heads, rows=rows)


def _in_order(
    spans: list[dict[str, Any]], by_id: dict[str, dict[str, Any]]
) -> list[tuple[int, dict[str, Any]]]:
    """Return spans with their depth, each after its parent, by start."""

    def place(span: dict[str, Any]) -> tuple[tuple[float, str], ...]:
        above = by_id.get(span.get("parent_id", ""))
        own = (span.get("start_seconds", 0.0), span["span_id"])
        if above is None or above is span:
            return (own,)
        return (*place(above), own)

    placed = sorted(((place(s), s) for s in spans), key=lambda pair: pair[0])
    return [(len(where) - 1, span) for where, span in placed]

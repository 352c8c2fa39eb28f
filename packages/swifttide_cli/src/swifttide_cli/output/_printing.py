"""Printing of reports and failures."""

import json
import sys
from typing import TextIO

from rich import table as rich_table
from rich.console import Console
from rich.text import Text

from swifttide_cli.output._failure import Failure
from swifttide_cli.output._report import Report, Table

PIPE_WIDTH = 200
"""Columns where the output is no terminal: cells aren't cut short there."""


def print_report(report: Report, as_json: bool, stream: TextIO | None = None) -> None:
    """Print a report to stdout, and its notes to stderr."""
    for note in report.notes:
        print(f"note: {note}", file=sys.stderr)
    stream = stream or sys.stdout
    if as_json:
        print(json.dumps(report.data, indent=2, ensure_ascii=False), file=stream)
        return
    for line in report.lines:
        print(line, file=stream)
    if report.columns:
        _print_table(report, stream)
    for table in report.tables:
        print(f"\n{table.title}", file=stream)
        _print_table(table, stream)


def print_failure(failure: Failure, as_json: bool) -> None:
    """Print a failure to stderr."""
    if as_json:
        data = {
            "exit_code": int(failure.code),
            "error": failure.code.name.lower(),
            "message": failure.message,
            "advice": failure.advice,
            "details": list(failure.details),
            **failure.data,
        }
        print(json.dumps(data, indent=2, ensure_ascii=False), file=sys.stderr)
        return
    print(f"swifttide: {failure.message}", file=sys.stderr)
    for line in failure.details:
        print(f"  {line}", file=sys.stderr)
    if failure.advice:
        print(f"What to do: {failure.advice}", file=sys.stderr)


def _print_table(report: Report | Table, stream: TextIO) -> None:
    width = None if stream.isatty() else PIPE_WIDTH
    console = Console(file=stream, width=width, highlight=False)
    table = rich_table.Table(box=None, pad_edge=False, header_style="bold")
    for column in report.columns:
        table.add_column(column)
    for row in report.rows:
        # Text, since a "[...]" in a name would be taken for markup and vanish.
        table.add_row(*(Text(_cell(value)) for value in row))
    console.print(table)


def _cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case tuple() | list():
            return ", ".join(str(v) for v in value) or "-"
        case _:
            # Control characters in a name would drive the operator's terminal.
            text = str(value)
            return "".join(c if c.isprintable() else "?" for c in text)

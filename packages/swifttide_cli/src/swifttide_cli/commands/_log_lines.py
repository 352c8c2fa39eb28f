"""Log lines of hosts, as a collector hands them over."""

import json
import sys
from collections.abc import Iterable, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure

STDIN = "-"


def read_lines(files: Sequence[str]) -> Result[list[dict[str, Any]], Failure]:
    """Return the lines of logs; standard input without any file."""
    try:
        return Ok([line for f in files or [STDIN] for line in _read(f)])
    except OSError as exc:
        message = f"{exc.filename}: can't be read ({type(exc).__name__})"
        advice = "check the names of the files."
        return Error(Failure(ExitCode.INVALID, message, advice))


def seconds_of(line: dict[str, Any]) -> float:
    """Return when a line was written, in seconds of the time of day."""
    return datetime.fromisoformat(line["time"]).timestamp()


def _read(file: str) -> Iterable[dict[str, Any]]:
    """Yield the lines of a log; what a collector put before the JSON is skipped."""
    if file == STDIN:
        yield from _decode(sys.stdin)
        return
    with Path(file).open(encoding="utf-8", errors="replace") as text:
        yield from _decode(text)


def _decode(text: Iterable[str]) -> Iterable[dict[str, Any]]:
    for line in text:
        try:
            found = json.loads(line[max(0, line.find("{")) :])
        except ValueError:
            continue
        if isinstance(found, dict) and "event" in found and "time" in found:
            yield found

"""What the commands share that count requests window by window."""

import statistics
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from expression import Error, Ok, Result

from swifttide_cli.commands._log_lines import seconds_of
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure

DEFAULT_WINDOW_SECONDS = 2.0
"""Length of a window; bursts last a few seconds."""

MAX_REASONS = 4
"""Reasons of refusals that are shown for a window, the most frequent first."""

ENDINGS = frozenset({"request_served", "request_refused"})
"""Events that end a request with an answer."""


def check_window(seconds: float) -> Result[float, Failure]:
    """Return the length of a window, if it is positive."""
    if seconds > 0.0:
        return Ok(seconds)
    message = f"--window {seconds:g}: not a positive number of seconds"
    return Error(Failure(ExitCode.INVALID, message, "give 2, for example."))


def split_windows(
    lines: Iterable[dict[str, Any]], seconds: float
) -> dict[float, list[dict[str, Any]]]:
    """Return the lines of each window that has any, in order of time.

    The keys are the windows' starts, in seconds after the first line.
    """
    ordered = sorted(lines, key=seconds_of)
    began = seconds_of(ordered[0]) if ordered else 0.0
    windows: dict[float, list[dict[str, Any]]] = {}
    for line in ordered:
        number = (seconds_of(line) - began) // seconds
        windows.setdefault(number * seconds, []).append(line)
    return windows


def quantile(values: Sequence[float], part: float) -> float | None:
    """Return a quantile in whole percent; None without any value."""
    if len(values) < 2:
        return values[0] if values else None
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[round(part * 100) - 1]


def reason_of(line: dict[str, Any]) -> str:
    """Return the reason of a refusal without its details."""
    return str(line.get("reason", "")).partition(":")[0]


def show_reasons(reasons: dict[str, int]) -> str:
    """Return the most frequent reasons with their numbers."""
    shown = Counter(reasons).most_common(MAX_REASONS)
    return " ".join(f"{reason}={n}" for reason, n in shown)

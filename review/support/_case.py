"""Runs a case and turns its outcome into an exit code."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review_support._daemons import CannotRunError
from review_support._record import Record

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2

MAX_SECONDS = 110.0
"""A script may run for 120 s; the rest is for ending its processes."""


def run_case(
    folder: Path, scenario: Callable[[Record, bool], Awaitable[list[str]]]
) -> None:
    """Run a scenario and exit: 1 if the rule was broken, 0 if held, 2 if it can't run.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    scenario : callable
        Takes the record, and whether the disruption takes place. Returns a line for
        each way in which the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.conclude(f"disruption: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(_bounded(scenario(record, trouble)))
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.conclude(f"the case could not run: {type(exc).__name__}: {exc}")
        sys.exit(EXIT_CANNOT_RUN)
    for line in broken:
        record.conclude(f"broken: {line}")
    record.conclude("the rule was broken" if broken else "the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


async def _bounded(scenario):
    try:
        async with asyncio.timeout(MAX_SECONDS):
            return await scenario
    finally:
        # The stand-ins' connections that are still open end with the event loop.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

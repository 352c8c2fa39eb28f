"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 otherwise."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from stand_ins_2._record import Record

MAX_SECONDS = 115.0


def run_case(play, folder):
    """Play a case and exit with its code.

    Parameters
    ----------
    play : callable
        Coroutine that takes a temporary directory, the record and whether there is a
        disruption; returns whether the rule was broken.
    folder : Path
        Gets ``record.txt``.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = 2
    try:
        with tempfile.TemporaryDirectory() as directory:
            is_broken = asyncio.run(_play(play, directory, record, has_trouble))
        code = int(is_broken)
        record.write("verdict", trouble=has_trouble, broken=is_broken)
    except Exception as exc:
        record.write("could_not_run", reason=repr(exc))
        traceback.print_exc()
    record.close()
    sys.exit(code)


async def _play(play, directory, record, has_trouble):
    # Connections that end with the case would fill the output with tracebacks.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: record.write("loop", message=context["message"][:80])
    )
    async with asyncio.timeout(MAX_SECONDS):
        return await play(Path(directory), record, has_trouble)

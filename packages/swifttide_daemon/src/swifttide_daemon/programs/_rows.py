"""Program rows between the platform's form and the core's."""

from dataclasses import replace
from typing import Any

import msgspec

from swifttide_core.programs import ProgramRow
from swifttide_daemon.store import Row

PROGRAMS_TABLE = "programs"


def program_row_of(row: Row) -> ProgramRow:
    """Decode a row of the table ``programs``."""
    return replace(msgspec.convert(row.value, ProgramRow), version=row.version)


def program_value(row: ProgramRow) -> dict[str, Any]:
    """Encode a program; the version is the platform's business."""
    value = msgspec.to_builtins(row)
    del value["version"]
    return value

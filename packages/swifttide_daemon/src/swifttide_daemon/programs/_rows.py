"""Conversion of program rows between the platform's JSON form and `ProgramRow`."""

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
    """Encode a program row without its version, which the platform assigns."""
    value = msgspec.to_builtins(row)
    del value["version"]
    return value

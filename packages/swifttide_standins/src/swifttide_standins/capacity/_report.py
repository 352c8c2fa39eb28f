"""The slopes as a table and as JSON."""

from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from swifttide_standins.capacity._derived import Derived
from swifttide_standins.capacity._slope import Slope


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print a table."""
    table = Table("measured", "value", "unit", "from")
    for slope in slopes:
        samples = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.samples)
        table.add_row(slope.name, f"{slope.value:.4g}", slope.unit, samples)
    Console(width=150).print(table)


def print_derived(rows: Sequence[Derived]) -> None:
    """Print the figures at the size to design for."""
    table = Table("role", "at the size to design for", "value", "unit", "limit", "")
    for row in rows:
        limit = "" if row.limit is None else f"{row.limit:.4g}"
        value = f"{row.value:.4g}"
        table.add_row(row.role, row.what, value, row.unit, limit, row.verdict)
    Console(width=150).print(table)


def write_slopes(slopes: Sequence[Slope], path: str) -> None:
    """Write a JSON list."""
    encoded = msgspec.json.format(msgspec.json.encode(list(slopes)))
    Path(path).write_bytes(encoded + b"\n")

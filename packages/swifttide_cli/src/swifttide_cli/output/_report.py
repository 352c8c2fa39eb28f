"""The outcome of a command that succeeded."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Table:
    """A further table of a report.

    Parameters
    ----------
    title : str
        Printed above the table.
    columns : tuple of str
        Heads of the table.
    rows : tuple of tuple
        Cells of the table.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


@dataclass(frozen=True, slots=True)
class Report:
    """What a command found, for people and for machines.

    Parameters
    ----------
    data : object
        Printed as JSON with ``--json``.
    lines : tuple of str
        Printed for people, before the table.
    columns : tuple of str
        Heads of the table; empty for none.
    rows : tuple of tuple
        Cells of the table.
    tables : tuple of Table
        Printed for people, after the table.
    notes : tuple of str
        Printed to stderr, such as warnings.
    """

    data: Any
    lines: tuple[str, ...] = ()
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()

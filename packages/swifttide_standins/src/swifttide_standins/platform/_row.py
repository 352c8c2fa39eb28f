"""One row of a table."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """A row's version and value.

    Parameters
    ----------
    key : str
        Key in its table.
    version : int
        Grows with each write.
    value : dict
        JSON object.
    """

    key: str
    version: int
    value: dict[str, Any]

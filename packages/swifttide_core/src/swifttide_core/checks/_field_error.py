"""One wrong value in a settings file or document."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FieldError:
    """Where a value is wrong, what stands there and what would be right.

    Parameters
    ----------
    path : str
        Place in the file, such as ``lease.renew_seconds`` or ``customers[2]``;
        empty for the whole file.
    got : str
        The value as JSON, cut short; never the value of a field for keys.
    expected : str
        What would be accepted, in words.
    """

    path: str
    got: str
    expected: str

    def __str__(self) -> str:
        place = self.path or "(whole file)"
        return f"{place}: got {self.got}, expected {self.expected}"

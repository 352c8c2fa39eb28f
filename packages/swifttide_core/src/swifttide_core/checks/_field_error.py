"""Error in one value of a settings file or document."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FieldError:
    """Place of an invalid value, the value found and what is valid there.

    Parameters
    ----------
    path : str
        Path of the value in the file, such as ``lease.renew_seconds`` or
        ``customers[2]``; empty for the whole file.
    got : str
        The value as truncated JSON, or a description of it. Values of fields that may
        hold a secret key are never included.
    expected : str
        Description of the valid values.
    """

    path: str
    got: str
    expected: str

    def __str__(self) -> str:
        place = self.path or "(whole file)"
        return f"{place}: got {self.got}, expected {self.expected}"

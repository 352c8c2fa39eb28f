"""All that is wrong with a settings file."""

from dataclasses import dataclass

from swifttide_core.checks import FieldError


@dataclass(frozen=True, slots=True)
class SettingsErrors:
    """Every error of one file.

    Parameters
    ----------
    file : str
        Name of the file.
    errors : tuple of FieldError
        At least one.
    """

    file: str
    errors: tuple[FieldError, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.file}: {error}" for error in self.errors)

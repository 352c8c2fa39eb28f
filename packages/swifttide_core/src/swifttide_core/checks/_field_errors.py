"""Exception with the errors that a check has returned."""

from collections.abc import Iterable

from swifttide_core.checks._field_error import FieldError


class InvalidFields(ValueError):
    """Decoded values that can't be used.

    Parameters
    ----------
    errors : iterable of FieldError
        At least one.
    """

    def __init__(self, errors: Iterable[FieldError]):
        self.errors = tuple(errors)
        super().__init__("; ".join(str(e) for e in self.errors))

    @classmethod
    def raise_for(cls, errors: Iterable[FieldError]) -> None:
        """Raise the exception if there are any errors."""
        errors = tuple(errors)
        if errors:
            raise cls(errors)

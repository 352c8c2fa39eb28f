"""A figure at the size to design for."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Derived:
    """What a role needs, worked out from slopes.

    Parameters
    ----------
    role : str
        Role that carries it.
    what : str
        The figure.
    value : float
        At the size to design for.
    unit : str
        Of the value.
    limit : float or None
        What it must not exceed; None where nothing is given.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the value stays below its limit."""
        if self.limit is None:
            return ""
        return "fits" if self.value <= self.limit else "DOESN'T FIT"

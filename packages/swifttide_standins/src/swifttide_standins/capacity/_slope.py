"""One measured figure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A figure with how it was got.

    Parameters
    ----------
    name : str
        What is measured.
    value : float
        The figure.
    unit : str
        Of the figure.
    samples : tuple of (float, float)
        What it was worked out from: load and measurement.
    """

    name: str
    value: float
    unit: str
    samples: tuple[tuple[float, float], ...] = ()

"""Least squares."""

from collections.abc import Sequence
from statistics import linear_regression


def fit_line(samples: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the line through `samples`.

    Parameters
    ----------
    samples : sequence of (float, float)
        At least two different abscissas.
    """
    line = linear_regression(*zip(*samples, strict=True))
    return line.slope, line.intercept

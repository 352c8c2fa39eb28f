"""Measures the slopes that docs/CAPACITY.md is worked out from, on real processes."""

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._slope import Slope

__all__ = ["Slope", "fit_line"]

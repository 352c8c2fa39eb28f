"""The fit behind the slopes."""

import pytest

from swifttide_standins.capacity import fit_line


class TestFitLine:
    def test_line(self):
        slope, intercept = fit_line([(0, 1.0), (2, 5.0), (4, 9.0)])
        assert (slope, intercept) == pytest.approx((2.0, 1.0))

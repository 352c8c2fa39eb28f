"""The arithmetic behind docs/CAPACITY.md."""

from collections import defaultdict

import pytest

from swifttide_standins.capacity._derive import derive
from swifttide_standins.capacity._size import Size


def figures(value, **size):
    slopes = defaultdict(lambda: value)
    return {d.what: d for d in derive(slopes, Size(**size))}


class TestDerive:
    def test_a_wider_fleet_needs_more_of_the_platform(self):
        narrow, wide = figures(0.1, daemons=10), figures(0.1, daemons=380)
        what = "reads without callers"
        assert narrow[what].value < wide[what].value

    def test_noise_below_zero_helps_nobody(self):
        """A slope comes out slightly negative. Taken at its word, 380 hosts would
        cost less than 32 and the page would promise what doesn't hold.
        """
        slopes = defaultdict(lambda: 1.0)
        name = "platform reads of an idle host, for each further host of the zone"
        slopes[name] = -0.1
        found = {d.what: d.value for d in derive(slopes, Size())}
        assert found["reads without callers"] == pytest.approx(380.0)

    def test_streams(self):
        assert Size().streams == pytest.approx(81.47, abs=0.01)

    def test_verdict(self):
        found = figures(1e6)
        assert found["writes, sum"].verdict == "DOESN'T FIT"
        assert figures(0.0)["writes, sum"].verdict == "fits"

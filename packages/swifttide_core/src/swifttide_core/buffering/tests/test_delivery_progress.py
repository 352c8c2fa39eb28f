"""Tests the progress of readers."""

from swifttide_core.buffering import DeliveryProgress


class TestDeliveryProgress:
    def test_reader_that_takes_something_is_never_stalled(self):
        """Guards against giving up a caller that reads slowly."""
        progress = DeliveryProgress()
        for second in range(100):
            assert progress.update(float(second), 1000, 900 - second) == 0.0

    def test_time_without_progress_is_counted(self):
        progress = DeliveryProgress()
        found = [progress.update(t, 1000, 500) for t in (1.0, 2.0, 4.5)]
        assert found == [0.0, 1.0, 3.5]
        assert progress.update(5.0, 1000, 499) == 0.0

    def test_further_bytes_are_no_progress(self):
        """Guards against a lost caller that counts as reading while events come."""
        progress = DeliveryProgress()
        found = [progress.update(t, 1000 + n, n) for t, n in ((0.0, 10), (3.0, 900))]
        assert found == [0.0, 3.0]

    def test_idle_time_does_not_count(self):
        """Guards against giving up a caller right after a pause without an answer."""
        progress = DeliveryProgress()
        assert progress.update(0.0, 1000, 0) == 0.0
        assert progress.update(60.0, 1500, 500) == 0.0
        assert progress.update(61.0, 1500, 500) == 1.0

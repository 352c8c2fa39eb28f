"""Tests of the bounds on pieces of messages and on the time of transfers."""

from swifttide_core.buffering import PieceBudget, TransferDeadline


class TestPieceBudget:
    def count_until_exceeded(self, budget, n_bytes, most=100_000):
        return next((n for n in range(most) if not budget.take(n_bytes)), most)

    def test_tiny_pieces_are_bounded(self):
        """Guards against work that grows with pieces and not with bytes."""
        assert self.count_until_exceeded(PieceBudget(8), 1) < 1_200

    def test_pieces_of_the_mean_size_are_not(self):
        assert self.count_until_exceeded(PieceBudget(8), 8) == 100_000

    def test_large_pieces_pay_for_small_ones(self):
        budget = PieceBudget(256, 10)
        assert budget.take(100_000)
        assert self.count_until_exceeded(budget, 1) > 300


class TestTransferDeadline:
    def make(self):
        return TransferDeadline(10.0, 0.8, 65_536.0, 0.5)

    def test_small_answer_has_its_time(self):
        assert self.make().extend(10.1, 100) == 10.8 + 100 / 65_536 - 100 / 65_536

    def test_large_answer_at_the_least_rate_goes_on(self):
        """Guards against a large answer that is given up and asked for again."""
        deadline = self.make()
        now = 10.0
        for _ in range(600):
            now += 0.1
            assert deadline.extend(now, 6_554) > now

    def test_drip_ends(self):
        """Guards against an answer that lives as long as it grows."""
        deadline = self.make()
        until = max(deadline.extend(10.0 + n * 0.01, 1) for n in range(1_000))
        assert until < 10.9

    def test_pause_ends_a_large_answer(self):
        assert self.make().extend(20.0, 4_000_000) == 20.5

"""Tests of a customer's share at its holder."""

import pytest

from swifttide_core.documents import Customer
from swifttide_core.limits import (
    MAX_BATCH_TTL_SECONDS,
    Batch,
    CustomerShare,
    RateRefused,
)

CUSTOMER = Customer("c", 10.0, 20.0)
FOREVER = float("inf")


def full_share(now=0.0, customer=CUSTOMER):
    return CustomerShare.from_config(customer, 1.0, now, float("-inf"))


def draw(share, now, name, wanted=1.0, lease_ends_at=FOREVER, **options):
    return share.draw(now, "h", wanted, lease_ends_at, draw_id=name, **options)


def drain(share, now, prefix="d"):
    """Draw until the first refusal; return the number of tokens drawn."""
    for n in range(1000):
        if isinstance(draw(share, now, f"{prefix}{n}"), RateRefused):
            return n
    raise AssertionError("the share never ran out")


class TestTakeover:
    def test_takeover_without_history_starts_empty(self):
        """Guards against admitting two bursts after a crash of the holder.

        The former holder crashed after it lent the whole burst. A successor that starts
        with a full bucket would lend it again.
        """
        share = CustomerShare.from_config(CUSTOMER, 1.0, 100.0)
        assert drain(share, 100.0) == 0
        assert drain(share, 100.0 + MAX_BATCH_TTL_SECONDS + 0.5) == 5

    def test_takeover_refills_since_last_possible_service(self):
        share = CustomerShare.from_config(CUSTOMER, 1.0, 100.0, 99.5)
        assert drain(share, 100.0) == 5

    def test_batch_expires_with_the_lease_of_the_holder(self):
        """Guards against tokens of two holders being in use at the same time.

        A holder is paused after it lent tokens, and another host takes over its slot.
        Tokens that outlive the lease would be admitted in addition to the new holder's.
        """
        batch = draw(full_share(), 0.0, "d", lease_ends_at=0.01, spend_seconds=0.5)
        assert batch.ttl_seconds == pytest.approx(0.01)

    def test_nothing_is_lent_after_the_lease(self):
        assert isinstance(draw(full_share(), 5.0, "d", lease_ends_at=5.0), RateRefused)

    def test_handover_keeps_the_burst(self):
        """Guards against refusals after a planned replacement of a host.

        If the buckets of its customers started empty at the next holder, their requests
        would be refused for two seconds each time.
        """
        old = full_share()
        draw(old, 0.0, "part", wanted=5.0, partial=True)
        state = old.hand_over(0.0)
        new = CustomerShare.from_handover(CUSTOMER, 1.0, state, 0.0)
        assert drain(new, 0.0) == 15
        assert isinstance(draw(old, 0.0, "late"), RateRefused)


class TestLending:
    def test_lent_tokens_count_against_the_burst(self):
        """Guards against exceeding the burst by the tokens in transit.

        If lent tokens were not counted, the bucket would refill completely while the
        answers with these tokens are in transit.
        """
        share = full_share()
        draw(share, 0.0, "a", wanted=10.0, partial=True)
        assert drain(share, 0.9) == 10

    def test_repeated_draw_returns_the_same_batch(self):
        share = full_share()
        assert draw(share, 0.0, "a") == draw(share, 0.0, "a")
        assert drain(share, 0.0) == 19

    def test_repeated_return_of_a_batch_counts_once(self):
        """The answer to a return is lost, and the return is sent again."""
        share = full_share()
        drain(share, 0.0)
        share = CustomerShare.from_config(CUSTOMER, 1.0, 0.0, -1.0)
        draw(share, 0.0, "a", wanted=4.0, partial=True)
        for _ in range(3):
            share.return_batch(0.0, "h", Batch("a", 4.0, 0.0))
        assert drain(share, 0.0) == 10

    def test_return_is_limited_to_the_lent_tokens(self):
        share = CustomerShare.from_config(CUSTOMER, 1.0, 0.0, -1.0)
        draw(share, 0.0, "a", wanted=4.0, partial=True)
        share.return_batch(0.0, "h", Batch("a", 99.0, 0.0))
        assert drain(share, 0.0) == 10

    def test_expired_tokens_are_not_restored(self):
        """Guards against admitting expired tokens a second time.

        The entry host may have spent them without reporting it.
        """
        slow = Customer("c", 0.001, 20.0)
        share = full_share(customer=slow)
        draw(share, 0.0, "a", wanted=20.0, partial=True)
        assert drain(share, 100.0) == 0

    def test_retry_after_is_sufficient(self):
        """A single caller that retries after the stated time is admitted."""
        share = full_share()
        drain(share, 0.0)
        wait = draw(share, 0.0, "x").retry_after_seconds
        assert isinstance(draw(share, wait - 0.01, "y"), RateRefused)
        assert isinstance(draw(share, wait, "z"), Batch)


class TestEdit:
    def test_lower_burst_applies_immediately(self):
        share = full_share()
        share.set_limits(0.0, Customer("c", 10.0, 3.0), 1.0)
        assert drain(share, 0.0) == 3

    def test_raised_burst_adds_no_tokens(self):
        share = full_share()
        drain(share, 0.0)
        share.set_limits(0.0, Customer("c", 10.0, 99.0), 1.0)
        assert drain(share, 0.0, "e") == 0


class TestPulls:
    def empty_and_full_share(self):
        empty = CustomerShare.from_config(CUSTOMER, 0.5, 0.0, 0.0)
        full = CustomerShare.from_config(CUSTOMER, 0.5, 0.0, float("-inf"))
        (pull,) = empty.next_pulls(0.0, "a", ("b",))
        return empty, full, pull

    def test_tokens_move_to_the_zone_with_the_lower_level(self):
        """Guards against refusals of a customer that stays within its rate.

        All its requests arrive in one zone, while its bucket in the other overflows.
        """
        empty, full, pull = self.empty_and_full_share()
        answer = full.answer_pull(0.0, "a", pull, FOREVER)
        empty.settle_pull(0.001, pull.draw_id, answer)
        assert drain(empty, 0.001) == 5
        assert drain(full, 0.001) == 5

    def test_late_pull_answer_adds_nothing(self):
        """The answer was delayed until the giving zone had refilled its bucket."""
        empty, full, pull = self.empty_and_full_share()
        answer = full.answer_pull(0.0, "a", pull, FOREVER)
        empty.settle_pull(0.2, pull.draw_id, answer)
        assert drain(empty, 0.2) == 1

    def test_repeated_pull_answer_counts_once(self):
        empty, full, pull = self.empty_and_full_share()
        answer = full.answer_pull(0.0, "a", pull, FOREVER)
        empty.settle_pull(0.001, pull.draw_id, answer)
        empty.settle_pull(0.001, pull.draw_id, answer)
        assert drain(empty, 0.001) == 5

    def test_refusals_report_other_empty_zones(self):
        empty, other, pull = self.empty_and_full_share()
        drain(other, 0.0)
        answer = other.answer_pull(0.0, "a", pull, FOREVER)
        empty.settle_pull(0.001, pull.draw_id, answer)
        assert set(draw(empty, 0.002, "x").others) == {"b"}

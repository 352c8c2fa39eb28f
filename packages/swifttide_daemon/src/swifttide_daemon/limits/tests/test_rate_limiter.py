"""Tests for admission at an entry host, also while a customer's slot moves."""

from types import SimpleNamespace

from expression import Error, Ok

from swifttide_core.documents import Customer
from swifttide_core.limits import Batch, RateRefused
from swifttide_core.verdicts import Reason
from swifttide_daemon.limits import DrawAnswer, RateLimiter
from swifttide_daemon.targets import not_holder

CUSTOMER = Customer("desk", rate_per_second=10, burst=20)
ME = SimpleNamespace(host="h", incarnation="1", zone="z")


class FakeMembership:
    """A single zone in which this host holds all slots."""

    me = ME

    def zones(self):
        return ["z"]

    def holder(self, kind, key, zone):
        return ME

    def invalidate_views(self):
        pass


class FakeShareService:
    """Returns the given answers to draws, in order."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def draw(self, customer, req):
        answer = self.answers.pop(0)
        if isinstance(answer, Batch):
            answer = Ok(DrawAnswer(batch=Batch(req.draw_id, 1.0, 1.0)))
        return answer


def make_limiter(*answers):
    return RateLimiter(FakeMembership(), None, FakeShareService(*answers))


class TestAdmit:
    def test_moving_slot_is_retried(self):
        """Guards against refusals of requests within the rate during a takeover.

        A host joins and takes over a customer's slot. For a short time, no host counts
        the customer's rate.
        """
        moving = Error(not_holder("customer"))
        assert make_limiter(moving, Batch("", 1.0, 1.0)).admit(CUSTOMER) is None

    def test_refusal_of_zone_without_share_is_retried(self):
        """Guards against a refusal by a zone that has no share of the customer.

        The customer's own zone is unreachable for a short time, and another zone
        without a share answers. Calls far below the rate were refused as exceeding it
        (3 of 16 calls of one run).
        """
        no_share = Ok(DrawAnswer(refused=RateRefused(0.5, 0.0, 0.0, 0.0)))
        assert make_limiter(no_share, Batch("", 1.0, 1.0)).admit(CUSTOMER) is None

    def test_exceeded_rate_is_refused_immediately(self):
        """Guards against exhaustion of the host's threads.

        If requests waited for a token, those of a customer far above its rate would
        occupy the threads and delay the requests of other customers.
        """
        refused = Ok(DrawAnswer(refused=RateRefused(3.0, 0.0, 0.1, 1.0)))
        refusal = make_limiter(refused).admit(CUSTOMER)
        assert refusal.reason is Reason.RATE_LIMITED
        assert refusal.retry_after_seconds > 0

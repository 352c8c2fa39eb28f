"""Requests that arrive while a customer's slot moves to another host."""

from types import SimpleNamespace

from expression import Error, Ok

from swifttide_core.documents import Customer
from swifttide_core.limits import Batch, RateRefused
from swifttide_core.verdicts import Reason
from swifttide_daemon.limits import DrawAnswer, RateLimiter
from swifttide_daemon.targets import not_holder

CUSTOMER = Customer("desk", rate_per_second=10, burst=20)
ME = SimpleNamespace(host="h", incarnation="1", zone="z")


class Membership:
    """One zone with this host alone."""

    me = ME

    def zones(self):
        return ["z"]

    def holder(self, kind, key, zone):
        return ME

    def invalidate_views(self):
        pass


class Shares:
    """Answers draws with what it was given, in order."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def draw(self, customer, req):
        answer = self.answers.pop(0)
        if isinstance(answer, Batch):
            answer = Ok(DrawAnswer(batch=Batch(req.draw_id, 1.0, 1.0)))
        return answer


def limiter(*answers):
    return RateLimiter(Membership(), None, Shares(*answers))


class TestAdmit:
    def test_slot_that_moves_refuses_nobody(self):
        """A host joins and takes a customer's slot over. For a moment nobody counts
        the customer's rate, and requests inside it would be refused.
        """
        moving = Error(not_holder("customer"))
        assert limiter(moving, Batch("", 1.0, 1.0)).admit(CUSTOMER) is None

    def test_zone_without_a_share_says_nothing_of_the_rate(self):
        """The customer's own zone isn't reached for a moment and another zone, which
        has no share of it, answers. Far inside its rate the customer was told that
        its rate is used up (3 of 16 calls of one run).
        """
        no_share = Ok(DrawAnswer(refused=RateRefused(0.5, 0.0, 0.0, 0.0)))
        assert limiter(no_share, Batch("", 1.0, 1.0)).admit(CUSTOMER) is None

    def test_used_up_rate_is_refused_at_once(self):
        """Held back until a token comes, a hot customer's requests would fill the
        host's threads and hold up the others.
        """
        refused = Ok(DrawAnswer(refused=RateRefused(3.0, 0.0, 0.1, 1.0)))
        refusal = limiter(refused).admit(CUSTOMER)
        assert refusal.reason is Reason.RATE_LIMITED
        assert refusal.retry_after_seconds > 0

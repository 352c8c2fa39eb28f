"""When a withdrawn key counts as refused."""

from swifttide_standins.demo._withdrawal_probe import NEVER, settled_refusal
from swifttide_standins.loadgen import Answered, Attempt, Refused

ANSWERED = Answered("x", "ran")
REFUSED = Refused(401, "unauthenticated", "not_run")


def attempts(*outcomes):
    return [Attempt("h", i, 0.0, i + 0.5, o) for i, o in enumerate(outcomes)]


class TestSettledRefusal:
    def test_an_answer_starts_the_wait_anew(self):
        """One call meets a holder that knows of the withdrawal, the next one doesn't.
        Counted from the first refusal, the key would seem dead while it still works.
        """
        assert settled_refusal(attempts(REFUSED, ANSWERED, REFUSED, REFUSED)) == 2.5

    def test_never(self):
        assert settled_refusal(attempts(REFUSED, ANSWERED)) == NEVER
        busy = Refused(503, "queue_full", "not_run")
        assert settled_refusal(attempts(ANSWERED, busy)) == NEVER

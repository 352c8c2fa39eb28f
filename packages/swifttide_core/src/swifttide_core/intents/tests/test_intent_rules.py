"""Only one attempt may dispatch a non-repeatable call."""

from dataclasses import replace

from swifttide_core.intents import (
    IntentRow,
    IntentState,
    RefuseIntent,
    ReplayStoredAnswer,
    WriteIntent,
    decide_intent,
)
from swifttide_core.verdicts import Reason, Verdict

WANTED = IntentRow("c", "k1", body_hash="b", attempt="a2")
KNOWN = IntentRow("c", "k1", body_hash="b", attempt="a1", version=7)


class TestDecideIntent:
    def test_first_attempt_writes_an_intent(self):
        assert decide_intent(None, WANTED) == WriteIntent(WANTED)

    def test_attempt_without_outcome_is_never_repeated(self):
        """A host wrote the intent, dispatched the call and died. Another host receives
        the call again; dispatching it could charge the fee twice.
        """
        decision = decide_intent(KNOWN, WANTED)
        assert isinstance(decision, RefuseIntent)
        assert decision.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_finished_call_is_answered_from_the_journal(self):
        done = replace(KNOWN, state=IntentState.DONE, status=200, answer="ok")
        assert decide_intent(done, WANTED) == ReplayStoredAnswer(done)

    def test_call_that_did_not_run_may_be_retried(self):
        known = replace(KNOWN, state=IntentState.NOT_RUN)
        assert decide_intent(known, WANTED) == WriteIntent(replace(WANTED, version=7))

    def test_reused_key_for_another_call_is_refused(self):
        decision = decide_intent(KNOWN, replace(WANTED, body_hash="other"))
        assert decision.refusal.reason is Reason.KEY_REUSED
        assert decision.refusal.verdict is Verdict.NOT_RUN

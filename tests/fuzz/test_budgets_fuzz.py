"""Budget of a program whose sub-agents take turns in parallel."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from swifttide_core.budgets import BudgetLimits, ProgramBudget, Reserved
from tests.fuzz._settings import run_fuzz

LIMITS = BudgetLimits(max_tokens=60, max_turns=5, max_calls=8, max_seconds=1000.0)
PICK = st.integers(0, 1000)
TOKENS = st.sampled_from([0, 0, 1, 20, 40])


class BudgetsMachine(RuleBasedStateMachine):
    """Turns at engines, which truly use tokens, whatever the account hears of it."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.account = ProgramBudget(LIMITS, 0.0)
        self.running = {}
        self.ended = {}
        self.n_ids = 0
        self.n_dispatched = 0
        self.n_calls = 0

    @rule(step=st.sampled_from([1.0, 50.0]))
    def wait(self, step):
        self.now += step

    @rule(most=TOKENS)
    def take_turn(self, most):
        self.n_ids += 1
        answer = self.account.reserve_turn(self.now, f"turn{self.n_ids}", most)
        if isinstance(answer, Reserved):
            assert self.now < LIMITS.max_seconds
            self.running[f"turn{self.n_ids}"] = answer.tokens
            self.n_dispatched += 1

    @rule()
    def call_service(self):
        if isinstance(self.account.reserve_call(self.now), Reserved):
            assert self.now < LIMITS.max_seconds
            self.n_calls += 1

    @rule(which=PICK, used=TOKENS, heard=st.sampled_from(["once", "twice", "never"]))
    def finish(self, which, used, heard):
        """End a turn at its engine; the answer comes once, twice, or is lost."""
        if not self.running:
            return
        turn = sorted(self.running)[which % len(self.running)]
        used = min(used, self.running.pop(turn))
        self.ended[turn] = used
        if heard == "never":
            self.account.lose(turn)
            return
        for _ in range(2 if heard == "twice" else 1):
            self.account.settle(turn, used)

    @rule(which=PICK)
    def hear_late(self, which):
        """Learn the outcome of a turn that was lost."""
        if self.ended:
            turn = sorted(self.ended)[which % len(self.ended)]
            self.account.settle(turn, self.ended[turn])

    @rule(which=PICK, times=st.sampled_from([1, 2]))
    def turn_not_run(self, which, times):
        """Learn, once or twice, that no byte of a turn has reached an engine."""
        if not self.running:
            return
        turn = sorted(self.running)[which % len(self.running)]
        del self.running[turn]
        self.n_dispatched -= 1
        for _ in range(times):
            self.account.not_run(turn)

    @rule(away=st.sampled_from([0.0, 20.0]))
    def take_over(self, away):
        """Another host goes on from the row, on another clock."""
        row = self.account.to_row(self.now)
        self.account = ProgramBudget.from_row(LIMITS, row, self.now + away)
        self.account.started_at -= away

    @invariant()
    def holds(self):
        spent = sum(self.ended.values())
        at_most = spent + sum(self.running.values())
        assert at_most <= LIMITS.max_tokens
        assert self.n_dispatched <= LIMITS.max_turns
        assert self.n_calls <= LIMITS.max_calls


class TestBudgets:
    def test_budget_holds_whatever_the_answers_say(self):
        """Sub-agents take turns at the same time, answers are lost or come twice, and
        the host that keeps the account dies. An operator's bill shows what was spent
        beyond the budget.
        """
        run_fuzz(BudgetsMachine)

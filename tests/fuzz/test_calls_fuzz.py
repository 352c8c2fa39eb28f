"""Calls that may not be repeated, under every interleaving the fuzzer finds."""

from collections import Counter
from dataclasses import dataclass, field, replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from swifttide_core.intents import (
    Dispatch,
    Dispatched,
    Finished,
    GaveUp,
    IntentRow,
    IntentState,
    PlatformFailed,
    ReadRow,
    Refuse,
    Reply,
    RowConflict,
    RowRead,
    RowWritten,
    TargetAnswered,
    TargetSilent,
    TargetUnreached,
    WriteRow,
    start_call,
    step_call,
)
from swifttide_core.verdicts import Reason, Refusal, Verdict
from tests.fuzz._platform import (
    ConflictError,
    FakePlatform,
    NoAnswerError,
    Weather,
    Write,
)
from tests.fuzz._settings import run_fuzz

KEYS = ("print-run", "entry-fee")
TABLE = "intents"
FATES = st.tuples(
    st.sampled_from([Weather.FINE, Weather.FINE, *Weather]),
    st.sampled_from(["answered", "silent", "lost", "unreached", "pending"]),
)
RARELY = st.sampled_from([True] + [False] * 5)


@dataclass
class Attempt:
    """One request for a call, in a thread of some host."""

    name: str
    key: str
    host: int
    step: object
    todo: list = field(default_factory=list)
    replies: list = field(default_factory=list)
    effects_before: int = 0


class CallMachine(RuleBasedStateMachine):
    """Hosts of any zone, callers that send a key again, and a service that counts.

    A killed host's attempts are dropped; a paused host's attempts simply aren't
    stepped for a while, which the choice of the attempt to step covers.
    """

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.effects = Counter()
        self.attempts = []
        self.all_attempts = []
        self.dispatched_by = Counter()

    @rule(key=st.sampled_from(KEYS), host=st.integers(0, 2))
    def caller_sends(self, key, host):
        name = f"a{len(self.all_attempts)}"
        wanted = IntentRow("club", key, body_hash="h", attempt=name)
        attempt = Attempt(name, key, host, start_call(wanted))
        attempt.effects_before = self.effects[key]
        attempt.todo = list(attempt.step.actions)
        self.attempts.append(attempt)
        self.all_attempts.append(attempt)

    @precondition(lambda self: self.attempts)
    @rule(pick=st.integers(0, 99), fates=st.lists(FATES, min_size=1, max_size=6))
    def step(self, pick, fates):
        """Let one attempt run on for some steps."""
        attempt = self.attempts[pick % len(self.attempts)]
        for weather, outcome in fates:
            if attempt.todo:
                self.step_once(attempt, weather, outcome)

    def step_once(self, attempt, weather, outcome):
        match attempt.todo.pop(0):
            case ReadRow(key):
                self.tell(attempt, self.read(key, weather))
            case WriteRow(row, transaction):
                self.tell(attempt, self.write(row, transaction, weather))
            case Dispatch(row):
                event = self.send(attempt, row, outcome)
                if event is not None:
                    self.tell(attempt, event)
            case Reply() | Refuse() as reply:
                attempt.replies.append(reply)
                self.judge(attempt, reply)

    @precondition(lambda self: self.attempts)
    @rule(pick=st.integers(0, 99), really=RARELY)
    def caller_runs_out_of_time(self, pick, really):
        attempt = self.attempts[pick % len(self.attempts)]
        if really and not any(isinstance(a, Refuse | Reply) for a in attempt.todo):
            sent = isinstance(attempt.step.state, Dispatched) and not attempt.todo
            if sent or not isinstance(attempt.step.state, Dispatched):
                attempt.todo.clear()
                self.tell(attempt, GaveUp(Refusal(Reason.TIMEOUT, "time is up")))

    @rule(host=st.integers(0, 2), really=RARELY)
    def kill_host(self, host, really):
        if really:
            self.attempts = [a for a in self.attempts if a.host != host]

    @precondition(lambda self: self.platform.delayed)
    @rule(pick=st.integers(0, 99))
    def delayed_write_arrives(self, pick):
        self.platform.deliver(pick % len(self.platform.delayed))

    @precondition(lambda self: self.attempts)
    @rule(pick=st.integers(0, 99), event=st.sampled_from(["unreached", "conflict"]))
    def duplicated_answer(self, pick, event):
        """Give a late copy of an answer to an attempt that has moved on."""
        attempt = self.attempts[pick % len(self.attempts)]
        if isinstance(attempt.step.state, Finished):
            late = TargetUnreached() if event == "unreached" else RowConflict()
            self.tell(attempt, late)

    def read(self, key, weather):
        try:
            version, row = self.platform.read(TABLE, key, weather)
        except NoAnswerError:
            return PlatformFailed()
        return RowRead(row and replace(row, version=version))

    def write(self, row, transaction, weather):
        try:
            write = Write(TABLE, row.key, row.version, row)
            (version,) = self.platform.transact(transaction, [write], weather=weather)
        except NoAnswerError:
            return PlatformFailed()
        except ConflictError:
            return RowConflict()
        return RowWritten(version)

    def send(self, attempt, row, outcome):
        if outcome == "unreached":
            return TargetUnreached()
        self.dispatched_by[attempt.name] += 1
        if outcome == "lost":
            return TargetSilent()
        self.effects[attempt.key] += 1
        if outcome == "silent":
            return TargetSilent()
        if outcome == "pending":
            return None
        return TargetAnswered(200, f"effect of {row.attempt}")

    def tell(self, attempt, event):
        attempt.step = step_call(attempt.step.state, event)
        attempt.todo += attempt.step.actions

    def judge(self, attempt, reply):
        """Check that a not-run refusal is true and a reply names a real effect."""
        assert len(attempt.replies) == 1, "a caller got two answers"
        match reply:
            case Refuse(refusal) if refusal.verdict is Verdict.NOT_RUN:
                assert not self.dispatched_by[attempt.name]
            case Refuse(refusal):
                assert refusal.verdict is Verdict.MAY_HAVE_RUN
            case Reply(row):
                assert row.state is IntentState.DONE
                assert self.effects[attempt.key] == 1
                assert row.answer.startswith("effect of ")

    @invariant()
    def at_most_one_effect(self):
        assert all(n <= 1 for n in self.effects.values()), self.effects

    @invariant()
    def no_not_run_row_beside_an_effect(self):
        """Check that no row frees its key while the effect stands."""
        for (_, key), (_, row) in self.platform.rows.items():
            if row.state is IntentState.NOT_RUN:
                assert not self.effects[key.partition("/")[2]]

    def teardown(self):
        """In fine weather each attempt ends, and each live caller has one answer."""
        while self.platform.delayed:
            self.platform.deliver(0)
        for attempt in self.attempts:
            if isinstance(attempt.step.state, Dispatched) and not attempt.todo:
                self.tell(attempt, TargetSilent())
            while attempt.todo:
                self.step_once(attempt, Weather.FINE, "answered")
            assert len(attempt.replies) == 1, attempt
            assert isinstance(attempt.step.state, Finished)
        self.at_most_one_effect()


class TestCalls:
    def test_at_most_once(self):
        """Two hosts get the same charge, the platform loses answers or applies a write
        late, a host dies between the intent and the outcome. A double effect is a
        double fee; a false "not run" makes the caller pay twice by itself.
        """
        run_fuzz(CallMachine)

"""Turns of programs and sub-agents: order, history and budget under every fault."""

from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from swifttide_core.documents import Profile
from swifttide_core.programs import (
    ChunkStored,
    ModelAnswered,
    ModelFailed,
    ModelUnreached,
    ProgramRow,
    PutChunk,
    ReadRows,
    RefuseRequest,
    ReplyTurn,
    RowsConflict,
    RowsRead,
    RowsWritten,
    RunModel,
    StoreFailed,
    Turn,
    TurnGivenUp,
    TurnRequest,
    WriteRows,
    start_turn,
    step_turn,
)
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.programs import AdvanceReservation, ProgramRegistry
from tests.fuzz._platform import (
    ConflictError,
    FakePlatform,
    NoAnswerError,
    Weather,
    Write,
)
from tests.fuzz._settings import run_fuzz, run_seed

BUDGET = 30
TURN_TOKENS = 10
PROFILE = Profile("night", budget_tokens=BUDGET, max_turn_tokens=TURN_TOKENS)
ROOT = "box"
SUB_AGENT = "box-sub"
TREE = SimpleNamespace(placement_key=f"khuslen/{ROOT}")
HOSTS = ("a1", "a2", "b1", "b2")
FATES = st.tuples(
    st.sampled_from([Weather.FINE] * 6 + list(Weather)),
    st.sampled_from(["answered", "answered", "failed", "unreached"]),
    st.integers(1, TURN_TOKENS),
)
RARELY = st.sampled_from([True] + [False] * 5)


@dataclass
class Attempt:
    """One request for a turn, in a thread of some host."""

    name: str
    program: str
    host: str
    book: ProgramRegistry
    turn: Turn
    body: str
    step: object
    todo: list = field(default_factory=list)
    dispatched: bool = False
    replies: int = 0


class TurnMachine(RuleBasedStateMachine):
    """Two zones of two hosts serve one root program and its sub-agent.

    Each zone has its own slot row, so that hosts of both zones may serve the program
    at once, as when callers come in through both sides of a cut.
    """

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.memory = {}
        self.attempts = []
        self.n_attempts = 0
        self.spent = 0
        self.acknowledged = {}
        self.seen_history = {}
        self.claim("a1")
        self.claim("b1")

    @rule(host=st.sampled_from(HOSTS), really=RARELY)
    def claim_slot(self, host, really):
        if really:
            self.claim(host)

    def claim(self, host):
        """Let a host take its zone's slot; the former holder isn't told."""
        key = f"{host[0]}/7"
        version, epoch = self.platform.rows.get(("slots", key), (0, 0))
        write = Write("slots", key, version, epoch + 1)
        self.platform.transact(f"claim-{host}-{version}", [write])
        book = (
            self.memory[host][1]
            if host in self.memory
            else ProgramRegistry(None, lambda *_: None)
        )
        self.memory[host] = (f"{key}/{epoch + 1}", book)

    @precondition(lambda self: self.memory)
    @rule(
        pick=st.integers(0, 9),
        program=st.sampled_from([ROOT, SUB_AGENT]),
        number=st.sampled_from([None, None, None, 1, 2]),
        body=st.sampled_from(["x", "y"]),
    )
    def caller_sends(self, pick, program, number, body):
        host = sorted(self.memory)[pick % len(self.memory)]
        if any(a.host == host and a.program == program for a in self.attempts):
            return
        holder, book = self.memory[host]
        ahead = book.take_advance_reservation(TREE)
        self.n_attempts += 1
        name = f"t{self.n_attempts}"
        row = ProgramRow("khuslen", program, ROOT)
        turn = Turn(
            attempt=name,
            holder=holder,
            zone=host[0],
            request=TurnRequest(number, body),
            new_program=row,
            new_root=replace(row, program=ROOT),
            profile=PROFILE,
            tokens=TURN_TOKENS,
            ahead=ahead.tokens,
            ahead_term=ahead.term,
        )
        known = book.cached_rows(TREE, turn.row_keys)
        attempt = Attempt(
            name, program, host, book, turn, body, start_turn(turn, known)
        )
        attempt.todo = list(attempt.step.actions)
        self.attempts.append(attempt)

    @precondition(lambda self: self.attempts)
    @rule(pick=st.integers(0, 99), fates=st.lists(FATES, min_size=1, max_size=6))
    def step(self, pick, fates):
        """Let one attempt run on for some steps."""
        attempt = self.attempts[pick % len(self.attempts)]
        for fate in fates:
            if attempt.todo:
                self.step_once(attempt, *fate)
        if not attempt.todo:
            assert attempt.replies == 1
            self.attempts.remove(attempt)

    def step_once(self, attempt, weather, outcome, used):
        match attempt.todo.pop(0):
            case ReadRows(keys):
                self.tell(attempt, self.read(attempt, keys, weather))
            case WriteRows(rows, transaction):
                self.tell(attempt, self.write(attempt, rows, transaction, weather))
            case RunModel(number, chunks):
                assert len(chunks) == number - 1, "a turn ran out of its order"
                self.tell(attempt, self.run_model(attempt, outcome, used))
            case PutChunk(name):
                self.tell(attempt, self.put_chunk(attempt, name, weather))
            case ReplyTurn() as reply:
                self.acknowledge(attempt, reply)
            case RefuseRequest(refusal):
                if refusal.verdict is Verdict.NOT_RUN:
                    assert not attempt.dispatched
                    if refusal.reason is Reason.OUT_OF_ORDER:
                        assert not self.is_in_history(attempt), "it has run before"
                    self.leave_ahead(attempt, attempt.turn.ahead)
                attempt.replies += 1

    @precondition(lambda self: self.attempts)
    @rule(pick=st.integers(0, 99), really=RARELY)
    def time_runs_out(self, pick, really):
        attempt = self.attempts[pick % len(self.attempts)]
        if really and not isinstance(attempt.todo[0], RefuseRequest | ReplyTurn):
            attempt.todo.clear()
            self.tell(attempt, TurnGivenUp(Refusal(Reason.TIMEOUT, "time is up")))

    @rule(host=st.sampled_from(HOSTS), really=RARELY)
    def kill_host(self, host, really):
        if not really:
            return
        self.attempts = [a for a in self.attempts if a.host != host]
        self.memory.pop(host, None)

    @precondition(lambda self: self.platform.delayed)
    @rule(pick=st.integers(0, 99))
    def delayed_write_arrives(self, pick):
        self.platform.deliver(pick % len(self.platform.delayed))

    def read(self, attempt, keys, weather):
        try:
            found = [self.platform.read("programs", key, weather) for key in keys]
        except NoAnswerError:
            return StoreFailed()
        rows = tuple(row and replace(row, version=v) for v, row in found)
        attempt.book.cache_rows(TREE, rows)
        return RowsRead(rows)

    def write(self, attempt, rows, transaction, weather):
        """Write as the daemon does: conditional on the rows, not on the slot."""
        writes = [Write("programs", row.key, row.version, row) for row in rows]
        try:
            versions = self.platform.transact(transaction, writes, (), weather)
        except NoAnswerError:
            attempt.book.drop_cached_rows(TREE)
            return StoreFailed()
        except ConflictError:
            attempt.book.drop_cached_rows(TREE)
            return RowsConflict()
        written = zip(rows, versions, strict=True)
        attempt.book.cache_rows(TREE, tuple(replace(r, version=v) for r, v in written))
        return RowsWritten(tuple(versions))

    def run_model(self, attempt, outcome, used):
        if outcome == "unreached":
            return ModelUnreached(Refusal(Reason.NO_TARGET, "no connection"))
        attempt.dispatched = True
        if outcome == "failed":
            self.spent += TURN_TOKENS
            return ModelFailed()
        self.spent += used
        return ModelAnswered(used, "e1")

    def put_chunk(self, attempt, name, weather):
        try:
            self.platform.put_object(name, (attempt.program, attempt.body), weather)
        except NoAnswerError:
            return StoreFailed()
        return ChunkStored()

    def acknowledge(self, attempt, reply):
        content = self.platform.objects[reply.chunk]
        assert content == (attempt.program, attempt.body), "another turn's answer"
        place = (attempt.program, reply.number)
        assert self.acknowledged.setdefault(place, reply.chunk) == reply.chunk
        attempt.replies += 1
        if reply.chunk == attempt.turn.chunk_name(reply.number):
            attempt.book.add_advance_reservation(
                TREE, AdvanceReservation(reply.ahead, reply.term)
            )
        else:
            self.leave_ahead(attempt, attempt.turn.ahead)

    def is_in_history(self, attempt):
        """Return whether the same turn, number and body, is committed."""
        number, row = attempt.turn.request.turn, self.row(attempt.program)
        if number is None or row is None or number > row.turns:
            return False
        chunk = row.chunks[number - 1]
        return self.platform.objects[chunk] == (attempt.program, attempt.body)

    def leave_ahead(self, attempt, tokens):
        attempt.book.add_advance_reservation(
            TREE, AdvanceReservation(tokens, attempt.turn.ahead_term)
        )

    def tell(self, attempt, event):
        attempt.step = step_turn(attempt.step.state, event)
        attempt.todo += attempt.step.actions

    def row(self, program):
        return self.platform.rows.get(("programs", f"khuslen/{program}"), (0, None))[1]

    @invariant()
    def history_only_grows(self):
        for program in (ROOT, SUB_AGENT):
            row = self.row(program)
            chunks = () if row is None else row.chunks
            before = self.seen_history.get(program, ())
            assert chunks[: len(before)] == before, "history was lost or replaced"
            self.seen_history[program] = chunks
            for number, chunk in enumerate(chunks, start=1):
                assert self.platform.objects[chunk][0] == program, "histories mixed"
                assert f"/{number:06d}-" in chunk

    @invariant()
    def what_a_caller_got_is_in_the_history(self):
        for (program, number), chunk in self.acknowledged.items():
            assert self.seen_history[program][number - 1] == chunk

    @invariant()
    def budget_holds(self):
        """Count at the engines, lost turns at their most."""
        assert self.spent <= BUDGET
        root = self.row(ROOT)
        if root is not None:
            assert root.budget_reserved >= 0
            assert root.budget_used + root.budget_reserved <= BUDGET


class TestTurns:
    def test_order_history_and_budget(self):
        """A host dies between two turns, its slot is taken over while it is paused, a
        zone is cut and both sides serve the program, the platform loses answers. A
        household would find its order of last week gone, or another's in its place.
        """
        run_fuzz(TurnMachine)

    def test_seed_of_a_program_that_came_back(self):
        """Found a reservation settled twice, when a zone lost a program and got it
        back while a turn was running: a program spends more than its budget.
        """
        run_seed(TurnMachine, 2678900627)

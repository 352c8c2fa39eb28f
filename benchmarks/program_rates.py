"""Programs of a customer whose rate carries little more than they ask for.

Many customers, each with a rate of 1.6 times what its programs ask for on average and a
burst of one second of it. A program makes requests turn by turn, some of them at once,
and has an aim. Each way of letting requests in sees the same programs; tokens of a
customer lie at one place, so that only the decision differs.

    python -m benchmarks.program_rates
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.rates import (
    ActivePrograms,
    Denied,
    Granted,
    ProgramSizeEstimates,
    RatePool,
    RequestKey,
    TokenTransfer,
)

SECONDS = 40.0
N_CUSTOMERS = 88
PROGRAMS_PER_SECOND = 21.0
RATE_TIMES = 1.6
FILL_SECONDS = 0.05
MAX_WAIT_SECONDS = 1.5
SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of programs.

    Parameters
    ----------
    name : str
    turns, think_seconds, turn_seconds, tool_seconds : float
        Means.
    aim_times, worth : float
    """

    name: str
    turns: float
    think_seconds: float
    turn_seconds: float
    tool_seconds: float
    aim_times: float
    worth: float


KINDS = (
    Kind("draft", 4.0, 0.15, 0.07, 0.07, 1.2, 3.0),
    Kind("check", 11.0, 0.02, 0.06, 0.07, 1.3, 10.0),
)
KIND_WEIGHTS = (18.8, 12.1)


@dataclass(slots=True)
class Program:
    """One program: for each turn how many calls follow it, and how it went."""

    name: str
    kind: Kind
    customer: int
    begins_at: float
    calls: tuple[int, ...]
    pauses: tuple[float, ...]
    outcome: str = ""
    n_made: int = 0

    @property
    def n_requests(self) -> int:
        """Turns and calls."""
        return len(self.calls) + sum(self.calls)

    @property
    def idle_seconds(self) -> float:
        """How long it takes where nothing waits."""
        tools = sum(self.kind.tool_seconds for n in self.calls if n)
        return len(self.calls) * self.kind.turn_seconds + tools + sum(self.pauses)

    @property
    def aim_seconds(self) -> float:
        """Time in which it should end."""
        return self.kind.aim_times * self.idle_seconds + 0.2


@dataclass(frozen=True, slots=True)
class Way:
    """A way to let requests in.

    Parameters
    ----------
    name : str
    extra : float
        Tokens that are stored beyond the burst.
    by_kind : bool
        Whether sizes are learned for each kind.
    """

    name: str
    extra: float = 0.0
    by_kind: bool = False


WAYS = (
    Way("as before"),
    Way("6 more stored", extra=6.0),
    Way("12 more stored", extra=12.0),
    Way("15 more stored", extra=15.0),
    Way("12 more, sizes by kind", extra=12.0, by_kind=True),
)


def draw_programs(seed: int) -> tuple[list[Program], list[float]]:
    """Return programs in order of their beginning, and customers' rates."""
    rng = random.Random(seed)
    weights = [1.0 / (i + 4) ** 0.8 for i in range(N_CUSTOMERS)]
    programs, now = [], 0.0
    while True:
        now += rng.expovariate(PROGRAMS_PER_SECOND)
        if now > SECONDS:
            break
        kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        n_turns = max(
            1, min(round(2 * kind.turns), round(rng.gauss(1, 0.4) * kind.turns))
        )
        calls = tuple(_draw_calls(rng) for _ in range(n_turns))
        pauses = tuple(
            rng.lognormvariate(-0.15, 0.55) * kind.think_seconds
            for _ in range(n_turns - 1)
        )
        customer = rng.choices(range(N_CUSTOMERS), weights)[0]
        programs.append(
            Program(f"p{len(programs)}", kind, customer, now, calls, pauses)
        )
    mean_requests = statistics.mean(p.n_requests for p in programs)
    total = sum(weights)
    rates = [
        RATE_TIMES * PROGRAMS_PER_SECOND * mean_requests * w / total for w in weights
    ]
    return programs, rates


def _draw_calls(rng) -> int:
    return 2 * (rng.random() < 0.7) + (rng.random() < 0.4) + (rng.random() < 0.2)


@dataclass
class Customer:
    """A customer's tokens and the programs that use them."""

    rate: float
    pool: RatePool
    load: ActivePrograms
    number: int = 0
    filled_at: float = 0.0
    waiting: dict[RequestKey, Callable[[], None]] = field(default_factory=dict)


class Play:
    """Plays programs against one way."""

    def __init__(self, way: Way, programs: list[Program], rates: list[float]):
        self._way = way
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0
        sizes = ProgramSizeEstimates()
        self._customers = [
            Customer(r, RatePool(r, r + way.extra, 0.0), ActivePrograms(sizes))
            for r in rates
        ]
        for customer in self._customers:
            customer.pool.deposit("h", "b", 0, TokenTransfer(0.0, 1.0, 0), 0.0)
            self._at(FILL_SECONDS, self._filler(customer))
        for program in programs:
            self._at(program.begins_at, self._beginner(program))

    def run(self) -> None:
        """Play until all programs have ended or been given up."""
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            if self.now > SECONDS + 12.0:
                break
            act()

    def _at(self, when, act):
        heapq.heappush(self._events, (when, next(self._order), act))

    def _filler(self, customer):
        def fill():
            customer.number += 1
            tokens = customer.rate * FILL_SECONDS
            handful = TokenTransfer(tokens, 1.0, 0)
            customer.pool.deposit("h", "b", customer.number, handful, self.now)
            for asker in customer.pool.grant_waiting(self.now):
                customer.waiting.pop(asker)()
            self._at(self.now + FILL_SECONDS, fill)

        return fill

    def _beginner(self, program):
        return lambda: self._turn(program, 0, True, 2)

    def _turn(self, program, index, may_be_new, tries):
        def go_on():
            at = self.now + program.kind.turn_seconds
            self._at(at, lambda: self._calls(program, index))

        self._request(program, may_be_new, go_on, tries)

    def _calls(self, program, index):
        left = [program.calls[index]]

        def done():
            left[0] -= 1
            if left[0] <= 0:
                self._next(program, index)

        if not program.calls[index]:
            self._next(program, index)
            return
        for _ in range(program.calls[index]):
            self._request(
                program,
                False,
                lambda: self._at(self.now + program.kind.tool_seconds, done),
                1,
            )

    def _next(self, program, index):
        if program.outcome:
            return
        if index + 1 == len(program.calls):
            late = self.now - program.begins_at > program.aim_seconds
            program.outcome = "late" if late else "in time"
            return
        at = self.now + program.pauses[index]
        self._at(at, lambda: self._turn(program, index + 1, False, 2))

    def _request(self, program, may_be_new, go_on, tries):
        if program.outcome:
            return
        customer = self._customers[program.customer]
        asker = RequestKey("h", "b", next(self._order))
        if may_be_new and not customer.load.is_active(program.name):
            seconds = self._until_room(customer, program)
            if seconds > 0.0:
                self._again(program, may_be_new, go_on, tries, seconds)
                return
        wait = 0.0 if may_be_new else MAX_WAIT_SECONDS
        standing = customer.pool.request_token(asker, self.now + wait, self.now)
        if isinstance(standing, Denied):
            self._again(program, may_be_new, go_on, tries, standing.seconds)
            return
        has_waited = not isinstance(standing, Granted)
        customer.load.record_request(
            program.name, has_waited, self.now, *self._kind(program)
        )
        program.n_made += 1
        if not has_waited:
            go_on()
            return
        customer.waiting[asker] = go_on
        self._at(self.now + wait, lambda: self._give_up(program, asker, go_on, tries))

    def _give_up(self, program, asker, go_on, tries):
        customer = self._customers[program.customer]
        if customer.waiting.pop(asker, None) is None:
            return
        customer.pool.cancel(asker)
        self._again(program, False, go_on, tries, 0.1)

    def _again(self, program, may_be_new, go_on, tries, seconds):
        if not tries:
            program.outcome = "refused"
            return
        at = self.now + max(0.1, min(2.0, seconds))
        self._at(at, lambda: self._request(program, may_be_new, go_on, tries - 1))

    def _kind(self, program):
        return (program.kind.name,) if self._way.by_kind else ()

    def _until_room(self, customer, program) -> float:
        kind = program.kind.name if self._way.by_kind else ""
        return customer.load.seconds_until_admission(
            customer.pool.level, customer.rate, self.now, kind
        )


def worth(programs: list[Program]) -> float:
    """Return the part of all worth that programs in time earned."""
    mean = {
        k.name: statistics.mean(p.idle_seconds for p in programs if p.kind is k)
        for k in KINDS
    }
    earned = owed = 0.0
    for p in programs:
        size = p.idle_seconds / mean[p.kind.name]
        w = p.kind.worth * min(4.0, 0.3 + 0.7 * size)
        owed += w
        earned += w * {"in time": 1.0, "late": 0.1}.get(p.outcome, 0.0)
    return earned / owed


def main() -> None:
    """Print a table of all ways."""
    for way in WAYS:
        rows = []
        for seed in SEEDS:
            programs, rates = draw_programs(seed)
            Play(way, programs, rates).run()
            n = len(programs)
            share = [
                sum(p.outcome == o for p in programs) / n
                for o in ("in time", "late", "refused")
            ]
            begun = sum(p.outcome == "refused" and p.n_made > 0 for p in programs) / n
            rows.append((worth(programs), *share, begun))
        means = [statistics.mean(c) for c in zip(*rows, strict=True)]
        print(f"{way.name:28}", *(f"{m:.3f}" for m in means))


if __name__ == "__main__":
    main()

"""Turns that targets run now, as far as the scheduler of a service knows.

Load pattern: hundreds of hosts report some 600 placements and as many ends per second.
Reports may be lost, and a host may stop without reporting the ends of its turns.
Therefore each turn expires, and counts of a host's beacon correct those of the
scheduler. Counts are kept up to date with each change, since each placement reads those
of all targets.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swifttide_core.scheduling._requests import TurnId
from swifttide_core.scheduling._work_class import WorkClass

STARTUP_SECONDS = 3.0
"""Time after its start or return during which a scheduler also counts the requests that
other hosts have reported, since it has not seen the turns placed before."""

RECONCILE_MIN_AGE_SECONDS = 0.6
"""Minimum age of a turn that is removed because its host no longer reports it. A
younger turn may not have been sent yet when the host reported."""


@dataclass(frozen=True, slots=True)
class OutstandingTurn:
    """A turn that was placed and has not ended.

    Parameters
    ----------
    id : TurnId
    program : str
    branch : str
    prompt_prefix : str
    work : WorkClass
    prompt_tokens : int
    read_tokens : int
        Prompt tokens that the target was not expected to have cached.
    n_others : int
        Turns at the target when this one was placed.
    placed_at, expires_at : float
        Monotonic seconds.
    waited_seconds : float
        Time that it waited for a slot.
    is_low_load : bool
        Whether most slots of all targets were free when it was placed.
    """

    id: TurnId
    program: str
    branch: str
    prompt_prefix: str
    work: WorkClass
    prompt_tokens: int
    read_tokens: int
    n_others: int
    placed_at: float
    expires_at: float
    waited_seconds: float
    is_low_load: bool


class OutstandingTurns:
    """Outstanding turns by target, with their number by rank.

    Parameters
    ----------
    now : float
        Current time in monotonic seconds, as in all methods.
    reported_outstanding : callable
        Takes a target's id and returns the number of outstanding requests there that
        other hosts have reported.
    """

    def __init__(self, now: float, reported_outstanding: Callable[[str], float]):
        self._started_at = now
        self._reported_outstanding = reported_outstanding
        self._turns: dict[str, dict[TurnId, OutstandingTurn]] = {}
        self._tokens: Counter[str] = Counter()
        self._by_rank: Counter[int] = Counter()
        self._expiries: list[tuple[float, int, str, TurnId]] = []
        self._n_added = 0

    def resume(self, now: float) -> None:
        """Count what other hosts report again, as after a start.

        Another host may have placed turns since the scheduler was last asked.
        """
        self._started_at = now

    def add(self, target: str, turn: OutstandingTurn) -> None:
        """Record a turn that was placed at a target."""
        self._turns.setdefault(target, {})[turn.id] = turn
        self._tokens[target] += turn.prompt_tokens
        self._by_rank[turn.work.rank] += 1
        self._n_added += 1
        heapq.heappush(
            self._expiries, (turn.expires_at, self._n_added, target, turn.id)
        )

    def find(self, turn: TurnId) -> str | None:
        """Return the target at which a turn is outstanding; None if at none."""
        return next((t for t, turns in self._turns.items() if turn in turns), None)

    def remove(self, target: str, turn: TurnId) -> OutstandingTurn | None:
        """Remove a turn and return it; None if it is unknown."""
        found = self._turns.get(target, {}).pop(turn, None)
        if found is not None:
            self._tokens[target] -= found.prompt_tokens
            rank = found.work.rank
            self._by_rank[rank] -= 1
            if not self._by_rank[rank]:
                del self._by_rank[rank]
        return found

    def forget_target(self, target: str) -> None:
        """Remove all turns of a target that has left."""
        for turn in list(self._turns.get(target, {})):
            self.remove(target, turn)
        self._turns.pop(target, None)
        self._tokens.pop(target, None)

    def expire(self, now: float) -> None:
        """Remove the turns for which no caller waits any more."""
        while self._expiries and self._expiries[0][0] <= now:
            _, _, target, turn = heapq.heappop(self._expiries)
            known = self._turns.get(target, {}).get(turn)
            if known is not None and known.expires_at <= now:
                self.remove(target, turn)

    def reconcile_host(self, host: str, counts: dict[str, int], now: float) -> None:
        """Remove turns that their host no longer reports.

        The report of the end of such a turn was lost.

        Parameters
        ----------
        host : str
            Address of the reporting host.
        counts : dict of str to int
            Number of the host's outstanding requests at each target.
        now : float
        """
        for target, turns in self._turns.items():
            own = [
                turn
                for turn in turns.values()
                if turn.id.host == host
                and now - turn.placed_at > RECONCILE_MIN_AGE_SECONDS
            ]
            surplus = max(0, len(own) - counts.get(target, 0))
            for turn in sorted(own, key=lambda turn: turn.placed_at)[:surplus]:
                self.remove(target, turn.id)

    def count(self, target: str, now: float) -> float:
        """Return the number of outstanding turns at a target."""
        count = float(len(self._turns.get(target, ())))
        if now - self._started_at < STARTUP_SECONDS:
            count = max(count, self._reported_outstanding(target))
        return count

    def total(self, targets: Iterable[str], now: float) -> float:
        """Return the number of outstanding turns at some targets together."""
        return sum(self.count(target, now) for target in targets)

    def tokens(self, target: str) -> int:
        """Return the prompt tokens of the outstanding turns at a target."""
        return self._tokens.get(target, 0)

    def unattributed(self, targets: Iterable[str], now: float) -> float:
        """Return the number of turns that only other hosts have reported.

        It is 0 but for the first seconds, in which a new scheduler knows the rank and
        program of few turns.
        """
        if now - self._started_at >= STARTUP_SECONDS:
            return 0.0
        return sum(
            max(0.0, self._reported_outstanding(t) - len(self._turns.get(t, ())))
            for t in targets
        )

    def by_rank(self) -> dict[int, float]:
        """Return the number of outstanding turns by rank."""
        return {rank: float(n) for rank, n in self._by_rank.items() if n > 0}

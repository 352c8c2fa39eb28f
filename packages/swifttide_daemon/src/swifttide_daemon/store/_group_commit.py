"""Several transactions of a host in one.

Load pattern: many turns and non-repeatable calls end or begin at a host at the same
time, each with a transaction of its own. The platform takes several hundred writes a
second from all hosts together; without grouping ten hosts reach that at some thirty
calls a second each, and from there on every turn waits for its commit.

Transactions go out at once as long as there are fewer than one an interval; a few may
come close together, as the intent and the outcome of one call do. Beyond that they wait
for the next interval, and all that wait go out as one. Fifty a second for each of ten
hosts are the several hundred of the platform; the wait is at most an interval, which a
turn of seconds doesn't show. Measured by ``make bench-daemon``, docs/measurements.md.

When the group meets a conflict nothing of it took effect, and each transaction is sent
alone: one program that another host has taken must not fail its neighbours' turns.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Ok, Result

from swifttide_daemon.store._types import (
    Committed,
    Conflict,
    PlatformError,
    Transaction,
)

GROUP_INTERVAL_SECONDS = 0.02
BURST_GROUPS = 10
"""Intervals that a quiet spell saves up for transactions that come close together."""

MAX_GROUP_TRANSACTIONS = 50
"""Transactions in a group: a conflict costs as many exchanges."""

Outcome = Result[Committed | Conflict, PlatformError]


@dataclass(slots=True)
class _Group:
    """Transactions that go out together, led by the thread that opened it."""

    send_at: float
    transactions: list[Transaction] = field(default_factory=list)
    row_keys: set[tuple[str, str]] = field(default_factory=set)
    outcomes: list[Outcome] = field(default_factory=list)
    done: threading.Event = field(default_factory=threading.Event)

    def accepts(self, tx: Transaction) -> bool:
        """Return whether a transaction may join: rows of two must not overlap."""
        fits = len(self.transactions) < MAX_GROUP_TRANSACTIONS
        return fits and self.row_keys.isdisjoint(_row_keys(tx))

    def add(self, tx: Transaction) -> int:
        """Add a transaction and return its number."""
        self.transactions.append(tx)
        self.row_keys.update(_row_keys(tx))
        return len(self.transactions) - 1


class GroupCommit:
    """Groups transactions by time.

    Parameters
    ----------
    commit : callable
        Sends one transaction and returns its outcome.
    interval_seconds : float
        Mean time between two groups under load.
    burst : int
        Groups that may go out at once after a quiet spell.
    """

    def __init__(
        self,
        commit: Callable[[Transaction], Outcome],
        interval_seconds: float = GROUP_INTERVAL_SECONDS,
        burst: int = BURST_GROUPS,
    ) -> None:
        self.burst = burst
        self.commit = commit
        self.interval_seconds = interval_seconds
        self._open_group: _Group | None = None
        self._scheduled_until = float("-inf")
        self._lock = threading.Lock()

    def submit(self, tx: Transaction) -> Outcome:
        """Send a transaction, alone or in a group, and return its own outcome."""
        with self._lock:
            group = self._open_group
            leads = group is None or not group.accepts(tx)
            if leads:
                group = self._open_group = _Group(self._reserve_send_time())
            number = group.add(tx)
        if leads:
            self._run_group(group)
        else:
            group.done.wait()
        return group.outcomes[number]

    def _reserve_send_time(self) -> float:
        """Return when the next group may go out, and count it."""
        now = time.monotonic()
        saved = (self.burst - 1) * self.interval_seconds
        due = max(now, self._scheduled_until - saved)
        self._scheduled_until = max(self._scheduled_until, now) + self.interval_seconds
        return due

    def _run_group(self, group: _Group) -> None:
        time.sleep(max(0.0, group.send_at - time.monotonic()))
        with self._lock:
            if self._open_group is group:
                self._open_group = None
        try:
            group.outcomes = self._commit_group(group.transactions)
        finally:
            group.done.set()

    def _commit_group(self, transactions: list[Transaction]) -> list[Outcome]:
        if len(transactions) == 1:
            return [self.commit(transactions[0])]
        merged = Transaction(
            checks=tuple(c for tx in transactions for c in tx.checks),
            writes=tuple(w for tx in transactions for w in tx.writes),
        )
        outcome = self.commit(merged)
        if outcome.is_error():
            return [outcome for _ in transactions]
        match outcome.ok:
            case Committed(versions):
                return _split_versions(transactions, versions)
            case Conflict():
                return [self.commit(tx) for tx in transactions]


def _split_versions(
    transactions: list[Transaction], versions: tuple[int, ...]
) -> list[Outcome]:
    """Return each transaction's part of the versions that were written."""
    outcomes: list[Outcome] = []
    start = 0
    for tx in transactions:
        end = start + len(tx.writes)
        outcomes.append(Ok(Committed(versions[start:end])))
        start = end
    return outcomes


def _row_keys(tx: Transaction) -> set[tuple[str, str]]:
    checked = {(check.table, check.key) for check in tx.checks}
    return checked | {(write.table, write.key) for write in tx.writes}

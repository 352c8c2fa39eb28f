"""Merges concurrent transactions of one host into a single transaction.

Under load, many turns and non-repeatable calls begin or end on a host at the same time,
each with its own transaction. The platform accepts several hundred writes per second
from all hosts together. Without grouping, ten hosts reach that limit at about thirty
calls per second each, and from then on every turn waits for its commit.

Transactions are sent immediately while there are fewer than one per interval on
average. A few may be sent in quick succession, such as the intent and the outcome of
one call. Beyond that, transactions wait for the next interval, and all that wait are
sent as one group. Fifty groups per second from each of ten hosts amount to the several
hundred writes of the platform. The wait is at most one interval, which is negligible
for a turn that takes seconds. ``make bench-daemon`` measures it, see
docs/measurements.md.

If a group meets a conflict, none of its transactions is committed, and each is sent
separately. A program that another host has taken over thus doesn't fail the turns of
other programs.
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
"""Mean interval between two groups under load."""

BURST_GROUPS = 10
"""Groups that may be sent in quick succession after a period of low load."""

MAX_GROUP_TRANSACTIONS = 50
"""Maximum transactions in a group; a conflict causes as many single commits."""

Outcome = Result[Committed | Conflict, PlatformError]


@dataclass(slots=True)
class _Group:
    """Transactions that are sent together by the thread that opened the group."""

    send_at: float
    transactions: list[Transaction] = field(default_factory=list)
    row_keys: set[tuple[str, str]] = field(default_factory=set)
    outcomes: list[Outcome] = field(default_factory=list)
    done: threading.Event = field(default_factory=threading.Event)

    def accepts(self, tx: Transaction) -> bool:
        """Return whether a transaction may join the group.

        Two transactions of a group must not check or write the same row.
        """
        fits = len(self.transactions) < MAX_GROUP_TRANSACTIONS
        return fits and self.row_keys.isdisjoint(_row_keys(tx))

    def add(self, tx: Transaction) -> int:
        """Add a transaction and return its index in the group."""
        self.transactions.append(tx)
        self.row_keys.update(_row_keys(tx))
        return len(self.transactions) - 1


class GroupCommit:
    """Groups transactions that are submitted within one interval.

    Parameters
    ----------
    commit : callable
        Sends one transaction and returns its outcome.
    interval_seconds : float
        Mean time between two groups under load.
    burst : int
        Groups that may be sent without delay after a period of low load.
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
        """Commit a transaction, alone or in a group, and return its own outcome.

        Blocks the calling thread until the outcome is known.
        """
        with self._lock:
            group = self._open_group
            is_leader = group is None or not group.accepts(tx)
            if is_leader:
                group = self._open_group = _Group(self._reserve_send_time())
            index = group.add(tx)
        if is_leader:
            self._run_group(group)
        else:
            group.done.wait()
        return group.outcomes[index]

    def _reserve_send_time(self) -> float:
        """Return when the next group may be sent, and reserve that time for it."""
        now = time.monotonic()
        burst_seconds = (self.burst - 1) * self.interval_seconds
        send_at = max(now, self._scheduled_until - burst_seconds)
        self._scheduled_until = max(self._scheduled_until, now) + self.interval_seconds
        return send_at

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
    """Return the outcome of each transaction with the versions of its own writes."""
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

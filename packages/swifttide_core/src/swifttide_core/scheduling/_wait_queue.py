"""Queue of the work that waits at the scheduler for a slot.

In a burst, a quarter more turns are requested than the targets complete, so that
hundreds wait, and the next one is chosen for each slot that becomes free: up to 600
times a second. Waiters are therefore grouped by rank and customer; a choice compares
groups and the oldest waiter of each, and doesn't sort all waiters.
"""

import heapq
import itertools
import math
from bisect import bisect_left, insort
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass

from swifttide_core.scheduling._fair_shares import FairShares
from swifttide_core.scheduling._work_class import WorkClass

MIN_RANK_FRACTION = 0.1
"""Guaranteed fraction of recent service for each rank that has waiting work. A rank
below it goes before more urgent ones, so that it is never starved."""

CATCH_UP_INTERVAL = 3
"""A rank below its minimum share goes before more urgent ones at every third slot. A
rank that returns after a pause would otherwise take every free slot until it has
caught up, while urgent work waits."""

MAX_WAITERS = 1_000
"""Largest number of waiters: two seconds of what the targets of a service complete,
which is longer than callers' deadlines allow a turn to wait."""

MAX_STALE_GIVE_UPS = 256
"""Entries of removed waiters in the heap of expiry times, beyond one for each waiter,
above which the heap is rebuilt; this bounds its memory."""

_Entry = tuple[float, int, "Waiter"]


@dataclass(frozen=True, slots=True)
class Waiter:
    """A piece of work that waits for a slot.

    Parameters
    ----------
    key : Hashable
        Identity of the work.
    work : WorkClass
    is_begun : bool
        Whether the work belongs to a program in progress.
    since : float
        Time since which it waits, in monotonic seconds. It lies before the arrival of
        the request if the work has already waited at another scheduler.
    give_up_at : float
        Time at which nobody waits for the work any more, in monotonic seconds.
    """

    key: Hashable
    work: WorkClass
    is_begun: bool
    since: float
    give_up_at: float


class _Group:
    """Waiters of one rank that all are, or all are not, of programs in progress."""

    __slots__ = ("customers", "size")

    def __init__(self):
        self.customers: dict[str, list[_Entry]] = {}
        self.size = 0

    def add(self, entry: _Entry) -> None:
        insort(self.customers.setdefault(entry[2].work.customer, []), entry)
        self.size += 1

    def remove(self, entry: _Entry) -> None:
        customer = entry[2].work.customer
        entries = self.customers[customer]
        del entries[bisect_left(entries, entry)]
        if not entries:
            del self.customers[customer]
        self.size -= 1

    def in_order(self, shares: FairShares, now: float) -> Iterator[_Entry]:
        """Yield the entries by their customer's recent service, then by age."""
        service = shares.customer_service
        ordered = [
            (service(entries[0][2].work, now), entries[0], entries)
            for entries in self.customers.values()
        ]
        first = min(ordered)[1]
        yield first
        # Most calls end here; customers are sorted only if the first can't be taken.
        ordered.sort()
        for _, tied in itertools.groupby(ordered, key=lambda item: item[0]):
            lists = [entries for _, _, entries in tied]
            merged = sorted(itertools.chain(*lists)) if len(lists) > 1 else lists[0]
            for entry in merged:
                if entry is not first:
                    yield entry

    def count_ahead(self, waiter: Waiter, number, shares, now) -> int:
        """Return the number of entries before a waiter; `number` decides equal ages."""
        own_service = shares.customer_service(waiter.work, now)
        n_ahead = 0
        for customer, entries in self.customers.items():
            service = (
                own_service
                if customer == waiter.work.customer
                else shares.customer_service(entries[0][2].work, now)
            )
            if service < own_service:
                n_ahead += len(entries)
            elif service == own_service:
                n_ahead += bisect_left(entries, (waiter.since, number))
        return n_ahead


class WaitQueue:
    """Bounded queue, ordered by what the waiters' programs and customers have received.

    The order is: work of programs in progress; at every third slot a rank with less
    than its minimum share of recent service; the more urgent rank; the customer with
    the least recent service in its rank; the oldest. Several ranks below their minimum
    go by urgency, so that the minimum changes nothing until a more urgent rank has been
    served.

    Parameters
    ----------
    max_waiters : int
        Largest number of waiters.
    """

    def __init__(self, max_waiters: int = MAX_WAITERS):
        self._max_waiters = max_waiters
        self._entries: dict[Hashable, _Entry] = {}
        self._groups: dict[tuple[bool, int], _Group] = {}
        self._give_ups: list[tuple[float, int, Hashable]] = []
        self._numbers = itertools.count()
        self._n_since_catch_up = CATCH_UP_INTERVAL

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._entries

    def add(self, waiter: Waiter) -> bool:
        """Add a waiter, or replace the one with the same key.

        Returns
        -------
        bool
            False if the queue is full; it is then unchanged.
        """
        if waiter.key not in self._entries and len(self) >= self._max_waiters:
            return False
        self.remove(waiter.key)
        entry = (waiter.since, next(self._numbers), waiter)
        self._entries[waiter.key] = entry
        group_key = (waiter.is_begun, waiter.work.rank)
        if group_key not in self._groups:
            self._groups[group_key] = _Group()
        self._groups[group_key].add(entry)
        heapq.heappush(self._give_ups, (waiter.give_up_at, entry[1], waiter.key))
        if len(self._give_ups) > 2 * len(self) + MAX_STALE_GIVE_UPS:
            self._give_ups = [
                (entry[2].give_up_at, entry[1], key)
                for key, entry in self._entries.items()
            ]
            heapq.heapify(self._give_ups)
        return True

    def remove(self, key: Hashable) -> Waiter | None:
        """Remove a waiter, for example because its caller has left, and return it."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        waiter = entry[2]
        group_key = (waiter.is_begun, waiter.work.rank)
        group = self._groups[group_key]
        group.remove(entry)
        if not group.size:
            del self._groups[group_key]
        return waiter

    def expire(self, now: float) -> list[Waiter]:
        """Remove the waiters whose `give_up_at` has passed.

        Other methods don't compare `give_up_at` with the time.

        Returns
        -------
        list of Waiter
            The removed ones, ordered by `give_up_at`.
        """
        expired = []
        while self._give_ups and self._give_ups[0][0] <= now:
            _, number, key = heapq.heappop(self._give_ups)
            entry = self._entries.get(key)
            if entry is not None and entry[1] == number:
                expired.append(self.remove(key))
        return expired

    def next(
        self,
        shares: FairShares,
        now: float,
        may_take: Callable[[Waiter], bool] = lambda waiter: True,
    ) -> Waiter | None:
        """Remove and return the first waiter that may be taken; None without one.

        Parameters
        ----------
        shares : FairShares
            Service that ranks and customers received recently.
        now : float
            Monotonic seconds.
        may_take : callable
            Whether a slot is free for a waiter. It is called for one waiter after the
            other until it returns True, for all of them if it never does.

        Returns
        -------
        Waiter or None
        """
        for group_key in self._groups_in_order(shares, now):
            for _, _, waiter in self._groups[group_key].in_order(shares, now):
                if may_take(waiter):
                    self._count_catch_up(group_key)
                    return self.remove(waiter.key)
        return None

    def _count_catch_up(self, group_key):
        """Count the slots since a rank went before a more urgent one."""
        is_begun, rank = group_key
        is_catch_up = any(
            other_begun == is_begun and other < rank
            for other_begun, other in self._groups
        )
        self._n_since_catch_up = 1 if is_catch_up else self._n_since_catch_up + 1

    def count_ahead(self, waiter: Waiter, shares: FairShares, now: float) -> int:
        """Return the number of waiters that are before one in the order of now.

        A waiter whose key is in the queue is counted at its queued position, another
        one at the position that it would get.

        Parameters
        ----------
        waiter : Waiter
        shares : FairShares
            Service that ranks and customers received recently.
        now : float
            Monotonic seconds.
        """
        queued = self._entries.get(waiter.key)
        number: float = math.inf
        if queued is not None:
            _, number, waiter = queued
        own_order = _group_order(waiter.is_begun, waiter.work.rank, shares, now)
        n_ahead = 0
        for (is_begun, rank), group in self._groups.items():
            order = _group_order(is_begun, rank, shares, now)
            if order < own_order:
                n_ahead += group.size
            elif order == own_order:
                n_ahead += group.count_ahead(waiter, number, shares, now)
        return n_ahead

    def counts_by_rank(self) -> dict[int, int]:
        """Return the number of waiters of each rank that has any."""
        counts: dict[int, int] = {}
        for (_, rank), group in self._groups.items():
            counts[rank] = counts.get(rank, 0) + group.size
        return counts

    def counts(self) -> dict[tuple[int, str], int]:
        """Return the number of waiters of each rank and customer that has any."""
        counts: dict[tuple[int, str], int] = {}
        for (_, rank), group in self._groups.items():
            for customer, entries in group.customers.items():
                key = (rank, customer)
                counts[key] = counts.get(key, 0) + len(entries)
        return counts

    def _groups_in_order(self, shares, now) -> list[tuple[bool, int]]:
        if self._n_since_catch_up < CATCH_UP_INTERVAL:
            return sorted(self._groups, key=lambda key: (not key[0], key[1]))
        return sorted(
            self._groups, key=lambda key: _group_order(key[0], key[1], shares, now)
        )


def _group_order(is_begun, rank, shares, now) -> tuple[bool, bool, int]:
    is_above_minimum = shares.rank_fraction(rank, now) >= MIN_RANK_FRACTION
    return (not is_begun, is_above_minimum, rank)

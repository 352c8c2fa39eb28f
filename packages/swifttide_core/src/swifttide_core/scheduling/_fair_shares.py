"""Service that priority levels and customers received recently.

Bursts of one customer, or of the lowest priority level, ask for several times the
slots that they usually get. The order of waiting work therefore depends on the service
that each of them received in the last seconds.

Service decays exponentially. Each sum is decayed only when it is read or changed, so
that the cost of a turn doesn't grow with the number of customers.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable

from swifttide_core.scheduling._work_class import WorkClass

HALF_LIFE_SECONDS = 2.0
"""Time in which recorded service falls to half. It covers some ten turns of 0.2 s, and
is shorter than the bursts of 3.5 to 7 s whose customers should be delayed."""

NEGLIGIBLE_PLACE_SECONDS = 1e-6
"""Decayed service up to which a sum counts as 0. A turn of 0.2 s falls below it after
35 s; otherwise a single turn of a minute ago would be all recent service."""

MAX_CUSTOMERS = 4_096
"""Largest number of customers with recorded service, some 200 bytes each; the one
whose service was recorded least recently is evicted, since most of it has decayed."""

MAX_RANKS = 64
"""Largest number of ranks with recorded service. Configurations have a handful;
requests of other hosts could contain any number."""


class _DecayingSum:
    __slots__ = ("_updated_at", "_value")

    def __init__(self):
        self._value = 0.0
        self._updated_at = -math.inf

    def get(self, now) -> float:
        if self._value == 0.0:
            return 0.0
        elapsed = max(0.0, now - self._updated_at)
        value = self._value * 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        return value if value > NEGLIGIBLE_PLACE_SECONDS else 0.0

    def add(self, amount, now) -> float:
        """Add an amount; return by how much the sum changed, which stays above 0."""
        before = self.get(now)
        self._value = max(0.0, before + amount)
        self._updated_at = max(now, self._updated_at)
        return self._value - before


class FairShares:
    """Decaying sums of slot-seconds by rank, and by customer within a rank."""

    def __init__(self):
        self._customers: OrderedDict[tuple[int, str], _DecayingSum] = OrderedDict()
        self._ranks: OrderedDict[int, _DecayingSum] = OrderedDict()
        self._total = _DecayingSum()

    def record(self, work: WorkClass, slot_seconds: float, now: float) -> None:
        """Add service that a piece of work received.

        An expected time may be recorded when a slot is assigned, and its difference to
        the actual time at the end. Otherwise a rank or customer without service would
        get every slot that becomes free until its first turn has ended.

        Parameters
        ----------
        work : WorkClass
        slot_seconds : float
            Time for which the work occupied a slot, in seconds; negative to correct
            an earlier value. No sum falls below 0. A value that isn't finite is
            ignored.
        now : float
            Monotonic seconds.
        """
        if not math.isfinite(slot_seconds):
            return
        customer = _get_bounded(
            self._customers, (work.rank, work.customer), MAX_CUSTOMERS
        )
        rank = _get_bounded(self._ranks, work.rank, MAX_RANKS)
        customer.add(slot_seconds, now)
        self._total.add(rank.add(slot_seconds, now), now)

    def customer_service(self, work: WorkClass, now: float) -> float:
        """Return the recent service of a customer within its rank, by its weight.

        Parameters
        ----------
        work : WorkClass
            Any work of the customer in that rank; its route makes no difference.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Decayed slot-seconds per weight; 0 if nothing was recorded.
        """
        service = self._customers.get((work.rank, work.customer))
        return 0.0 if service is None else service.get(now) / work.weight

    def rank_fraction(self, rank: int, now: float) -> float:
        """Return a rank's fraction of all recent service; 0 if there was none."""
        service = self._ranks.get(rank)
        total = self._total.get(now)
        if service is None or total == 0.0:
            return 0.0
        return min(1.0, service.get(now) / total)


def _get_bounded(
    sums: OrderedDict[Hashable, _DecayingSum], key, max_sums
) -> _DecayingSum:
    service = sums.get(key)
    if service is None:
        service = sums[key] = _DecayingSum()
        if len(sums) > max_sums:
            sums.popitem(last=False)
    else:
        sums.move_to_end(key)
    return service

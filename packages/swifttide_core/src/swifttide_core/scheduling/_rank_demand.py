"""Recent demand by priority level, from which slots are reserved.

A burst of the lowest priority level occupies each slot that becomes free. More urgent
turns that arrive a moment later would then wait for the end of a turn, although their
demand was to be expected. Places are therefore kept free for the more urgent levels,
but only as many as these needed in about the last second.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

DECAY_SECONDS = 1.0
"""Time constant with which recent need falls to the current count. It covers the pauses
of 0.15 s between the turns of a program; a longer one leaves slots unused when the
demand of a rank ends."""

MIN_RESERVED_PLACES = 0.5
"""Smallest reservation for a rank, in slots. Without it, the remainder of an earlier
need would keep a slot free for many seconds, as targets have whole slots."""

FORGET_SECONDS = 10.0
"""Time without any work after which a rank is forgotten; its need has then decayed to
less than a ten-thousandth."""

MAX_RANKS = 64
"""Largest number of ranks with a recent need. Configurations have a handful; requests
of other hosts could contain any number. The one longest without work is evicted."""


@dataclass(slots=True)
class _Need:
    slots: float
    observed_at: float
    last_work_at: float

    def decayed(self, count, now) -> float:
        if count >= self.slots:
            return count
        elapsed = max(0.0, now - self.observed_at)
        return count + (self.slots - count) * math.exp(-elapsed / DECAY_SECONDS)


class RankDemand:
    """Recent need of each rank, in slots.

    Counts are taken as observed, at least several times a second while there is work;
    the need decays as if the newest count had held since the previous observation.
    """

    def __init__(self):
        self._needs: OrderedDict[int, _Need] = OrderedDict()

    def observe(self, counts: Mapping[int, float], now: float) -> None:
        """Take the current counts into account.

        Parameters
        ----------
        counts : mapping of int to float
            Places that each rank occupies or waits for; 0 for an absent rank.
        now : float
            Monotonic seconds.
        """
        for rank, need in list(self._needs.items()):
            count = counts.get(rank, 0.0)
            need.slots = need.decayed(count, now)
            need.observed_at = now
            if count <= 0 and now - need.last_work_at > FORGET_SECONDS:
                del self._needs[rank]
        for rank, count in counts.items():
            if count <= 0:
                continue
            need = self._needs.get(rank)
            if need is None:
                self._needs[rank] = _Need(count, now, now)
                continue
            need.last_work_at = now
            self._needs.move_to_end(rank)
        while len(self._needs) > MAX_RANKS:
            self._needs.popitem(last=False)

    def reserved_above(
        self, rank: int, counts: Mapping[int, float], now: float
    ) -> float:
        """Return the number of slots to keep free for more urgent ranks.

        Parameters
        ----------
        rank : int
            Rank of the work that asks for a slot.
        counts : mapping of int to float
            Places that each rank occupies or waits for now; 0 for an absent rank.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Sum over the more urgent ranks of recent need minus current count.
        """
        reserved = 0.0
        for other, need in self._needs.items():
            if other >= rank:
                continue
            count = counts.get(other, 0.0)
            missing = need.decayed(count, now) - count
            if missing >= MIN_RESERVED_PLACES:
                reserved += missing
        return reserved

"""Slots whose recorded holders refuse calls because they don't hold them.

The recorded holder of a slot can be wrong for long only while the platform is
unavailable: its lease has expired, and no host can claim the slot, or the view that
names it can't be refreshed.
"""

import threading

from swifttide_core.membership import HostRow

DENIAL_SECONDS = 3.0
"""Time during which a host isn't selected as the holder of a slot that it denied."""


class DeniedSlots:
    """Slots that their recorded holders have denied to hold.

    There is at most one entry per slot of each zone.
    """

    def __init__(self) -> None:
        self._denials: dict[tuple[str, int], tuple[str, float]] = {}
        self._lock = threading.Lock()

    def add(self, holder: HostRow, slot: int, now: float) -> None:
        """Record that a host denied to hold a slot of its zone.

        Parameters
        ----------
        holder : HostRow
        slot : int
        now : float
            Monotonic time, in seconds.
        """
        until = now + DENIAL_SECONDS
        with self._lock:
            self._denials[holder.zone, slot] = (holder.incarnation, until)

    def contains(self, holder: HostRow, slot: int, now: float) -> bool:
        """Return whether this incarnation of a host has denied a slot recently."""
        with self._lock:
            incarnation, until = self._denials.get((holder.zone, slot), ("", now))
        return incarnation == holder.incarnation and now < until

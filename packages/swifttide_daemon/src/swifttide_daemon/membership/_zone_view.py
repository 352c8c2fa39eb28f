"""Snapshot of the hosts and slots of one availability zone."""

from dataclasses import dataclass, field

from swifttide_core.membership import HostRow, SlotRow, is_held


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Hosts and slots of a zone as last read from the platform, here or at a peer.

    Parameters
    ----------
    head_version : int
        Version of the zone's head row, read before the hosts and slots. Every change
        to the zone's membership increments it. -1 before the first read.
    hosts : dict of str to HostRow
        Rows of the zone's hosts by host id.
    slots : tuple of SlotRow
        One row per slot, indexed by slot number; empty before the first read.
    read_at : float
        Time of the read in monotonic seconds; 0.0 before the first read.
    outdated : bool
        Whether the zone must be read again even if its head row is unchanged.
    """

    head_version: int = -1
    hosts: dict[str, HostRow] = field(default_factory=dict)
    slots: tuple[SlotRow, ...] = ()
    read_at: float = 0.0
    outdated: bool = False

    def holder(self, slot: int) -> HostRow | None:
        """Return the host that holds a slot, or None while no host holds it."""
        if slot >= len(self.slots):
            return None
        row = self.slots[slot]
        return self.hosts[row.host] if is_held(row, self.hosts) else None

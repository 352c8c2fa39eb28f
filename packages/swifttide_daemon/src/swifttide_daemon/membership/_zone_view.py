"""What a host knows of the hosts and slots of one availability zone."""

from dataclasses import dataclass, field

from swifttide_core.membership import HostRow, SlotRow, is_held


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Hosts and slots of a zone as last read.

    Parameters
    ----------
    head_version : int
        Version of the zone's head row before the rest was read.
    hosts : dict of str to HostRow
        By host id.
    slots : tuple of SlotRow
        One for each slot, in order.
    read_at : float
        Monotonic seconds.
    """

    head_version: int = -1
    hosts: dict[str, HostRow] = field(default_factory=dict)
    slots: tuple[SlotRow, ...] = ()
    read_at: float = 0.0

    def holder(self, slot: int) -> HostRow | None:
        """Return the host that holds a slot, or None while it is free."""
        if slot >= len(self.slots):
            return None
        row = self.slots[slot]
        return self.hosts[row.host] if is_held(row, self.hosts) else None

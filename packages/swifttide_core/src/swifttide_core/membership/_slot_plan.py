"""Assignment of slots to hosts.

Decides which slots a host should claim and which it should hand over, from the rows of
the slots and of the hosts. Each slot belongs to the preferred one of the live hosts.
"""

from collections.abc import Iterable, Mapping

from swifttide_core.membership._host_row import HostRow, HostState
from swifttide_core.membership._slot_row import SlotRow
from swifttide_core.slots import preferred_host


def _live_ids(hosts: Iterable[HostRow]) -> list[str]:
    return [row.host for row in hosts if row.state is HostState.LIVE]


def is_held(row: SlotRow, hosts: Mapping[str, HostRow]) -> bool:
    """Return whether the incarnation in a slot row may still act as the holder."""
    holder = hosts.get(row.host)
    if holder is None or holder.incarnation != row.incarnation:
        return False
    return holder.state is not HostState.DEAD


def plan_claims(
    own_host: str, slots: Iterable[SlotRow], hosts: Mapping[str, HostRow]
) -> list[SlotRow]:
    """Return the free slots that this host should claim.

    Parameters
    ----------
    own_host : str
        Id of this host.
    slots : iterable of SlotRow
        All slots of the zone.
    hosts : mapping of str to HostRow
        Host rows of the zone by host id, including dead hosts.

    Returns
    -------
    list of SlotRow
        Rows as read. The claims are writes on condition of their versions.
    """
    live = _live_ids(hosts.values())
    return [
        row
        for row in slots
        if not is_held(row, hosts) and preferred_host(row.slot, live) == own_host
    ]


def plan_handovers(
    own_host: str, slots: Iterable[SlotRow], hosts: Mapping[str, HostRow]
) -> list[SlotRow]:
    """Return the slots that this host holds, but another live host should hold.

    A joining host receives its share of the slots in this way, and a leaving host hands
    over all its slots.
    """
    live = _live_ids(hosts.values())
    mine = hosts.get(own_host)
    if mine is None or not live:
        return []
    return [
        row
        for row in slots
        if row.host == own_host
        and row.incarnation == mine.incarnation
        and preferred_host(row.slot, live) != own_host
    ]

"""Assignment of slots to hosts.

Decides which slots a host should claim and which it should hand over, from the rows of
the slots and of the hosts. Each slot belongs to the preferred one of the live hosts.

A slot that is handed over gets its next holder with the same write. If it was released
first and claimed later, it would have no holder in between, and for long if the
platform became unavailable or the next holder was lost.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType

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
    own_host: str,
    slots: Iterable[SlotRow],
    hosts: Mapping[str, HostRow],
    released_epochs: Mapping[int, int] = MappingProxyType({}),
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
    released_epochs : mapping of int to int
        Epoch at which this host stopped acting for a slot, by slot number. A slot
        that it should hold after all, since its handover failed and the next holder
        was lost, is claimed again.

    Returns
    -------
    list of SlotRow
        Rows as read. The claims are writes on condition of their versions.
    """
    live = _live_ids(hosts.values())

    def is_free(row: SlotRow) -> bool:
        is_released = row.epoch <= released_epochs.get(row.slot, -1)
        return not is_held(row, hosts) or (row.host == own_host and is_released)

    return [
        row
        for row in slots
        if is_free(row) and preferred_host(row.slot, live) == own_host
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


def assign_slots(
    own_host: str, slots: Iterable[SlotRow], hosts: Mapping[str, HostRow]
) -> list[SlotRow]:
    """Return the rows that hand over slots of this host.

    Parameters
    ----------
    own_host : str
        Id of this host.
    slots : iterable of SlotRow
        Slots to hand over, see `plan_handovers`.
    hosts : mapping of str to HostRow
        Host rows of the zone by host id.

    Returns
    -------
    list of SlotRow
        Each row names the next holder and the epoch of its claim. A slot whose next
        holder has not joined yet is left out, or released if this host is leaving.

    Notes
    -----
    A host has joined once its lease row shows that it has read the zone (`knows_head`).
    A host that is lost before that isn't deposed for `max_extension_seconds`.
    """
    live = _live_ids(hosts.values())
    rows = []
    for row in slots:
        new_holder = hosts[preferred_host(row.slot, live)]
        if new_holder.knows_head > 0:
            assigned = replace(
                row,
                host=new_holder.host,
                incarnation=new_holder.incarnation,
                epoch=row.epoch + 1,
            )
            rows.append(assigned)
        elif hosts[own_host].state is not HostState.LIVE:
            rows.append(replace(row, host="", incarnation=""))
    return rows

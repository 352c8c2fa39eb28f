"""Placement of programs, customers, targets and fingerprints on slots."""

from collections.abc import Iterable
from enum import StrEnum

import xxhash


class SlotKind(StrEnum):
    """What a slot key names; kinds hash apart so that their load spreads."""

    PROGRAM = "program"
    CUSTOMER = "customer"
    TARGET = "target"
    FINGERPRINT = "fingerprint"


def slot_of(kind: SlotKind, key: str, n_slots: int) -> int:
    """Return the slot of a key.

    Parameters
    ----------
    kind : SlotKind
        What the key names.
    key : str
        For a program, the id of its ROOT, so that sub-agents share the place
        where order and budget are decided.
    n_slots : int
        Fixed number of slots of an availability zone.

    Returns
    -------
    int
        In ``range(n_slots)``.
    """
    return _hash(f"{kind}\0{key}") % n_slots


def preferred_host(slot: int, hosts: Iterable[str]) -> str | None:
    """Return the host that should hold a slot, by rendezvous hashing.

    Parameters
    ----------
    slot : int
        Slot of the zone.
    hosts : iterable of str
        Ids of the zone's live hosts.

    Returns
    -------
    str or None
        None when there is no live host. When a host joins or leaves, only the
        slots that it gains or held move.
    """
    return max(
        hosts,
        key=lambda host: (_hash(f"{slot}\0{host}"), host),
        default=None,
    )


def ranked_zones(key: str, zones: Iterable[str]) -> list[str]:
    """Return zones in the order in which they should serve a root program.

    Parameters
    ----------
    key : str
        Customer and id of the ROOT program.
    zones : iterable of str
        All zones.

    Returns
    -------
    list of str
        The home zone first, by rendezvous hashing. Balancers send each call of a
        program to another entry host; were it served in whichever zone it enters,
        its history and its engine's cache would move with each turn.
    """
    return sorted(zones, key=lambda zone: (_hash(f"{key}\0{zone}"), zone), reverse=True)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())

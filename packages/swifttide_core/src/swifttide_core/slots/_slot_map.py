"""Mapping of keys to slots, of slots to hosts and of programs to zones.

The mappings are hash functions of their arguments, so that all hosts with the same
membership compute the same result without communication.
"""

from collections.abc import Iterable
from enum import StrEnum

import xxhash


class SlotKind(StrEnum):
    """Kind of a key.

    The kind is part of the hash, so that equal keys of different kinds are mapped
    independently of each other and the load is spread.
    """

    PROGRAM = "program"
    CUSTOMER = "customer"
    TARGET = "target"
    FINGERPRINT = "fingerprint"


def slot_of(kind: SlotKind, key: str, n_slots: int) -> int:
    """Return the slot of a key.

    Parameters
    ----------
    kind : SlotKind
        Kind of the key.
    key : str
        For a program, the id of its ROOT, so that the order and the budget of all
        its sub-agents are decided by the same slot.
    n_slots : int
        Fixed number of slots of an availability zone.

    Returns
    -------
    int
        Number of the slot, in ``range(n_slots)``.
    """
    return _hash(f"{kind}\0{key}") % n_slots


def preferred_host(slot: int, hosts: Iterable[str]) -> str | None:
    """Return the host that should hold a slot, by rendezvous hashing.

    Parameters
    ----------
    slot : int
        Number of the slot within the zone.
    hosts : iterable of str
        Ids of the zone's live hosts.

    Returns
    -------
    str or None
        None if there is no live host. When a host joins or leaves, only the slots
        that it gains or held are assigned to another host.
    """
    return max(
        hosts,
        key=lambda host: (_hash(f"{slot}\0{host}"), host),
        default=None,
    )


def ranked_zones(key: str, zones: Iterable[str]) -> list[str]:
    """Return zones in the order of preference for serving a root program.

    Parameters
    ----------
    key : str
        Customer and id of the ROOT program.
    zones : iterable of str
        All zones.

    Returns
    -------
    list of str
        All zones, the home zone first, ordered by rendezvous hashing. Load balancers
        send the calls of a program to different entry hosts. If a call were served in
        the zone of its entry host, the program's history and engine cache would have
        to move with each turn.
    """
    return sorted(zones, key=lambda zone: (_hash(f"{key}\0{zone}"), zone), reverse=True)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())

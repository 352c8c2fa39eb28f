"""Allocation of program slots, whose owners lend tokens during outages of the store.

Decides which slots a host should own, from the slots of all hosts and the number of
hosts. It serves a load in which the store is down for all hosts while new programs
continue to arrive.

Without it, no host could admit a new program during an outage, because any other host
might do the same for the same program, and a program in an endless loop would get its
budget once at each host.

Programs are mapped to slots by their keys, and while the store is available its rows
assign each slot to one owner. A slot is released before another host acquires it, so
that two hosts never own it at the same time. A slot whose owner has vanished remains
without an owner for as long as tokens lent by that owner may be in use.
"""

from collections.abc import Iterable

N_SLOTS = 64
"""Number of slots: some six per host. The row that lists all of them takes some 200
bytes."""


def slot_of(program_key: str) -> int:
    """Return the slot of a program.

    Parameters
    ----------
    program_key : str
        Digest in hexadecimal notation.
    """
    return int(program_key[:4], 16) % N_SLOTS


def plan_slots(
    own: frozenset[int],
    others: Iterable[frozenset[int]],
    n_hosts: int,
    may_release: bool,
) -> frozenset[int]:
    """Return the slots that a host should own.

    Parameters
    ----------
    own : frozenset of int
        Slots that this host owns now.
    others : iterable of frozenset of int
        Slots of each other host, including hosts that vanished recently.
    n_hosts : int
        Number of live hosts, including this one.
    may_release : bool
        Whether slots may be released, as no tokens are lent from the own slots.
    """
    taken = frozenset().union(*others)
    fair = -(-N_SLOTS // max(1, n_hosts))
    if len(own) > fair:
        return frozenset(sorted(own)[:fair]) if may_release else own
    free = sorted(frozenset(range(N_SLOTS)) - taken - own)
    return own | frozenset(free[: fair - len(own)])

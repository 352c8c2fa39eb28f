"""Which host may hand out a program's tokens while the store is away.

Load pattern: the store is down for all hosts, and new programs go on arriving.

Without it: no host may let a new program in, as any other might do the same for the
same program, and a program that loops would get its budget once at each of them.

Grounds: programs are spread over slots by their key, and each slot has one owner in
the store's rows while the store is well. A slot changes hands only by being given up
first, so two hosts never hold it at once; one whose owner has vanished stays without
an owner for as long as what that owner lent could still be in use.
"""

from collections.abc import Iterable

N_SLOTS = 64
"""Six or so a host today. A row lists them all, some 200 bytes."""


def slot_of(program_key: str) -> int:
    """Return the slot of a program.

    Parameters
    ----------
    program_key : str
        A digest in hexadecimal.
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
        Slots that it owns now.
    others : iterable of frozenset of int
        Slots of each other host, of those that have vanished lately too.
    n_hosts : int
        Hosts that are there, this one included.
    may_give_up : bool
        Whether nothing was lent from the own slots: then others may go on with them.
    """
    taken = frozenset().union(*others)
    fair = -(-N_SLOTS // max(1, n_hosts))
    if len(own) > fair:
        return frozenset(sorted(own)[:fair]) if may_release else own
    free = sorted(frozenset(range(N_SLOTS)) - taken - own)
    return own | frozenset(free[: fair - len(own)])

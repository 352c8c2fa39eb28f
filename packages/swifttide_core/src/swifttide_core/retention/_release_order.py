"""Orders the release of caches whose programs have ended or stopped calling.

A host that takes over slots may find hundreds of ended or abandoned programs, and a
customer may withdraw all of its programs at once. Caches are released at the engine
one by one. In order of arrival, the few long caches that take most of the memory would
be released late.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldCache:
    """Cache at a target that probably no program will use again.

    Parameters
    ----------
    program : str
        Id of the program that the cache belongs to.
    target : str
        Name of the target that holds the cache.
    tokens : int
        Length of the cache.
    ended : bool
        True if the program has ended, False if it only stopped calling.
    inactive_since : float
        Time at which the program ended or made its last call, in seconds.
    """

    program: str
    target: str
    tokens: int
    ended: bool
    inactive_since: float


def release_order(held: Iterable[HeldCache]) -> tuple[HeldCache, ...]:
    """Return caches of ended programs first, and the longest first in each group.

    Notes
    -----
    An abandoned program may still resume, so its cache may still be useful.
    """
    return tuple(
        sorted(
            held, key=lambda c: (not c.ended, -c.tokens, c.inactive_since, c.program)
        )
    )

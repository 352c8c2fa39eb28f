"""Order in which caches of programs that are gone are released.

Load pattern: a host takes over slots with hundreds of programs that ended or went
silent, or a customer withdraws all of its programs at once. Releases go to the engine
one by one; in the order of arrival the few long histories that matter come late.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldCache:
    """Cache at a target that nobody will use.

    Parameters
    ----------
    program : str
        Id of the program.
    target : str
        Where it is held.
    tokens : int
        Its length.
    ended : bool
        True for a program that ended, False for one that went silent.
    inactive_since : float
        Time of its end or of its last call.
    """

    program: str
    target: str
    tokens: int
    ended: bool
    inactive_since: float


def release_order(held: Iterable[HeldCache]) -> tuple[HeldCache, ...]:
    """Return ended programs before silent ones, the longest cache first.

    Notes
    -----
    Silent programs may still come back, so their cache may yet be of use.
    """
    return tuple(
        sorted(
            held, key=lambda c: (not c.ended, -c.tokens, c.inactive_since, c.program)
        )
    )

"""A call that needs a target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A target that is believed to hold a part of the prompt.

    Parameters
    ----------
    target : str
        Id of the target.
    tokens : int
        Length of the prefix that it holds.
    """

    target: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing must know of a call.

    Parameters
    ----------
    serves : str
        Model, adapter or plain service that the call needs.
    zone : str
        Zone of the host that routes.
    prompt_tokens : int
        Length of the prompt; 0 for plain services.
    prefixes : tuple of CachedPrefix
        Targets with the program's prefix, from the program's row and cache events.
    avoid : frozenset of str
        Targets that were tried for this call.
    new_program : bool
        Whether it is the first call of a program, which waits for room.
    allow_other_zones : bool
        Whether targets of other zones may be chosen.
    """

    serves: str
    zone: str
    prompt_tokens: int = 0
    prefixes: tuple[CachedPrefix, ...] = ()
    avoid: frozenset[str] = frozenset()
    allow_other_zones: bool = True
    new_program: bool = False

"""Properties of a call that target selection depends on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Target that is expected to have a prefix of the prompt cached.

    Parameters
    ----------
    target : str
        Id of the target.
    tokens : int
        Length of the cached prefix in tokens.
    """

    target: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Call that needs a target.

    Parameters
    ----------
    serves : str
        Model, adapter or plain service that the call needs.
    zone : str
        Zone of the host that selects the target.
    prompt_tokens : int
        Length of the prompt in tokens; 0 for plain services.
    prefixes : tuple of CachedPrefix
        Targets with the cached prefix of the program, from the program's row and cache
        events.
    avoid : frozenset of str
        Targets that were already tried for this call.
    new_program : bool
        Whether it is the first call of a program, which waits until the target admits
        a new program.
    allow_other_zones : bool
        Whether targets of other zones may be selected.
    """

    serves: str
    zone: str
    prompt_tokens: int = 0
    prefixes: tuple[CachedPrefix, ...] = ()
    avoid: frozenset[str] = frozenset()
    allow_other_zones: bool = True
    new_program: bool = False

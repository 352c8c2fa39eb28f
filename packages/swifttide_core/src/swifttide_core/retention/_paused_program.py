"""State of a program that is paused between two calls."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PausedProgram:
    """A program whose last call has ended and whose cache is still at an engine.

    Parameters
    ----------
    cached_tokens : int
        Length of its cached prompt prefix at the engine.
    upper_pause_seconds : float
        Duration that few pauses of its profile exceed, see :class:`PauseEstimator`.
    idle_limit_seconds : float
        Longest time that its profile allows between two calls before its cache is
        dropped.
    target_leaving : bool
        Whether the engine that holds the cache is being taken out of service.
    """

    cached_tokens: int
    upper_pause_seconds: float
    idle_limit_seconds: float
    target_leaving: bool = False

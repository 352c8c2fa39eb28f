"""A program between two calls, and the engine that holds its cache."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PausedProgram:
    """A program whose last call has ended.

    Parameters
    ----------
    cached_tokens : int
        Length of its prefix at the engine.
    upper_pause_seconds : float
        Pause that is seldom exceeded, see :class:`PauseEstimator`.
    idle_limit_seconds : float
        Silence after which the profile gives its cache up.
    target_leaving : bool
        Whether the engine that holds it takes no more work.
    """

    cached_tokens: int
    upper_pause_seconds: float
    idle_limit_seconds: float
    target_leaving: bool = False

"""A program between two calls, and the engine that holds its cache."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PausedProgram:
    """A program whose last call has ended.

    Parameters
    ----------
    cached_tokens : int
        Length of its prefix at the engine.
    expected_pause_seconds : float
        Mean pause, see :class:`PauseEstimator`.
    upper_pause_seconds : float
        Pause that is seldom exceeded.
    idle_limit_seconds : float
        Silence after which the profile gives its cache up.
    """

    cached_tokens: int
    expected_pause_seconds: float
    upper_pause_seconds: float
    idle_limit_seconds: float


@dataclass(frozen=True, slots=True)
class EnginePressure:
    """Use of an engine's cache memory.

    Parameters
    ----------
    used_tokens, capacity_tokens : int
        Cache in use and in all.
    turnover_tokens_per_second : float
        New cache that the engine writes; at this speed it evicts what is idle.
    """

    used_tokens: int
    capacity_tokens: int
    turnover_tokens_per_second: float = 0.0

    @property
    def fraction(self) -> float:
        """Part of the cache in use."""
        return self.used_tokens / max(1, self.capacity_tokens)

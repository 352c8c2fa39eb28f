"""What a host observed of a turn, and the speed that follows for its target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TurnObservation:
    """Times of one turn at a target.

    Parameters
    ----------
    first_seconds : float or None
        Time from sending the turn to its first event; None if there was none.
    gap_seconds : float or None
        Mean time between events; None with fewer than two events.
    n_events : int
    read_tokens : int
        Prompt tokens that were not expected in the target's cache.
    n_others : int
        Other turns at the target at the same time.
    capacity : int
        Turns that the target runs concurrently.
    """

    first_seconds: float | None
    gap_seconds: float | None
    n_events: int
    read_tokens: int
    n_others: int
    capacity: int


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """Speed of a target, including its present transient slowdown.

    Parameters
    ----------
    first_seconds : float
        Time to the first event of a turn that runs alone and has nothing to prefill.
    gap_seconds : float
        Time between events of a turn that runs alone.
    slowdown_per_turn : float
        Relative growth of both for each other turn that the target runs.
    seconds_per_token : float
        Time to prefill one prompt token.
    """

    first_seconds: float
    gap_seconds: float
    slowdown_per_turn: float
    seconds_per_token: float

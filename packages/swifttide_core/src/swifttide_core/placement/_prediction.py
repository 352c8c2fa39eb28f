"""Prediction of when a target would complete a turn, and what that costs others.

Everything is in seconds, so that a queue, a prompt to compute, a slow target and a
distant one are compared by the same measure.
"""

from dataclasses import dataclass

from swifttide_core.forwarding import TargetEntry
from swifttide_core.placement._observation import SpeedEstimate

USUAL_EVENTS = 4.0
"""Events of a turn of unknown length, such as those that other turns have."""

REMAINING_EVENTS = USUAL_EVENTS / 2
"""Mean number of events that turns in progress have yet to send."""

MIN_SLOWDOWN = 0.03
"""Lower bound of the growth per other turn, so that equal targets share the load even
where none was learned. One more turn in a batch slows the others by about 1%, and its
prefill by about twice that."""

CROSS_ZONE_SECONDS = 0.012
"""Cost of sending to another zone: a round trip of 2 to 3 ms, and bytes that are paid
for."""

NEW_CONNECTION_SECONDS = 0.010
"""Cost of a new connection: a round trip, a handshake, a slot that is occupied for a
moment, and one of the connections that a target accepts. It is less than the cost of
another zone, so that idle connections don't move traffic out of their zone."""

MEMORY_PENALTY_SECONDS = 1_000.0
"""Cost of exceeding a target's memory, which then interrupts turns and computes them
again. It exceeds all other costs, so that such a target is chosen only if all are."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Work at a target.

    Parameters
    ----------
    outstanding : float
        Turns that run or wait there.
    capacity : int
        Turns that it runs concurrently.
    tokens : int
        Tokens of the outstanding turns.
    token_capacity : int
        Tokens that its memory holds; 0 if unknown.
    """

    outstanding: float
    capacity: int
    tokens: int = 0
    token_capacity: int = 0


@dataclass(frozen=True, slots=True)
class TurnDemand:
    """What a turn needs.

    Parameters
    ----------
    prompt_tokens : int
    n_events : float
        Expected number of events; 0 if unknown.
    tokens_per_event : float
        Output tokens in one event.
    slack_seconds : float or None
        Time that the turn may take longer than at a fast target and still be in time;
        None if unknown, which counts as no slack.
    """

    prompt_tokens: int = 0
    n_events: float = 0.0
    tokens_per_event: float = 1.0
    slack_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A target that may be chosen.

    Parameters
    ----------
    target : TargetEntry
    speed : SpeedEstimate
    load : TargetLoad
    cached_tokens : int
        Tokens of the prompt that are expected in its cache.
    is_remote : bool
        Whether it is in another zone than the host that sends the turn.
    is_connected : bool
        Whether that host has an idle connection to it.
    """

    target: TargetEntry
    speed: SpeedEstimate
    load: TargetLoad
    cached_tokens: int = 0
    is_remote: bool = False
    is_connected: bool = False


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted times of a turn at a target, in seconds.

    Parameters
    ----------
    wait_seconds : float
        Until a slot is free.
    read_seconds : float
        Prefill of the tokens that aren't cached.
    decode_seconds : float
        First event and further events at the occupancy that the turn will see.
    network_seconds : float
        Cost of another zone and of a new connection.
    delay_seconds : float
        Sum of the delays of the other turns at the target.
    memory_seconds : float
        Penalty for exceeding the memory of the target.
    """

    wait_seconds: float
    read_seconds: float
    decode_seconds: float
    network_seconds: float
    delay_seconds: float
    memory_seconds: float

    @property
    def finish_seconds(self) -> float:
        """Time until the turn is complete."""
        return (
            self.wait_seconds
            + self.read_seconds
            + self.decode_seconds
            + self.network_seconds
        )

    @property
    def cost_seconds(self) -> float:
        """Time until the turn is complete, and the cost to other turns."""
        return self.finish_seconds + self.delay_seconds + self.memory_seconds


def predict(candidate: PlacementCandidate, demand: TurnDemand) -> Prediction:
    """Return the predicted times of a turn at a target."""
    return Prediction(
        *prediction_terms(
            candidate,
            demand.prompt_tokens,
            event_count(demand),
            demand.tokens_per_event,
        )
    )


def event_count(demand: TurnDemand) -> float:
    """Return the expected number of events of a turn, at least 1."""
    return max(1.0, demand.n_events) if demand.n_events > 0.0 else USUAL_EVENTS


def prediction_terms(
    candidate: PlacementCandidate,
    prompt_tokens: int,
    n_events: float,
    tokens_per_event: float,
) -> tuple[float, float, float, float, float, float]:
    """Return the fields of a `Prediction`, without the cost of creating one."""
    speed = candidate.speed
    load = candidate.load
    outstanding = load.outstanding
    capacity = load.capacity if load.capacity > 0 else 1
    first = speed.first_seconds
    gap = speed.gap_seconds
    slowdown = speed.slowdown_per_turn
    if slowdown < MIN_SLOWDOWN:
        slowdown = MIN_SLOWDOWN
    if outstanding < capacity:
        wait = 0.0
        n_others = outstanding if outstanding < capacity - 1 else capacity - 1
    else:
        n_others = capacity - 1
        turn_seconds = (first + (USUAL_EVENTS - 1.0) * gap) * (1 + slowdown * n_others)
        wait = (outstanding - capacity + 1.0) * turn_seconds / capacity
    n_read = prompt_tokens - candidate.cached_tokens
    read = n_read * speed.seconds_per_token if n_read > 0 else 0.0
    decode = (first + (n_events - 1.0) * gap) * (1.0 + slowdown * n_others)
    network = CROSS_ZONE_SECONDS if candidate.is_remote else 0.0
    if not candidate.is_connected:
        network += NEW_CONNECTION_SECONDS
    n_delayed = n_events if n_events < REMAINING_EVENTS else REMAINING_EVENTS
    delay = n_others * (read + n_delayed * gap * slowdown)
    memory = 0.0
    if load.token_capacity > 0:
        needed = load.tokens + prompt_tokens + n_events * tokens_per_event
        if needed > load.token_capacity:
            memory = MEMORY_PENALTY_SECONDS * needed / load.token_capacity
    return wait, read, decode, network, delay, memory

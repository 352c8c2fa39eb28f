"""Limit of the outstanding turns of a service, from what callers can tolerate.

Load pattern: a burst of programs needs more turns per second than the targets complete.
Targets slow down as they fill, and turns wait when all slots are occupied. If every
program is admitted, all of them end after their deadlines; if too few are, slots idle
while callers are refused.

The limit follows from the time by which a turn may take longer than at low load so that
its program still ends by its deadline. The part that the slowdown of the targets leaves
may be spent waiting, and a wait is the length of the queue divided by the rate at which
slots become free. The limit has no state of its own, so it recovers as soon as the
measured slowdown does.
"""

WAIT_FRACTION = 0.3
"""Part of the remaining tolerable wait that turns may spend in the queue on average.
The rest covers the wait for admission and waits that are longer than the mean."""

MAX_QUEUE_FRACTION = 0.5
"""Longest queue that is planned for, in slots of all targets. With a long queue, work
of the same rank would wait for seconds after a burst."""

MIN_LIMIT_FRACTION = 0.5
"""Lower bound of the limit, in slots of all targets. Below that load targets hardly
slow each other's turns, so refusing more programs would not speed up the others."""


def load_limit(
    capacity: float,
    tolerable_wait: float,
    turn_seconds: float,
    low_load_turn_seconds: float,
) -> float:
    """Return how many turns may be outstanding or waiting before programs are refused.

    Parameters
    ----------
    capacity : float
        Slots of all targets in service.
    tolerable_wait : float
        Seconds by which a turn may take longer than at low load, on average over the
        turns of a program.
    turn_seconds, low_load_turn_seconds : float
        Mean time of a turn at its target, recently and at low load, in seconds.
    """
    slowdown = max(0.0, turn_seconds - low_load_turn_seconds)
    headroom = tolerable_wait - slowdown
    if headroom < 0.0:
        fraction = max(MIN_LIMIT_FRACTION, tolerable_wait / slowdown)
    else:
        queue = WAIT_FRACTION * headroom / max(turn_seconds, 0.001)
        fraction = 1.0 + min(MAX_QUEUE_FRACTION, queue)
    return capacity * fraction

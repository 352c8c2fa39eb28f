"""Advanced clock and event loop of the bench."""

import heapq
import itertools
from collections.abc import Callable


class Event:
    """A scheduled call that can be cancelled.

    Parameters
    ----------
    action : callable
        Called without arguments at its time.
    """

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action

    def cancel(self) -> None:
        """Make the event do nothing."""
        self.action = None


class Simulation:
    """Clock that jumps from event to event.

    Attributes
    ----------
    now : float
        Seconds since the start.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Event]] = []
        self._sequence = itertools.count()

    def after(self, seconds: float, action: Callable[[], None]) -> Event:
        """Schedule an action; equal times run in the order of scheduling."""
        event = Event(action)
        at = self.now + max(0.0, seconds)
        heapq.heappush(self._events, (at, next(self._sequence), event))
        return event

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        """Repeat an action for good, the first time after one period."""

        def step() -> None:
            action()
            self.after(seconds, step)

        self.after(seconds, step)

    def run(self, until: float) -> None:
        """Advance to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            action = event.action
            if action is not None:
                action()
        self.now = until

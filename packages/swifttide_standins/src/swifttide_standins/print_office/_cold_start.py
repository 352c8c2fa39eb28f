"""A runner that bears little at first."""

import time

WINDOW_SECONDS = 1.0


class ColdStart:
    """Counts requests that reach a cold runner, and its crashes.

    Parameters
    ----------
    bears_per_second : int
        Requests in any second; one more crashes it.

    Attributes
    ----------
    n_crashes : int
    """

    def __init__(self, bears_per_second: int):
        self._bears = bears_per_second
        self._reached: list[float] = []
        self.n_crashes = 0

    def crashes(self) -> bool:
        """Count a request; return whether the runner crashes under it."""
        now = time.monotonic()
        self._reached = [t for t in self._reached if now - t < WINDOW_SECONDS]
        self._reached.append(now)
        has_crashed = len(self._reached) > self._bears
        self.n_crashes += has_crashed
        return has_crashed

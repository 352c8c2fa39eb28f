"""The running batch: as many streams as fit, the rest in order of arrival."""

import threading
import time
from collections import deque


class Batch:
    """Streams that run until a time, whether or not anybody listens.

    Parameters
    ----------
    max_running : int
        Streams at once.
    """

    def __init__(self, max_running: int) -> None:
        self._max_running = max_running
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()
        self._ends: dict[object, float] = {}

    def enter(self, seconds: float) -> tuple[object, float]:
        """Wait for room, then run for `seconds`.

        Returns
        -------
        token : object
            For `leave`.
        start : float
            Monotonic time at which the stream began to run.
        """
        token = object()
        with self._changed:
            self._waiting.append(token)
            while self._waiting[0] is not token or not self._has_room():
                self._changed.wait(self._seconds_to_room())
            self._waiting.popleft()
            start = time.monotonic()
            self._ends[token] = start + seconds
            self._changed.notify_all()
        return token, start

    def leave(self, token: object) -> None:
        """End a stream early."""
        with self._changed:
            self._ends.pop(token, None)
            self._changed.notify_all()

    def load(self) -> tuple[int, int]:
        """Return how many streams run and wait."""
        with self._changed:
            self._has_room()
            return len(self._ends), len(self._waiting)

    def _has_room(self) -> bool:
        now = time.monotonic()
        self._ends = {t: end for t, end in self._ends.items() if end > now}
        return len(self._ends) < self._max_running

    def _seconds_to_room(self) -> float | None:
        if not self._ends:
            return None
        return max(0.001, min(self._ends.values()) - time.monotonic())

"""A lock that is given in the order in which it was asked for.

A plain lock goes to whichever thread the system wakes first: two calls of a program
sent one after the other could then run the other way round.
"""

import threading
from collections import deque


class FifoLock:
    """Mutual exclusion in order of arrival."""

    def __init__(self) -> None:
        self._guard = threading.Lock()
        self._waiting: deque[threading.Event] = deque()
        self._held = False

    def acquire(self, timeout_seconds: float) -> bool:
        """Wait for the lock; return whether it was given in time."""
        with self._guard:
            if not self._held:
                self._held = True
                return True
            turn = threading.Event()
            self._waiting.append(turn)
        if turn.wait(timeout_seconds):
            return True
        with self._guard:
            if turn.is_set():
                return True
            self._waiting.remove(turn)
            return False

    def release(self) -> None:
        """Pass the lock to whoever has waited longest."""
        with self._guard:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._held = False

    @property
    def idle(self) -> bool:
        """Whether nobody holds the lock or waits for it."""
        with self._guard:
            return not self._held

"""Lock that is granted in the order of the requests for it.

A plain lock is granted to whichever thread the system wakes up first. Two calls of a
program that arrive one after the other could then run in reverse order.
"""

import threading
from collections import deque


class FifoLock:
    """Mutual exclusion lock with first-in, first-out order."""

    def __init__(self) -> None:
        self._guard = threading.Lock()
        self._waiting: deque[threading.Event] = deque()
        self._held = False

    def acquire(self, timeout_seconds: float) -> bool:
        """Wait for the lock; return whether it was granted before the timeout."""
        with self._guard:
            if not self._held:
                self._held = True
                return True
            granted = threading.Event()
            self._waiting.append(granted)
        if granted.wait(timeout_seconds):
            return True
        with self._guard:
            if granted.is_set():
                return True
            self._waiting.remove(granted)
            return False

    def release(self) -> None:
        """Release the lock, or pass it to the thread that has waited longest."""
        with self._guard:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._held = False

    @property
    def idle(self) -> bool:
        """Whether no thread holds the lock or waits for it."""
        with self._guard:
            return not self._held

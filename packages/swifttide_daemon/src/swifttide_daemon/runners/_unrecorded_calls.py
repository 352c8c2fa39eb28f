"""Answers of non-repeatable calls that the journal doesn't have yet."""

import threading


class UnrecordedCalls:
    """Counts outcomes that wait for the platform.

    A host that stops with one of them in memory alone turns a known answer into
    ``may_have_run`` for whoever sends the same key again.
    """

    def __init__(self) -> None:
        self._n_outcomes = 0
        self._lock = threading.Lock()

    def increment(self) -> None:
        """Count an outcome that waits."""
        with self._lock:
            self._n_outcomes += 1

    def decrement(self) -> None:
        """Count an outcome that is written, or given up."""
        with self._lock:
            self._n_outcomes -= 1

    def count(self) -> int:
        """Return how many outcomes wait."""
        with self._lock:
            return self._n_outcomes

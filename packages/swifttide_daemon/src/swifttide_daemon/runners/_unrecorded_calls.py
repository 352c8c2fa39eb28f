"""Counts outcomes of non-repeatable calls that are not in the journal yet."""

import threading


class UnrecordedCalls:
    """Counter of outcomes that are held in memory until the platform stores them.

    If the host stops before an outcome is stored, the answer is lost, and a repeated
    call with the same idempotency key gets the verdict ``may_have_run``. A stopping
    host therefore waits until no outcome is left, for a limited time.
    """

    def __init__(self) -> None:
        self._n_outcomes = 0
        self._lock = threading.Lock()

    def increment(self) -> None:
        """Add an outcome that is not stored yet."""
        with self._lock:
            self._n_outcomes += 1

    def decrement(self) -> None:
        """Remove an outcome that was stored or given up."""
        with self._lock:
            self._n_outcomes -= 1

    def count(self) -> int:
        """Return the number of outcomes that are not stored yet."""
        with self._lock:
            return self._n_outcomes

"""Event log of one call, appended by its runner and read by connections.

Several connections can read the events of a call from any index on.
"""

import threading
import time
from collections.abc import Iterator

from swifttide_daemon.calls._events import CallEvent, Failed, Finished, Waiting

KEEPALIVE_INTERVAL_SECONDS = 1.0
"""Longest time between two events that a reader receives; `Waiting` is sent if the call
has no new event."""


class RunningCall:
    """Append-only list of events that any number of readers can follow.

    The connection between entry host and holder can break or become silent while the
    call continues to run. The entry host then connects again and continues after the
    last event that it received, instead of running the call twice.

    Attributes
    ----------
    ended_at : float or None
        Monotonic time of the final event, in seconds; None while the call runs.
    """

    def __init__(self) -> None:
        self._events: list[CallEvent] = []
        self._changed = threading.Condition()
        self._n_readers = 0
        self.ended_at: float | None = None

    def append(self, event: CallEvent) -> None:
        """Add an event and wake up the readers; ignored after the final event."""
        with self._changed:
            if self.ended_at is not None:
                return
            self._events.append(event)
            if isinstance(event, Finished | Failed):
                self.ended_at = time.monotonic()
            self._changed.notify_all()

    def last_event(self) -> CallEvent | None:
        """Return the last event, which is the final one once the call has ended."""
        with self._changed:
            return self._events[-1] if self._events else None

    def follow(self, start: int) -> Iterator[CallEvent]:
        """Yield the events from index `start` on, up to the final one."""
        with self._changed:
            self._n_readers += 1
        try:
            yield from self._follow(start)
        finally:
            with self._changed:
                self._n_readers -= 1

    def has_readers(self) -> bool:
        """Return whether any reader follows the call."""
        with self._changed:
            return self._n_readers > 0

    def _follow(self, start: int) -> Iterator[CallEvent]:
        position = start
        while True:
            with self._changed:
                if position >= len(self._events) and self.ended_at is None:
                    self._changed.wait(KEEPALIVE_INTERVAL_SECONDS)
                fresh = self._events[position:]
                ended = self.ended_at is not None
            position += len(fresh)
            yield from fresh
            if ended:
                return
            if not fresh:
                yield Waiting()

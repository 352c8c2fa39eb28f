"""The events of one call, written by its runner and read by connections."""

import threading
import time
from collections.abc import Iterator

from swifttide_daemon.calls._events import CallEvent, Failed, Finished, Waiting

KEEPALIVE_INTERVAL_SECONDS = 1.0
"""A reader hears something at least this often."""


class RunningCall:
    """An append-only list of events that any number of readers follow.

    A connection between entry host and holder can break or go silent while the call
    runs on. The entry host then attaches again and reads on from where it was,
    instead of running the call twice.
    """

    def __init__(self) -> None:
        self._events: list[CallEvent] = []
        self._changed = threading.Condition()
        self._n_readers = 0
        self.ended_at: float | None = None

    def append(self, event: CallEvent) -> None:
        """Add an event and wake the readers."""
        with self._changed:
            if self.ended_at is not None:
                return
            self._events.append(event)
            if isinstance(event, Finished | Failed):
                self.ended_at = time.monotonic()
            self._changed.notify_all()

    def last_event(self) -> CallEvent | None:
        """Return the newest event; final once the call has ended."""
        with self._changed:
            return self._events[-1] if self._events else None

    def follow(self, start: int) -> Iterator[CallEvent]:
        """Yield events from number `start` on, up to the last one of the call."""
        with self._changed:
            self._n_readers += 1
        try:
            yield from self._follow(start)
        finally:
            with self._changed:
                self._n_readers -= 1

    def has_readers(self) -> bool:
        """Return whether anybody follows the call."""
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

"""Rate limit of log lines per event.

Lines of one event beyond the limit within a second are dropped and counted; the next
line that is written carries their number in the field ``suppressed``.
"""

import logging
import threading
import time
from dataclasses import dataclass, field

from swifttide_daemon.telemetry._json_formatter import FIELDS_ATTRIBUTE

DEFAULT_LINES_PER_SECOND = 20
"""Default limit of lines per event and second.

It leaves enough lines to diagnose a fault; a line takes some 12 us of CPU time.
"""


@dataclass(slots=True)
class _Window:
    start: float
    written: int = 0
    suppressed: int = 0


@dataclass(slots=True)
class EventLimiter:
    """Limits the number of log lines of each event per second.

    The limit matters under overload, when every second request is refused. Without
    it, each refusal would write a line, and logging would take CPU time that the host
    needs for requests; a slowly read pipe behind stderr would then block every thread.

    Parameters
    ----------
    lines_per_second : int
        Limit of lines of one event within a second.
    """

    lines_per_second: int = DEFAULT_LINES_PER_SECOND
    _windows: dict[str, _Window] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def allow(self, event: str) -> int | None:
        """Decide whether a line of an event is written.

        Returns
        -------
        int or None
            Number of lines of this event dropped since the last one written; None
            if this line is dropped too.
        """
        now = time.monotonic()
        with self._lock:
            window = self._windows.setdefault(event, _Window(now))
            if now - window.start >= 1.0:
                window.start = now
                window.written = 0
            if window.written >= self.lines_per_second:
                window.suppressed += 1
                return None
            window.written += 1
            suppressed = window.suppressed
            window.suppressed = 0
            return suppressed


class LimitFilter(logging.Filter):
    """Applies an `EventLimiter` to all records of a handler, also of libraries.

    Parameters
    ----------
    limiter : EventLimiter
        Counts records by their message before the arguments are formatted in.
    """

    def __init__(self, limiter: EventLimiter):
        super().__init__()
        self.limiter = limiter

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        suppressed = self.limiter.allow(str(record.msg))
        if suppressed is None:
            return False
        if suppressed:
            fields = getattr(record, FIELDS_ATTRIBUTE, {})
            more = {**fields, "suppressed": suppressed}
            setattr(record, FIELDS_ATTRIBUTE, more)
        return True

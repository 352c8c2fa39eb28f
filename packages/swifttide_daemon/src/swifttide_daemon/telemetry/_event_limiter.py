"""A bound on the lines that one kind of event writes."""

import logging
import threading
import time
from dataclasses import dataclass, field

from swifttide_daemon.telemetry._json_formatter import FIELDS_ATTRIBUTE

DEFAULT_LINES_PER_SECOND = 20
"""Enough to see what goes wrong; a line takes some 12 us of processor time."""


@dataclass(slots=True)
class _Window:
    start: float
    written: int = 0
    suppressed: int = 0


@dataclass(slots=True)
class EventLimiter:
    """Counts the lines of each event and says which are left out.

    Load pattern: overload, where every second request is refused. Without a bound
    each refusal writes a line, and the host spends on its log what it lacks for
    requests; a pipe behind stderr that is read slowly then stalls every thread.

    Parameters
    ----------
    lines_per_second : int
        Lines of one event within a second.
    """

    lines_per_second: int = DEFAULT_LINES_PER_SECOND
    _windows: dict[str, _Window] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def allow(self, event: str) -> int | None:
        """Decide on a line.

        Returns
        -------
        int or None
            Lines of this event left out since the last one written; None when
            this one is left out too.
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
    """Applies the bound to every record of a handler, those of libraries too.

    Parameters
    ----------
    limiter : EventLimiter
        Counts by the record's text before its arguments are put in.
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

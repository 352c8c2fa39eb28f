"""A bound on the lines that one kind of event writes."""

import threading
import time
from dataclasses import dataclass, field

LINES_A_SECOND = 20
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

    lines_per_second: int = LINES_A_SECOND
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

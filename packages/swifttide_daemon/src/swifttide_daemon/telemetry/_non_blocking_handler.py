"""Log lines to a pipe that may not be read."""

import logging
import os

from swifttide_daemon.telemetry._event_limiter import EventLimiter, LimitFilter
from swifttide_daemon.telemetry._json_formatter import JsonFormatter

MAX_EVENT_LINES_PER_SECOND = 60
"""Lines of one event a second: four times what a host of a dozen logs on a usual day,
so that a request can still be followed at twice the usual traffic."""


class NonBlockingHandler(logging.Handler):
    """Writes each line at once or drops it.

    Whoever reads the log may stop reading. A write that waits would then stop the
    whole host, which answers its callers on the same thread.

    Parameters
    ----------
    fd : int
        Where lines go; set to not block.

    Attributes
    ----------
    n_dropped : int
        Lines that didn't fit.
    """

    def __init__(self, fd: int):
        super().__init__()
        os.set_blocking(fd, False)
        self.n_dropped = 0
        self._fd = fd
        self._unwritten = b""

    @classmethod
    def for_host(cls, host: str, zone: str, fd: int) -> "NonBlockingHandler":
        """Create a handler that writes JSON lines, bounded by event."""
        handler = cls(fd)
        handler.setFormatter(JsonFormatter(host, zone))
        handler.addFilter(LimitFilter(EventLimiter(MAX_EVENT_LINES_PER_SECOND)))
        return handler

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        if self._unwritten and not self._write(self._unwritten):
            self.n_dropped += 1
            return
        self._write(self.format(record).encode() + b"\n")

    def _write(self, data):
        """Write what fits; keep the rest of a line that was begun."""
        try:
            n_written = os.write(self._fd, data)
        except BlockingIOError:
            if data is not self._unwritten:
                self.n_dropped += 1
            return False
        except OSError:
            # Nobody will read it any more; there is no other place to say so.
            self.n_dropped += 1
            self._unwritten = b""
            return False
        self._unwritten = data[n_written:]
        return not self._unwritten

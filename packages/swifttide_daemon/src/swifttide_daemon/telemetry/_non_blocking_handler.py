"""Log handler that drops lines instead of blocking on a full pipe."""

import logging
import os

from swifttide_daemon.telemetry._event_limiter import EventLimiter, LimitFilter
from swifttide_daemon.telemetry._json_formatter import JsonFormatter

MAX_EVENT_LINES_PER_SECOND = 60
"""Limit of lines of one event per second.

It is four times the rate of a host in a fleet of a dozen at usual load, so that single
requests can still be followed at twice the usual traffic.
"""


class NonBlockingHandler(logging.Handler):
    """Writes each line without blocking, or drops it.

    The reader of the log may stop reading. A blocking write would then stop the whole
    host, which answers its callers on the same thread.

    Parameters
    ----------
    fd : int
        File descriptor for the lines; it is set to non-blocking mode.

    Attributes
    ----------
    n_dropped : int
        Number of lines dropped because they could not be written.
    """

    def __init__(self, fd: int):
        super().__init__()
        os.set_blocking(fd, False)
        self.n_dropped = 0
        self._fd = fd
        self._unwritten = b""

    @classmethod
    def for_host(cls, host: str, zone: str, fd: int) -> "NonBlockingHandler":
        """Create a handler that writes JSON lines, with a rate limit per event."""
        handler = cls(fd)
        handler.setFormatter(JsonFormatter(host, zone))
        handler.addFilter(LimitFilter(EventLimiter(MAX_EVENT_LINES_PER_SECOND)))
        return handler

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, after the remainder of the previous line."""
        if self._unwritten and not self._write(self._unwritten):
            self.n_dropped += 1
            return
        self._write(self.format(record).encode() + b"\n")

    def _write(self, data):
        """Write as much as fits and keep the remainder.

        Returns whether all was written.
        """
        try:
            n_written = os.write(self._fd, data)
        except BlockingIOError:
            if data is not self._unwritten:
                self.n_dropped += 1
            return False
        except OSError:
            # The reader is gone, and there is no other place to report it.
            self.n_dropped += 1
            self._unwritten = b""
            return False
        self._unwritten = data[n_written:]
        return not self._unwritten

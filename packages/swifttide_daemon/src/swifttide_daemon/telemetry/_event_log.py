"""Structured log of the daemon: one JSON line per event."""

import logging
import sys
import threading
from dataclasses import dataclass
from typing import TextIO

from swifttide_daemon.settings import Settings
from swifttide_daemon.telemetry._event_limiter import EventLimiter, LimitFilter
from swifttide_daemon.telemetry._json_formatter import FIELDS_ATTRIBUTE, JsonFormatter

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_NOISY_LIBRARIES = ("urllib3", "cheroot", "asyncio", "opentelemetry")


@dataclass(frozen=True, slots=True)
class EventLog:
    """Logs events with named fields.

    Parameters
    ----------
    logger : logging.Logger
        Logger that receives the records.

    Notes
    -----
    The usual fields are ``customer``, ``program``, ``turn``, ``request_id``,
    ``verdict``, ``reason``, ``target``, ``peer``, ``slot``. Values of fields named
    after credentials are replaced, and credentials within texts masked.

    Examples
    --------
    >>> log.warning("request_refused", request_id="r1", reason="rate_limited")
    """

    logger: logging.Logger

    @classmethod
    def from_settings(cls, cfg: Settings, stream: TextIO | None = None) -> "EventLog":
        """Set up logging for the whole process.

        This replaces the handlers of the root logger and ``threading.excepthook``.

        Parameters
        ----------
        cfg : Settings
            Settings with the host, its zone and the log level.
        stream : file object or None
            Output of the lines; None for stderr.
        """
        level = _LEVELS[cfg.log.level]
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(JsonFormatter(cfg.host, cfg.zone))
        handler.addFilter(LimitFilter(EventLimiter()))
        root = logging.getLogger()
        root.handlers[:] = [handler]
        root.setLevel(level)
        for name in _NOISY_LIBRARIES:
            logging.getLogger(name).setLevel(max(level, logging.WARNING))
        logging.raiseExceptions = False
        logger = logging.getLogger("swifttide")
        logger.setLevel(level)
        found = cls(logger)
        threading.excepthook = found._log_thread_exception
        return found

    def debug(self, event: str, **fields: object) -> None:
        """Log normal operation, such as a request that was served."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log an event that an operator may need to know later."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a problem that the host handles itself, such as a lost peer."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, exc: BaseException | None = None, **fields) -> None:
        """Log a fault, such as an unexpected exception.

        Parameters
        ----------
        event : str
            Name of the event.
        exc : BaseException or None
            Exception whose type, message and code locations are added, but never
            values of variables.
        """
        self._write(logging.ERROR, event, fields, exc)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False):
        """Log a message of a cheroot server; for use as its ``error_log``.

        cheroot would write tracebacks with source lines straight to stderr.
        """
        exc = sys.exc_info()[1] if traceback else None
        self._write(max(level, logging.WARNING), "server", {"detail": msg}, exc)

    def _log_thread_exception(self, args: threading.ExceptHookArgs) -> None:
        """Log an exception that ended a thread.

        If a background thread ends, such as the one that renews the lease, the effects
        show much later and elsewhere. The default traceback on stderr isn't JSON and
        is missed by programs that read the log line by line.
        """
        name = args.thread.name if args.thread else ""
        self.error("thread_died", args.exc_value, thread=name)

    def _write(
        self,
        level: int,
        event: str,
        fields: dict[str, object],
        exc: BaseException | None = None,
    ) -> None:
        if not self.logger.isEnabledFor(level):
            return
        exc_info = (type(exc), exc, exc.__traceback__) if exc else None
        extra = {FIELDS_ATTRIBUTE: fields}
        self.logger.log(level, event, extra=extra, exc_info=exc_info)

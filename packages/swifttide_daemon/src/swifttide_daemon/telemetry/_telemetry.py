"""Logs, metrics and traces of one host in one place."""

from contextlib import AbstractContextManager
from dataclasses import dataclass

from swifttide_daemon.settings import Settings
from swifttide_daemon.telemetry._event_log import EventLog
from swifttide_daemon.telemetry._metrics import Metrics
from swifttide_daemon.telemetry._span import Span
from swifttide_daemon.telemetry._tracer import Tracer


@dataclass(frozen=True, slots=True)
class Telemetry:
    """What the daemon's other parts report to.

    Parameters
    ----------
    log : EventLog
    metrics : Metrics
    tracer : Tracer

    Examples
    --------
    >>> with telemetry.span("entry", parent, request_id="r1") as span:
    ...     headers["traceparent"] = span.traceparent
    ...     span.set(verdict="ran")
    """

    log: EventLog
    metrics: Metrics
    tracer: Tracer

    @classmethod
    def from_settings(cls, cfg: Settings) -> "Telemetry":
        """Create a host's telemetry; logging is set up for the whole process."""
        log = EventLog.from_settings(cfg)
        return cls(
            log=log,
            metrics=Metrics.from_settings(cfg),
            tracer=Tracer.from_settings(cfg),
        )

    def span(
        self, name: str, parent_traceparent: str = "", **attributes: object
    ) -> AbstractContextManager[Span]:
        """Open the span of one hop; see `Tracer.span`."""
        return self.tracer.span(name, parent_traceparent, **attributes)

    def child_span(
        self, name: str, **attributes: object
    ) -> AbstractContextManager[Span]:
        """Open a span below the one that this thread is in; see `Tracer.child`."""
        return self.tracer.child(name, **attributes)

    def close(self) -> None:
        """Write what is still held back."""
        self.tracer.close()

"""Container of the log, the metrics and the tracer of one host."""

from contextlib import AbstractContextManager
from dataclasses import dataclass

from swifttide_daemon.settings import Settings
from swifttide_daemon.telemetry._event_log import EventLog
from swifttide_daemon.telemetry._metrics import Metrics
from swifttide_daemon.telemetry._span import Span
from swifttide_daemon.telemetry._tracer import Tracer


@dataclass(frozen=True, slots=True)
class Telemetry:
    """Log, metrics and tracer, passed to the other parts of the daemon.

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
        """Create the telemetry of a host; sets up logging for the whole process."""
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
        """Open a child of the current span of this thread; see `Tracer.child`."""
        return self.tracer.child(name, **attributes)

    def close(self) -> None:
        """Flush and close the tracer."""
        self.tracer.close()

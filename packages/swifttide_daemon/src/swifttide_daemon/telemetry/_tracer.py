"""Tracing of requests with one span per hop.

The context of a trace is carried between hops in the W3C ``traceparent`` header.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from swifttide_daemon.settings import Settings, TraceExporter
from swifttide_daemon.telemetry._span import Span
from swifttide_daemon.telemetry._traceparent import TraceParent

if TYPE_CHECKING:
    from opentelemetry.context import Context
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import SpanExporter
    from opentelemetry.trace import SpanContext


class Tracer:
    """Opens spans and provides their context for the next hop.

    Parameters
    ----------
    provider : opentelemetry.sdk.trace.TracerProvider or None
        With None, no traces are written, and the context of the caller is passed on
        unchanged, so that the caller's trace isn't interrupted.

    Notes
    -----
    The SDK is imported only if an exporter is configured, which saves its memory on
    hosts without traces.
    """

    def __init__(self, provider: "TracerProvider | None" = None):
        self._provider = provider
        self._tracer = provider.get_tracer("swifttide") if provider else None
        self._current = threading.local()

    @classmethod
    def from_settings(cls, cfg: Settings) -> "Tracer":
        """Create the tracer with the exporter of the settings."""
        match cfg.traces.exporter:
            case TraceExporter.NONE:
                return cls()
            case TraceExporter.FILE:
                from swifttide_daemon.telemetry._file_exporter import FileExporter

                return cls.from_exporter(cfg, FileExporter(cfg.traces.path))
            case TraceExporter.CONSOLE:
                from swifttide_daemon.telemetry._file_exporter import ConsoleExporter

                return cls.from_exporter(cfg, ConsoleExporter())

    @classmethod
    def from_exporter(cls, cfg: Settings, exporter: "SpanExporter") -> "Tracer":
        """Create a tracer that exports each span when it ends."""
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import SpanLimits, TracerProvider
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor
        from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(cfg.traces.sample_ratio)),
            resource=Resource({"host": cfg.host, "zone": cfg.zone}),
            shutdown_on_exit=False,
            span_limits=SpanLimits(max_span_attributes=32, max_events=8),
        )
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        return cls(provider)

    @contextmanager
    def span(
        self, name: str, parent_traceparent: str = "", **attributes: object
    ) -> Iterator[Span]:
        """Open the span of one hop.

        Parameters
        ----------
        name : str
            Name of the hop: ``entry``, ``slot_holder``, ``target`` or ``platform``.
        parent_traceparent : str
            Header of the incoming request; if empty or invalid, a new trace starts.
        **attributes
            Attributes such as ``request_id``, ``customer``, ``program``, ``turn``.

        Yields
        ------
        Span
            Span with the context for the next hop.
        """
        parent = TraceParent.from_header(parent_traceparent or "")
        if self._tracer is None:
            yield Span(parent.to_header() if parent else "")
            return
        sdk_span = self._tracer.start_span(name, context=_context_of(parent))
        span = Span(_header_of(sdk_span.get_span_context()), sdk_span)
        span.set(**attributes)
        outer = self._enter(span)
        try:
            yield span
        except GeneratorExit:
            # Not a failure: the reader of a call's events closes the generator after
            # the last event.
            raise
        except BaseException as exc:
            span.fail(type(exc).__name__)
            raise
        finally:
            self._leave(span, outer)
            sdk_span.end()

    @contextmanager
    def child(self, name: str, **attributes: object) -> Iterator[Span]:
        """Open a child of the current span of this thread.

        Used for calls to the platform, which are made deep in the call stack of a
        request. Outside of a traced request no span is opened, so that heartbeats
        don't create traces.
        """
        outer = getattr(self._current, "span", None)
        if outer is None or not outer.sdk_span.is_recording():
            yield Span("")
            return
        with self.span(name, outer.traceparent, **attributes) as span:
            yield span

    def _enter(self, span: Span) -> Span | None:
        outer = getattr(self._current, "span", None)
        self._current.span = span
        return outer

    def _leave(self, span: Span, outer: Span | None) -> None:
        # A generator that is garbage-collected may be closed on another thread, whose
        # own current span must not change.
        if getattr(self._current, "span", None) is span:
            self._current.span = outer

    def close(self) -> None:
        """Flush pending spans and shut down the exporter."""
        if self._provider is not None:
            self._provider.shutdown()


def _context_of(parent: TraceParent | None) -> "Context":
    """Return a new context for a request, below `parent` if there is one.

    Without an explicit context, the SDK uses the current span of the thread, and a
    request could become part of another request's trace.
    """
    from opentelemetry import trace
    from opentelemetry.context import Context

    if parent is None:
        return Context()
    span_context = trace.SpanContext(
        trace_id=parent.trace_id,
        span_id=parent.span_id,
        is_remote=True,
        trace_flags=trace.TraceFlags(int(parent.sampled)),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(span_context), Context())


def _header_of(context: "SpanContext") -> str:
    sampled = context.trace_flags.sampled
    return TraceParent(context.trace_id, context.span_id, sampled).to_header()

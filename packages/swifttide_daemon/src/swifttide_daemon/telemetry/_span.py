"""Trace span of one hop of a request."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from swifttide_daemon.telemetry._masking import mask_field

if TYPE_CHECKING:
    from opentelemetry.trace import Span as SdkSpan


@dataclass(frozen=True, slots=True)
class Span:
    """Span of one hop, with attributes and error status.

    Parameters
    ----------
    traceparent : str
        W3C trace context header for the next hop; empty if there is no trace.
    sdk_span : opentelemetry.trace.Span or None
        Span of the SDK; None if no traces are written.
    """

    traceparent: str
    sdk_span: "SdkSpan | None" = None

    def set(self, **attributes: object) -> None:
        """Add attributes, such as ``verdict`` or ``target``; None is skipped."""
        if self.sdk_span is None or not self.sdk_span.is_recording():
            return
        for name, value in attributes.items():
            if value is not None:
                self.sdk_span.set_attribute(name, mask_field(name, value))

    def fail(self, kind: str) -> None:
        """Mark the span as failed with the name of the exception type."""
        if self.sdk_span is None:
            return
        from opentelemetry.trace import StatusCode

        self.sdk_span.set_status(StatusCode.ERROR, kind)

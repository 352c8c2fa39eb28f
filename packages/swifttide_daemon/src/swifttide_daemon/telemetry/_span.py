"""The span of one hop."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from swifttide_daemon.telemetry._masking import mask_field

if TYPE_CHECKING:
    from opentelemetry.trace import Span as SdkSpan


@dataclass(frozen=True, slots=True)
class Span:
    """What a hop adds to its span.

    Parameters
    ----------
    traceparent : str
        Context for the next hop; empty when there is none to pass on.
    sdk_span : opentelemetry.trace.Span or None
        None when no traces are written.
    """

    traceparent: str
    sdk_span: "SdkSpan | None" = None

    def set(self, **attributes: object) -> None:
        """Add attributes, such as ``verdict`` or ``target``; None is left out."""
        if self.sdk_span is None or not self.sdk_span.is_recording():
            return
        for name, value in attributes.items():
            if value is not None:
                self.sdk_span.set_attribute(name, mask_field(name, value))

    def fail(self, kind: str) -> None:
        """Mark the hop as failed by an error of this kind."""
        if self.sdk_span is None:
            return
        from opentelemetry.trace import StatusCode

        self.sdk_span.set_status(StatusCode.ERROR, kind)

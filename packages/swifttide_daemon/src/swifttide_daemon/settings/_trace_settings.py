"""Where traces go."""

from dataclasses import dataclass
from enum import StrEnum


class TraceExporter(StrEnum):
    """Where spans are written."""

    NONE = "none"
    FILE = "file"
    CONSOLE = "console"


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Traces of a host.

    Parameters
    ----------
    exporter : TraceExporter
        ``file`` is for places without a collector.
    path : str
        File for JSON lines, one a span.
    sample_ratio : float
        Share of the requests without a trace context of their own that are
        traced, 0 to 1. A context that came with a request decides for itself.
    """

    exporter: TraceExporter = TraceExporter.NONE
    path: str = ""
    sample_ratio: float = 0.01

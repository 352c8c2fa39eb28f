"""Span exporters that write JSON lines, for use without a trace collector."""

import os
import sys
import threading
from collections.abc import Sequence
from pathlib import Path

import msgspec
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Size at which the file is renamed to ``<path>.1``; at most two files are kept."""

NANOSECONDS_PER_SECOND = 1e9


def span_line(span: ReadableSpan) -> bytes:
    """Return a span as one line of JSON."""
    context = span.get_span_context()
    line = {
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "name": span.name,
        "start_seconds": span.start_time / NANOSECONDS_PER_SECOND,
        "duration_seconds": round(
            (span.end_time - span.start_time) / NANOSECONDS_PER_SECOND, 6
        ),
        "error": span.status.description or "",
        **dict(span.resource.attributes),
        **dict(span.attributes or {}),
    }
    return msgspec.json.encode(line) + b"\n"


class FileExporter(SpanExporter):
    """Appends spans to a file; each host has a file of its own.

    Parameters
    ----------
    path : str
        Path of the file, which is created if missing.
    max_bytes : int
        Size in bytes at which the file is rotated. Without a limit, traces would
        fill a small file system, and other writes to it would fail.
    """

    def __init__(self, path: str, max_bytes: int = MAX_FILE_BYTES):
        self._path = Path(path)
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._fd = self._open()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; a failed write never makes the request fail."""
        data = b"".join(span_line(s) for s in spans)
        try:
            with self._lock:
                if os.fstat(self._fd).st_size + len(data) > self._max_bytes:
                    self._rotate()
                os.write(self._fd, data)
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        with self._lock:
            os.close(self._fd)
            self._fd = -1

    def _open(self) -> int:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(self._path, flags, 0o640)

    def _rotate(self) -> None:
        os.close(self._fd)
        self._path.replace(f"{self._path}.1")
        self._fd = self._open()


class ConsoleExporter(SpanExporter):
    """Writes spans to stdout, while the log goes to stderr."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans and flush stdout."""
        text = b"".join(span_line(s) for s in spans).decode()
        sys.stdout.write(text)
        sys.stdout.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Do nothing: stdout stays open for other users."""

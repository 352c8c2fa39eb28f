"""What the engine ran, and the streams that can be resumed."""

import threading
from collections import Counter, OrderedDict

from swifttide_standins.engine._stream import Stream

MAX_STREAMS = 5000
MAX_HEADERS = 5000


class Runs:
    """Counts and streams by request id; safe to call from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: Counter[str] = Counter()
        self._programs: Counter[str] = Counter()
        self._words = 0
        self._cancelled: list[str] = []
        self._headers: dict[str, None] = {}
        self._streams: OrderedDict[str, tuple[Stream, object]] = OrderedDict()

    def see(self, headers: dict[str, str]) -> None:
        """Keep header lines, for a search for what must not arrive here."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        with self._lock:
            if len(self._headers) < MAX_HEADERS:
                self._headers.update(dict.fromkeys(lines))

    def add(self, stream: Stream, token: object) -> None:
        """Count a run and keep its stream."""
        with self._lock:
            self._requests[stream.request_id] += 1
            self._programs[stream.program] += 1
            self._words += len(stream.words)
            self._streams[stream.request_id] = (stream, token)
            if len(self._streams) > MAX_STREAMS:
                self._streams.popitem(last=False)

    def find(self, request_id: str) -> tuple[Stream, object] | None:
        """Return a stream with its batch token, or None."""
        with self._lock:
            return self._streams.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Note that a stream was cancelled."""
        with self._lock:
            self._cancelled.append(request_id)

    def report(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self._lock:
            return {
                "requests": dict(self._requests),
                "programs": dict(self._programs),
                "words": self._words,
                "cancelled": list(self._cancelled),
                "headers_seen": list(self._headers),
            }

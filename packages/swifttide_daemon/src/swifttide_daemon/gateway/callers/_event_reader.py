"""Splits a server-sent event stream into events."""

import re
from dataclasses import dataclass

from swifttide_core.buffering import PieceBudget
from swifttide_daemon.gateway.http._bounded_reading import MIN_ANSWER_PIECE_BYTES

MAX_EVENT_BYTES = 262_144
"""A longer event is an error, since an event is held in memory until its end."""

_END_OF_EVENT = re.compile(rb"\n\n|\r\n\r\n")
_MAX_MARK_BYTES = 4


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Parameters
    ----------
    raw : bytes
        Bytes as received, including the empty line that ends the event.
    id : int or None
        Numeric id; None if the event has none.
    data : bytes
        Values of the data lines, joined by line feeds.
    has_data : bool
        Whether there is any data line; a comment has none.
    """

    raw: bytes
    id: int | None
    data: bytes
    has_data: bool


class EventReader:
    """Assembles complete events from the pieces in which a stream is received."""

    def __init__(self):
        self._buffer = bytearray()
        self._n_searched = 0
        self._budget = PieceBudget(MIN_ANSWER_PIECE_BYTES)

    @property
    def within_event(self) -> bool:
        """Whether the bytes fed so far end in the middle of an event."""
        return bool(self._buffer)

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Add a piece of the stream; return the events that it completes.

        Raises
        ------
        ValueError
            An event is longer than `MAX_EVENT_BYTES`, its id is no number that can be
            compared, or the stream consists of very many tiny events.
        """
        self._buffer += piece
        events = []
        start = 0
        while found := _END_OF_EVENT.search(self._buffer, max(start, self._n_searched)):
            end = found.end()
            if not self._budget.take(end - start):
                raise ValueError("a stream of too small events")
            events.append(_parse(bytes(self._buffer[start:end])))
            start = end
        del self._buffer[:start]
        # The mark may be split between two pieces.
        self._n_searched = max(0, len(self._buffer) - _MAX_MARK_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events


def _parse(raw):
    number = None
    data = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            continue
        value = value[1:] if value[:1] == b" " else value
        if name == b"id" and value.strip().isdigit():
            number = int(value)
        elif name == b"data":
            data.append(value)
    return StreamEvent(raw, number, b"\n".join(data), bool(data))

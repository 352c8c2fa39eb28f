"""Splits a server-sent event stream into events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 262_144
"""A longer event is an error, since an event is held in memory until its end."""


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
        self._buffer = b""

    @property
    def within_event(self) -> bool:
        """Whether the bytes fed so far end in the middle of an event."""
        return bool(self._buffer)

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Add a piece of the stream; return the events that it completes.

        Raises
        ------
        ValueError
            An event is longer than `MAX_EVENT_BYTES`.
        """
        self._buffer += piece
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            events.append(_parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events


def _end_of_event(text):
    ends = [
        found + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (found := text.find(mark)) >= 0
    ]
    return min(ends, default=0)


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

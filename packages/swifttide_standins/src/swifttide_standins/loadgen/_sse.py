"""Reading of a streamed answer."""

from collections.abc import Iterable, Iterator

import msgspec

PREFIX = b"data: "
END = b"[DONE]"


class SseError(Exception):
    """A stream that ended without its last event, or with an event nobody expects."""


def iter_events(chunks: Iterable[bytes]) -> Iterator[dict]:
    """Yield the JSON events of a stream up to ``[DONE]``.

    Raises
    ------
    SseError
        When the stream ends before that or holds no JSON object.
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        *whole, buffer = buffer.split(b"\n\n")
        for event in whole:
            data = _data(event)
            if data == END:
                return
            if data:
                yield _decode(data)
    raise SseError("the stream ended without its last event")


def _data(event: bytes) -> bytes:
    lines = [line for line in event.split(b"\n") if line.startswith(PREFIX)]
    return b"".join(line.removeprefix(PREFIX) for line in lines)


def _decode(data: bytes) -> dict:
    try:
        return msgspec.json.decode(data, type=dict)
    except msgspec.DecodeError as exc:
        raise SseError(f"event: {exc}") from exc

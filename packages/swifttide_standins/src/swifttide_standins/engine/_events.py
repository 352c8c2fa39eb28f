"""The bytes of an answer."""

from dataclasses import dataclass, replace

import msgspec

from swifttide_standins.engine._stream import Stream


@dataclass(frozen=True, slots=True)
class Events:
    """Server-sent events, or the one body, of a stream.

    Parameters
    ----------
    stream : Stream
        The answer.
    """

    stream: Stream

    def crossed(self, words: list[str]) -> "Events":
        """Return the events of somebody else's answer."""
        stream = replace(
            self.stream, request_id=f"other-{self.stream.request_id}", words=words
        )
        return Events(stream)

    def word(self, index: int) -> bytes:
        """Return the event of one word."""
        delta = {"delta": {"content": self.stream.words[index]}}
        return _event({**self._ids(), "index": index, "choices": [delta]})

    def done(self, n_words: int) -> bytes:
        """Return the event with the usage."""
        usage = self.stream.usage(n_words)
        cancelled = {"cancelled": True} if self.stream.cancelled.is_set() else {}
        return _event({**self._ids(), "done": True, "usage": usage, **cancelled})

    def end(self) -> bytes:
        """Return the event that ends the stream."""
        return b"data: [DONE]\n\n"

    def whole(self) -> dict[str, object]:
        """Return the body of an answer that isn't streamed."""
        words = self.stream.words
        message = {"role": "assistant", "content": "".join(words)}
        choices = [{"index": 0, "message": message}]
        return {
            **self._ids(),
            "choices": choices,
            "usage": self.stream.usage(len(words)),
        }

    def _ids(self) -> dict[str, str]:
        request_id = self.stream.request_id
        return {"id": request_id, "request_id": request_id}


def _event(value: dict[str, object]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"

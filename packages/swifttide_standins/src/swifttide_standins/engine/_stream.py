"""One answer under way."""

import threading
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Stream:
    """An answer whose words fall due by the clock, whoever listens.

    Parameters
    ----------
    request_id, program : str
        Whose answer it is.
    words : tuple of str
        Pieces, one a token.
    prompt : bytes
        Rendered history.
    prompt_tokens, cached_tokens : int
        Size of the prompt and of its cached part.
    first_due : float
        Monotonic time of the first word, in seconds.
    word_seconds : float
        Time between words.
    cancelled : threading.Event
        Set when the stream was cancelled.
    """

    request_id: str
    program: str
    words: tuple[str, ...]
    prompt: bytes
    prompt_tokens: int
    cached_tokens: int
    first_due: float
    word_seconds: float
    cancelled: threading.Event = field(default_factory=threading.Event)

    def due(self, index: int) -> float:
        """Return the monotonic time at which word `index` is there."""
        return self.first_due + index * self.word_seconds

    @property
    def ends(self) -> float:
        """Monotonic time at which the last word is there."""
        return self.due(len(self.words) - 1)

    def usage(self, n_words: int) -> dict[str, int]:
        """Return the usage after `n_words` words."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": n_words,
            "cached_tokens": self.cached_tokens,
        }

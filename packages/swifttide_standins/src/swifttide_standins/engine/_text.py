"""The words that an engine answers: a function of the messages alone.

An oracle calls the same functions, so it can check an answer byte for byte.
"""

import random
import re
from collections.abc import Iterable, Mapping

import xxhash

from swifttide_standins.engine._chat import Message

WORDS = (
    *("barley", "cedar", "dune", "ember", "fallow", "gully", "heron", "ibex"),
    *("juniper", "kraal", "lichen", "marsh", "north", "osier", "plain", "quartz"),
    *("reed", "saltbush", "thorn", "upland", "vale", "willow", "yew", "zephyr"),
)
_STOP_AFTER = re.compile(r"\[words:(\d{1,6})\]")
"""``[words:N]`` in the last message ends the answer after N words."""


def expected_words(
    messages: Iterable[Message | Mapping[str, str]], max_tokens: int
) -> list[str]:
    """Return the pieces that the engine streams, one a token.

    Parameters
    ----------
    messages : iterable of Message or mapping
        Whole history, each with ``role`` and ``content``.
    max_tokens : int
        Number of pieces, unless the last message asks for fewer.
    """
    messages = [_as_message(m) for m in messages]
    stop = _STOP_AFTER.search(messages[-1].content)
    n_words = min(max_tokens, int(stop.group(1))) if stop else max_tokens
    rng = random.Random(xxhash.xxh64_intdigest(render(messages)))
    words = rng.choices(WORDS, k=n_words)
    return [word if i == 0 else f" {word}" for i, word in enumerate(words)]


def expected_text(
    messages: Iterable[Message | Mapping[str, str]], max_tokens: int
) -> str:
    """Return the whole answer to `messages`, see `expected_words`."""
    return "".join(expected_words(messages, max_tokens))


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text: its words."""
    return len(text.split())


def render(messages: Iterable[Message]) -> bytes:
    """Return a history as the bytes that the prefix cache compares."""
    return "".join(f"{m.role}\0{m.content}\1" for m in messages).encode()


def _as_message(message: Message | Mapping[str, str]) -> Message:
    if isinstance(message, Message):
        return message
    return Message(message["role"], message["content"])

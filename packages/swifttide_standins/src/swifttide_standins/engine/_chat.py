"""A chat request as the wire carries it."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a history.

    Parameters
    ----------
    role : str
        "system", "user", "assistant" or "tool".
    content : str
        Text.
    """

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Body of ``POST /v1/chat/completions``.

    Parameters
    ----------
    model : str
        A model that the engine has loaded.
    messages : tuple of Message
        Whole history, oldest first.
    max_tokens : int
        Words to generate at most.
    stream : bool
        Server-sent events, or one JSON body.
    program : str
        Under which the prefix is cached.
    """

    model: str
    messages: Annotated[tuple[Message, ...], Meta(min_length=1)]
    max_tokens: Annotated[int, Meta(ge=1, le=100_000)] = 16
    stream: bool = False
    program: str = ""

"""A committed turn as it is stored, one object a turn."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class Chunk:
    """One turn of a program's history.

    Parameters
    ----------
    turn : int
        Number of the turn, from 1.
    messages : tuple of Message
        What the caller sent in this turn.
    answer : str
        What the engine answered.
    prompt_tokens, completion_tokens : int
        Usage as the engine reported it.
    """

    turn: int
    messages: tuple[Message, ...]
    answer: str
    prompt_tokens: int = 0
    completion_tokens: int = 0

    @classmethod
    def from_bytes(cls, data: bytes) -> "Chunk":
        """Decode a stored turn."""
        return msgspec.json.decode(data, type=cls)

    def to_bytes(self) -> bytes:
        """Encode the turn; the same turn always gives the same bytes."""
        return msgspec.json.encode(self, order="deterministic")

    def conversation(self) -> tuple[Message, ...]:
        """Return the turn's messages and its answer."""
        return (*self.messages, Message("assistant", self.answer))

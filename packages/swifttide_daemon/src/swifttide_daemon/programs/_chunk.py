"""Stored form of a committed turn; each turn is one object of the platform."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat conversation."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class Chunk:
    """One committed turn of a program's history.

    Parameters
    ----------
    turn : int
        Number of the turn, from 1.
    messages : tuple of Message
        Messages that the caller sent in this turn.
    answer : str
        Text that the engine generated.
    prompt_tokens, completion_tokens : int
        Token usage reported by the engine.
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
        """Encode the turn; equal turns always give equal bytes."""
        return msgspec.json.encode(self, order="deterministic")

    def conversation(self) -> tuple[Message, ...]:
        """Return the messages of the turn, followed by the answer as a message."""
        return (*self.messages, Message("assistant", self.answer))

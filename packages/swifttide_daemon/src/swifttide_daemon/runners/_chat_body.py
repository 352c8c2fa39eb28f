"""Decoding of the JSON body of a chat request."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.programs import Message

MAX_MESSAGES = 10_000


@dataclass(frozen=True, slots=True)
class ChatBody:
    """Members of a chat request that are read; other members are ignored.

    Parameters
    ----------
    messages : tuple of Message
        New messages of the turn, or the whole history if the profile's history mode
        is ``caller``.
    model : str
        Only checked to be text; the model is set by the profile.
    max_tokens : int or None
        Largest number of generated tokens; the profile may set a lower limit.
    stream : bool
        Whether the answer is sent as server-sent events.
    """

    messages: Annotated[
        tuple[Message, ...], Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    model: str = ""
    max_tokens: Annotated[int, Meta(ge=1)] | None = None
    stream: bool = False

    @classmethod
    def from_bytes(cls, body: bytes) -> Result["ChatBody", Refusal]:
        """Decode a JSON body; return a refusal with the error if it is not valid."""
        try:
            return Ok(msgspec.json.decode(body, type=cls))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            return Error(Refusal(Reason.BAD_REQUEST, f"invalid request body: {exc}"))

    @property
    def content_bytes(self) -> int:
        """Size of all message contents in bytes, an upper bound of their tokens."""
        return sum(len(m.content.encode()) for m in self.messages)

"""The body of a chat request, as callers send it."""

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
    """What swifttide reads of the body; other members are refused.

    Parameters
    ----------
    messages : tuple of Message
        New messages of the turn, or the whole history where the profile says that
        callers hold it.
    model : str
        Ignored but for a check: the profile names the model.
    max_tokens : int or None
        Bounded by the profile.
    stream : bool
        Whether the caller wants server-sent events.
    """

    messages: Annotated[
        tuple[Message, ...], Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    model: str = ""
    max_tokens: Annotated[int, Meta(ge=1)] | None = None
    stream: bool = False

    @classmethod
    def from_bytes(cls, body: bytes) -> Result["ChatBody", Refusal]:
        """Decode a body, or say what is wrong with it."""
        try:
            return Ok(msgspec.json.decode(body, type=cls))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            return Error(Refusal(Reason.BAD_REQUEST, f"the body: {exc}"))

    @property
    def content_bytes(self) -> int:
        """Bytes of all contents: an upper bound of their tokens."""
        return sum(len(m.content.encode()) for m in self.messages)

"""What a holder tells an entry host of a call, one JSON line an event.

They are msgspec structs rather than data classes: only these decode as a tagged union.
"""

import msgspec

from swifttide_core.verdicts import Refusal


class Waiting(msgspec.Struct, frozen=True, tag="waiting"):
    """The call is alive and nothing has happened; not counted as an event.

    Without it, an entry host couldn't tell a call that waits for its target from a
    connection that has gone silent.
    """


class Started(msgspec.Struct, frozen=True, tag="started"):
    """A target has taken the call."""

    target: str


class Content(msgspec.Struct, frozen=True, tag="content"):
    """A piece of the generated text."""

    text: str


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Content so far is void: another target starts the turn again."""


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """The call ran and, where it has a history, is committed.

    Parameters
    ----------
    status : int
        Status of the target's answer.
    body : bytes
        A service's answer; for a chat turn the whole text.
    content_type : str
        Of the body.
    turn : int
        Turn that was committed; 0 without a history.
    prompt_tokens, completion_tokens, cached_tokens : int
        Usage of a chat turn.
    replayed : bool
        Whether the answer comes from an earlier run.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    turn: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    replayed: bool = False


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The call was refused or failed; final."""

    refusal: Refusal


CallEvent = Waiting | Started | Content | Reset | Finished | Failed
Terminal = Finished | Failed

_DECODER = msgspec.json.Decoder(CallEvent)


def encode_event(event: CallEvent) -> bytes:
    """Encode an event as one line."""
    return msgspec.json.encode(event) + b"\n"


def decode_event(line: bytes) -> CallEvent:
    """Decode a line.

    Raises
    ------
    msgspec.MsgspecError
        When the line is no event.
    """
    return _DECODER.decode(line)

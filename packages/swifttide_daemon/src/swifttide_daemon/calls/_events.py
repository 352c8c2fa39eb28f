"""Events that a holder sends to an entry host about a call.

Each event is one line of JSON. The events are msgspec structs rather than data classes,
as msgspec decodes only structs as a tagged union.
"""

import msgspec

from swifttide_core.verdicts import Refusal


class Waiting(msgspec.Struct, frozen=True, tag="waiting"):
    """Keep-alive: the call is running and has no new event.

    It is not counted in event indices. Without it, an entry host could not distinguish
    a call that waits for its target from a dead connection.
    """


class Started(msgspec.Struct, frozen=True, tag="started"):
    """A target has accepted the call."""

    target: str


class Content(msgspec.Struct, frozen=True, tag="content"):
    """A piece of the generated text."""

    text: str


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """The content sent so far is invalid, as the turn is started again."""


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """Final event: the call ran and its turn, if it has a history, is committed.

    Parameters
    ----------
    status : int
        HTTP status of the target's answer.
    body : bytes
        Body of the answer of a service; for a chat turn the complete text.
    content_type : str
        Content type of the body.
    turn : int
        Number of the committed turn; 0 without a history.
    prompt_tokens, completion_tokens, cached_tokens : int
        Token usage of a chat turn.
    replayed : bool
        Whether the answer is that of an earlier run of the same request.
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
    """Final event: the call was refused or failed."""

    refusal: Refusal


CallEvent = Waiting | Started | Content | Reset | Finished | Failed
Terminal = Finished | Failed

_DECODER = msgspec.json.Decoder(CallEvent)


def encode_event(event: CallEvent) -> bytes:
    """Encode an event as one line of JSON."""
    return msgspec.json.encode(event) + b"\n"


def decode_event(line: bytes) -> CallEvent:
    """Decode an event from one line of JSON.

    Raises
    ------
    msgspec.MsgspecError
        If the line is not a valid event.
    """
    return _DECODER.decode(line)

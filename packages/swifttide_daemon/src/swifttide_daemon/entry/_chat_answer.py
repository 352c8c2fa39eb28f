"""Conversion of the events of a chat turn into an HTTP response.

The response is one JSON body or a stream of server-sent events, in the format of the
chat completions API.
"""

from collections.abc import Iterator
from itertools import chain

import msgspec

from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import (
    Call,
    CallEvent,
    Content,
    Failed,
    Finished,
    Reset,
    Waiting,
)
from swifttide_daemon.web import Response

REQUEST_ID_HEADER = "Swifttide-Request-Id"
SSE_CONTENT_TYPE = "text/event-stream"
SSE_KEEPALIVE = b": waiting\n\n"


def completion_response(call: Call, events: Iterator[CallEvent]) -> Response:
    """Return the answer of a turn as one JSON body, once the turn has ended."""
    for event in events:
        match event:
            case Finished():
                return Response.ran(
                    event.status,
                    msgspec.json.encode(_completion(call, event)),
                    (
                        ("Content-Type", "application/json"),
                        *_headers(call, event.turn),
                    ),
                )
            case Failed(refusal):
                return _refusal_response(call, refusal)
    return _refusal_response(call, _incomplete_answer_refusal())


def streaming_response(call: Call, events: Iterator[CallEvent]) -> Response:
    """Return the answer of a turn as server-sent events.

    The status line is sent with the first piece of text. A refusal before that point
    is therefore returned with its own HTTP status.
    """
    for event in events:
        match event:
            case Failed(refusal):
                return _refusal_response(call, refusal)
            case Content() | Finished():
                body = _event_stream(call, chain([event], events))
                headers = (("Content-Type", SSE_CONTENT_TYPE), *_headers(call, 0))
                return Response(200, body, headers)
    return _refusal_response(call, _incomplete_answer_refusal())


def _event_stream(call: Call, events: Iterator[CallEvent]) -> Iterator[bytes]:
    """Yield server-sent events; an answer without a final ``[DONE]`` is incomplete."""
    text = _StreamedText()
    for event in events:
        match event:
            case Content(piece):
                unsent = text.add(piece)
                if unsent is None:
                    yield _sse_error(_text_mismatch_refusal())
                    return
                if unsent:
                    yield _sse_data(_chunk(call, unsent))
            case Reset():
                text.restart_generation()
            case Waiting():
                yield SSE_KEEPALIVE
            case Finished():
                unsent_rest = text.complete(event.body.decode())
                if unsent_rest is None:
                    yield _sse_error(_text_mismatch_refusal())
                    return
                if unsent_rest:
                    yield _sse_data(_chunk(call, unsent_rest))
                yield _sse_data(_final_chunk(call, event))
                yield b"data: [DONE]\n\n"
                return
            case Failed(refusal):
                yield _sse_error(refusal)
                return
    yield _sse_error(_incomplete_answer_refusal())


class _StreamedText:
    """Text that was streamed to the caller, compared with a repeated generation.

    When a turn is run again, another engine may generate a different text. Appending
    the rest of that text to what the caller has received would give a text that no
    engine generated and that the history doesn't contain.
    """

    def __init__(self) -> None:
        self._sent = ""
        self._generated = ""

    def restart_generation(self) -> None:
        """Discard the generated text; the record of the sent text is kept."""
        self._generated = ""

    def add(self, piece: str) -> str | None:
        """Add a generated piece and return the text that is not sent yet.

        Returns None if the generated text differs from the text that was sent.
        """
        self._generated += piece
        return self._take_unsent()

    def complete(self, whole: str) -> str | None:
        """Return the part of the complete text that is not sent yet.

        Returns None if the complete text differs from the text that was sent.
        """
        self._generated = whole
        return self._take_unsent()

    def _take_unsent(self) -> str | None:
        if self._sent.startswith(self._generated):
            return ""
        if not self._generated.startswith(self._sent):
            return None
        unsent = self._generated[len(self._sent) :]
        self._sent = self._generated
        return unsent


def _completion(call: Call, event: Finished) -> dict[str, object]:
    return {
        "id": call.request_id,
        "object": "chat.completion",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": event.body.decode()},
                "finish_reason": "stop",
            }
        ],
        "usage": _usage(event),
        "swifttide": {"turn": event.turn, "replayed": event.replayed},
    }


def _chunk(call: Call, text: str) -> dict[str, object]:
    return {
        "id": call.request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}],
    }


def _final_chunk(call: Call, event: Finished) -> dict[str, object]:
    return {
        "id": call.request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": _usage(event),
        "swifttide": {
            "turn": event.turn,
            "replayed": event.replayed,
            "verdict": Verdict.RAN,
        },
    }


def _usage(event: Finished) -> dict[str, int]:
    return {
        "prompt_tokens": event.prompt_tokens,
        "completion_tokens": event.completion_tokens,
        "total_tokens": event.prompt_tokens + event.completion_tokens,
        "cached_tokens": event.cached_tokens,
    }


def _headers(call: Call, turn: int) -> tuple[tuple[str, str], ...]:
    headers = [(REQUEST_ID_HEADER, call.request_id)]
    if turn:
        headers.append(("Swifttide-Turn", str(turn)))
    return tuple(headers)


def _refusal_response(call: Call, refusal: Refusal) -> Response:
    answer = Response.from_refusal(refusal, request_id=call.request_id)
    headers = (*answer.headers, (REQUEST_ID_HEADER, call.request_id))
    return Response(answer.status, answer.body, headers)


def _sse_data(value: dict[str, object]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _sse_error(refusal: Refusal) -> bytes:
    problem = {
        "status": refusal.status,
        "reason": refusal.reason,
        "detail": refusal.detail,
        "verdict": refusal.verdict,
        "retry_after_seconds": refusal.retry_after_seconds,
    }
    return b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"


def _text_mismatch_refusal() -> Refusal:
    return Refusal(
        Reason.TARGET_FAILED,
        "the turn was run again and generated a different text; send the same turn "
        "again",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_seconds=1.0,
    )


def _incomplete_answer_refusal() -> Refusal:
    return Refusal(
        Reason.INTERNAL,
        "the answer ended before it was complete",
        verdict=Verdict.MAY_HAVE_RUN,
    )

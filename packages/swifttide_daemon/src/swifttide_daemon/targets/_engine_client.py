"""Client of the HTTP protocol of model engines.

Streams the answers of chat requests, resuming a broken stream on new connections, and
sends the control requests for models, load reports and caches.
"""

import time
from collections.abc import Callable, Iterator
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import urllib3

from swifttide_core.buffering import PieceBudget
from swifttide_core.checks import JsonDecoder, UnreadableJson
from swifttide_core.documents import Target
from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets._engine_events import (
    EngineDone,
    EngineText,
    TargetFailure,
)
from swifttide_daemon.transport import (
    MIN_PIECE_BYTES,
    make_connection_pool,
    read_body,
    verdict_for_error,
)

TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, OSError)
MAX_CONTROL_BYTES = 1_048_576
"""Size of the longest accepted answer of a control call."""

MAX_EVENT_BYTES = 262_144
"""A longer event is an error, since an event is held in memory until its end."""

MAX_RESUMES = 20
"""Consecutive connections without a new event after which the stream has failed."""

CONTROL_TIMEOUT_SECONDS = 2.0
NOT_LOADED_STATUS = 404
"""Status of an engine for a request to a model that it has not loaded."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Number of tokens, bytes or events, exact in sums and in messages."""

_events = JsonDecoder()
_objects = JsonDecoder(dict[str, Any])


class EngineClient:
    """Sends requests to engines.

    Parameters
    ----------
    pool : urllib3.PoolManager
    connect_seconds : float
        Timeout of a new connection.
    max_gap_seconds : float
        Longest time in seconds without data from a stream. After it, a new connection
        is tried, since a component between both ends may have lost the old one.
    """

    def __init__(
        self, pool: urllib3.PoolManager, connect_seconds: float, max_gap_seconds: float
    ) -> None:
        self.pool = pool
        self.connect_seconds = connect_seconds
        self.max_gap_seconds = max_gap_seconds

    @classmethod
    def from_settings(cls, timeouts: TimeoutSettings) -> "EngineClient":
        """Return a client with the timeouts of the settings."""
        return cls(
            make_connection_pool(128),
            timeouts.connect_seconds,
            timeouts.token_gap_seconds,
        )

    def chat(
        self,
        target: Target,
        request_id: str,
        request_body: dict[str, Any],
        headers: dict[str, str],
        deadline: float,
        is_wanted: Callable[[], bool],
    ) -> Iterator[EngineText | EngineDone]:
        """Run a chat request and yield its events, resuming it on new connections.

        Parameters
        ----------
        target : Target
        request_id : str
            Id that each event must echo; other answers raise `TargetFailure`.
        request_body : dict
            JSON body of the request.
        headers : dict
            Further headers, such as the fencing token and the trace context.
        deadline : float
            Monotonic time in seconds after which the stream is not resumed.
        is_wanted : callable
            Called after each event and before each resume; False cancels the request.

        Raises
        ------
        TargetFailure
            If there is no complete answer.
        """
        headers = {**headers, "X-Request-Id": request_id}
        body = msgspec.json.encode(request_body)
        answer = self._open_stream(
            "POST", target, "/v1/chat/completions", body, headers
        )
        position = 0
        resumes = 0
        while True:
            try:
                for event in _decode_events(answer, request_id):
                    if isinstance(event, EngineDone):
                        yield event
                        return
                    if event.index < position:
                        continue
                    if event.index > position:
                        raise _invalid_answer("event missing in the stream")
                    position += 1
                    resumes = 0
                    yield event
                    if not is_wanted():
                        raise _cancelled()
                broken: Exception | None = None
            except TRANSPORT_ERRORS as exc:
                broken = exc
            finally:
                answer.close()
            resumes += 1
            if not is_wanted():
                raise _cancelled()
            if time.monotonic() >= deadline or resumes > MAX_RESUMES:
                raise _timed_out()
            answer = self._resume_stream(target, request_id, position, headers, broken)

    def cancel(self, target: Target, request_id: str) -> None:
        """Order the engine to stop a stream; a failure is ignored."""
        self._send_order(
            "DELETE", target, f"/v1/streams/{quote(request_id, safe='')}", {}
        )

    def load(self, target: Target) -> dict[str, Any] | None:
        """Return the load report of the engine, or None if it cannot be read."""
        return self._get_json(target, "/v1/load")

    def cache_bytes(self, target: Target) -> dict[str, int] | None:
        """Return the bytes of cache by program, or None if they cannot be read."""
        listing = self._get_json(target, "/v1/cache")
        try:
            return msgspec.convert((listing or {}).get("programs"), dict[str, Count])
        except msgspec.ValidationError:
            return None

    def release_cache(self, target: Target, program: str, fencing: int) -> bool:
        """Order the engine to drop a program's cache; return whether it is gone."""
        path = f"/v1/cache/{quote(program, safe='')}"
        status = self._send_order("DELETE", target, path, {"X-Fencing": str(fencing)})
        return status in (200, 204, 404)

    def load_model(self, target: Target, model: str, fencing: int) -> bool:
        """Order the engine to load a model; return whether it is loaded."""
        body = msgspec.json.encode({"model": model})
        headers = {"X-Fencing": str(fencing), "Content-Type": "application/json"}
        return self._send_order("POST", target, "/v1/models", headers, body) == 200

    def export_cache(
        self, target: Target, program: str, name: str, fencing: int
    ) -> bool:
        """Order the engine to export a program's cache to a platform object."""
        return self._transfer_cache(target, program, "export", name, fencing)

    def import_cache(
        self, target: Target, program: str, name: str, fencing: int
    ) -> bool:
        """Order the engine to import a program's cache from a platform object."""
        return self._transfer_cache(target, program, "import", name, fencing)

    def _transfer_cache(
        self, target: Target, program: str, verb: str, name: str, fencing: int
    ) -> bool:
        path = f"/v1/cache/{quote(program, safe='')}/{verb}"
        body = msgspec.json.encode({"object": name})
        headers = {"X-Fencing": str(fencing), "Content-Type": "application/json"}
        return self._send_order("POST", target, path, headers, body) == 200

    def _resume_stream(
        self,
        target: Target,
        request_id: str,
        position: int,
        headers: dict[str, str],
        broken: Exception | None,
    ) -> urllib3.BaseHTTPResponse:
        path = f"/v1/streams/{quote(request_id, safe='')}?from={position}"
        try:
            return self._open_stream("GET", target, path, None, headers)
        except TargetFailure as failure:
            cause = (
                type(broken).__name__
                if broken
                else "stream ended before the answer was complete"
            )
            # The first request was sent, whatever the result of this attempt.
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"{cause}; then {failure.detail}",
                Verdict.MAY_HAVE_RUN,
                connection_broke=True,
            ) from failure

    def _open_stream(
        self,
        method: str,
        target: Target,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        # A kept connection may be the one whose stream has just broken.
        pool = self.pool if method == "POST" else make_connection_pool(1, 1)
        try:
            answer = pool.request(
                method,
                target.url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self.connect_seconds, read=self.max_gap_seconds
                ),
                preload_content=False,
            )
        except TRANSPORT_ERRORS as exc:
            verdict = verdict_for_error(exc)
            if method == "POST" and verdict is Verdict.MAY_HAVE_RUN:
                return self._recover_stream(target, headers, exc)
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"no answer from the target ({type(exc).__name__})",
                verdict,
                connection_broke=verdict is Verdict.MAY_HAVE_RUN,
            ) from exc
        if answer.status == 200:
            return answer
        detail = f"target answered with status {answer.status}"
        answer.close()
        # With 4xx and 503 the engine has not accepted the request.
        refused = answer.status < 500 or answer.status == 503
        raise TargetFailure(
            Reason.TARGET_FAILED,
            detail,
            Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN,
            model_not_loaded=method == "POST" and answer.status == NOT_LOADED_STATUS,
        )

    def _recover_stream(
        self, target: Target, headers: dict[str, str], exc: Exception
    ) -> urllib3.BaseHTTPResponse:
        """Reconnect to a stream whose first response was lost."""
        return self._resume_stream(target, headers["X-Request-Id"], 0, headers, exc)

    def _get_json(self, target: Target, path: str) -> dict[str, Any] | None:
        try:
            status, body = self._control("GET", target.url + path)
            if status != 200:
                return None
            return _objects.decode(body)
        except (*TRANSPORT_ERRORS, UnreadableJson):
            return None

    def _send_order(
        self,
        method: str,
        target: Target,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> int:
        try:
            status, _ = self._control(
                method,
                target.url + path,
                body=body,
                headers=headers,
            )
            return status
        except TRANSPORT_ERRORS:
            return 0

    def _control(self, method: str, url: str, **options) -> tuple[int, bytes]:
        """Make a short call; return its status and body."""
        deadline = time.monotonic() + CONTROL_TIMEOUT_SECONDS
        timeout = urllib3.Timeout(
            connect=self.connect_seconds, read=CONTROL_TIMEOUT_SECONDS
        )
        answer = self.pool.request(
            method, url, timeout=timeout, preload_content=False, **options
        )
        return answer.status, read_body(answer, deadline, MAX_CONTROL_BYTES)


def _decode_events(
    answer: urllib3.BaseHTTPResponse, request_id: str
) -> Iterator[EngineText | EngineDone]:
    """Decode server-sent events; an incomplete stream ends without `EngineDone`."""
    event = bytearray()
    budget = PieceBudget(MIN_PIECE_BYTES)
    for piece in answer.stream(amt=None):
        last = bytes(event[-1:])
        event += piece
        if len(event) > MAX_EVENT_BYTES or not budget.take(len(piece)):
            raise _invalid_answer("event without end in the stream")
        # The mark may be split between two pieces.
        if b"\n\n" not in last + piece:
            continue
        *blocks, rest = bytes(event).split(b"\n\n")
        event = bytearray(rest)
        for block in blocks:
            if block.startswith(b"data: ") and block != b"data: [DONE]":
                yield _decode_event(block[len(b"data: ") :], request_id)


def _decode_event(data: bytes, request_id: str) -> EngineText | EngineDone:
    try:
        event = _events.decode(data)
        if event["request_id"] != request_id:
            # Two answers were swapped in transit. Passing this one on would disclose
            # the text of another customer.
            raise _invalid_answer("event belongs to another request")
        if event.get("done"):
            usage = event["usage"]
            counts = {
                "prompt_tokens": usage["prompt_tokens"],
                "completion_tokens": usage["completion_tokens"],
                "cached_tokens": usage.get("cached_tokens", 0),
            }
            return EngineDone(**msgspec.convert(counts, dict[str, Count]))
        text = event["choices"][0]["delta"]["content"]
        index = msgspec.convert(event["index"], Count)
        return EngineText(index, msgspec.convert(text, str))
    except (
        UnreadableJson,
        msgspec.MsgspecError,
        AttributeError,
        LookupError,
        TypeError,
    ) as exc:
        raise _invalid_answer(
            f"invalid event in the stream ({type(exc).__name__})"
        ) from exc


def _invalid_answer(detail: str) -> TargetFailure:
    return TargetFailure(Reason.TARGET_FAILED, detail, Verdict.MAY_HAVE_RUN)


def _cancelled() -> TargetFailure:
    return TargetFailure(Reason.TIMEOUT, "call cancelled", Verdict.MAY_HAVE_RUN)


def _timed_out() -> TargetFailure:
    return TargetFailure(
        Reason.TIMEOUT,
        "target did not finish before the deadline",
        Verdict.MAY_HAVE_RUN,
    )

"""Chat turns at a model engine."""

import time
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import quote

import msgspec
import urllib3

from swifttide_core.documents import Target
from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets._engine_events import (
    EngineDone,
    EngineText,
    TargetFailure,
)
from swifttide_daemon.transport import make_connection_pool, verdict_for_error

ERRORS = (urllib3.exceptions.HTTPError, OSError)
MAX_RESUMES = 20
"""Connections tried in a row without a new event before the target is given up."""

SHORT_SECONDS = 2.0
NOT_LOADED_STATUS = 404
"""What an engine answers to a request for a model that it hasn't loaded."""


class EngineClient:
    """Calls of an engine's protocol.

    Parameters
    ----------
    pool : urllib3.PoolManager
    connect_seconds : float
        Timeout of a new connection.
    gap_seconds : float
        Silence within a stream after which a NEW connection is tried: something
        between the two ends may have lost track of the old one.
    """

    def __init__(
        self, pool: urllib3.PoolManager, connect_seconds: float, gap_seconds: float
    ) -> None:
        self.pool = pool
        self.connect_seconds = connect_seconds
        self.gap_seconds = gap_seconds

    @classmethod
    def from_settings(cls, timeouts: TimeoutSettings) -> "EngineClient":
        """Return a client with the settings' timeouts."""
        return cls(
            make_connection_pool(128),
            timeouts.connect_seconds,
            timeouts.token_gap_seconds,
        )

    def chat(
        self,
        target: Target,
        request_id: str,
        message: dict[str, Any],
        headers: dict[str, str],
        deadline: float,
        wanted: Callable[[], bool],
    ) -> Iterator[EngineText | EngineDone]:
        """Run a turn and yield its events, over as many connections as it takes.

        Parameters
        ----------
        target : Target
        request_id : str
            Answers that don't echo it are not believed.
        message : dict
            Body of the request.
        headers : dict
            Such as the fencing number and the trace context.
        deadline : float
            Monotonic seconds after which the stream is given up.
        wanted : callable
            Asked between events; False ends the stream early.

        Raises
        ------
        TargetFailure
            When there is no whole answer.
        """
        headers = {**headers, "X-Request-Id": request_id}
        body = msgspec.json.encode(message)
        answer = self._open("POST", target, "/v1/chat/completions", body, headers)
        position = 0
        resumes = 0
        while True:
            try:
                for event in _events(answer, request_id):
                    if isinstance(event, EngineDone):
                        yield event
                        return
                    if event.index < position:
                        continue
                    if event.index > position:
                        raise _crossed("an event is missing")
                    position += 1
                    resumes = 0
                    yield event
                    if not wanted():
                        raise _cancelled()
                broken: Exception | None = None
            except ERRORS as exc:
                broken = exc
            finally:
                answer.close()
            resumes += 1
            if not wanted():
                raise _cancelled()
            if time.monotonic() >= deadline or resumes > MAX_RESUMES:
                raise _timed_out()
            answer = self._resume(target, request_id, position, headers, broken)

    def cancel(self, target: Target, request_id: str) -> None:
        """Tell the engine to stop a stream; no answer is needed."""
        self._order("DELETE", target, f"/v1/streams/{quote(request_id, safe='')}", {})

    def load(self, target: Target) -> dict[str, Any] | None:
        """Return the engine's load report, or None."""
        return self._read(target, "/v1/load")

    def cache(self, target: Target) -> dict[str, int] | None:
        """Return the bytes that the engine holds for each program, or None."""
        listing = self._read(target, "/v1/cache")
        return None if listing is None else listing["programs"]

    def release(self, target: Target, program: str, fencing: int) -> bool:
        """Order the engine to drop a program's cache; return whether it did."""
        path = f"/v1/cache/{quote(program, safe='')}"
        status = self._order("DELETE", target, path, {"X-Fencing": str(fencing)})
        return status in (200, 204, 404)

    def load_model(self, target: Target, model: str, fencing: int) -> bool:
        """Order the engine to load a model; return whether it has."""
        body = msgspec.json.encode({"model": model})
        headers = {"X-Fencing": str(fencing), "Content-Type": "application/json"}
        return self._order("POST", target, "/v1/models", headers, body) == 200

    def export(self, target: Target, program: str, name: str, fencing: int) -> bool:
        """Order the engine to write a program's cache to an object."""
        return self._move(target, program, "export", name, fencing)

    def fetch(self, target: Target, program: str, name: str, fencing: int) -> bool:
        """Order the engine to read a program's cache from an object."""
        return self._move(target, program, "import", name, fencing)

    def _move(
        self, target: Target, program: str, verb: str, name: str, fencing: int
    ) -> bool:
        path = f"/v1/cache/{quote(program, safe='')}/{verb}"
        body = msgspec.json.encode({"object": name})
        headers = {"X-Fencing": str(fencing), "Content-Type": "application/json"}
        return self._order("POST", target, path, headers, body) == 200

    def _resume(
        self,
        target: Target,
        request_id: str,
        position: int,
        headers: dict[str, str],
        broken: Exception | None,
    ) -> urllib3.BaseHTTPResponse:
        path = f"/v1/streams/{quote(request_id, safe='')}?from={position}"
        try:
            return self._open("GET", target, path, None, headers)
        except TargetFailure as failure:
            cause = type(broken).__name__ if broken else "the stream ended early"
            # The first request was under way, whatever this attempt met.
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"{cause}; then {failure.detail}",
                Verdict.MAY_HAVE_RUN,
                broke=True,
            ) from failure

    def _open(
        self,
        method: str,
        target: Target,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        try:
            answer = self.pool.request(
                method,
                target.url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self.connect_seconds, read=self.gap_seconds
                ),
                preload_content=False,
            )
        except ERRORS as exc:
            verdict = verdict_for_error(exc)
            if method == "POST" and verdict is Verdict.MAY_HAVE_RUN:
                return self._reopen(target, headers, exc)
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"no answer of the target ({type(exc).__name__})",
                verdict,
                broke=verdict is Verdict.MAY_HAVE_RUN,
            ) from exc
        if answer.status == 200:
            return answer
        detail = f"the target answered {answer.status}"
        answer.close()
        # 4xx and 503 say that the engine took in nothing.
        refused = answer.status < 500 or answer.status == 503
        raise TargetFailure(
            Reason.TARGET_FAILED,
            detail,
            Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN,
            not_loaded=method == "POST" and answer.status == NOT_LOADED_STATUS,
        )

    def _reopen(
        self, target: Target, headers: dict[str, str], exc: Exception
    ) -> urllib3.BaseHTTPResponse:
        """Look for a stream whose first answer never came, on a new connection."""
        return self._resume(target, headers["X-Request-Id"], 0, headers, exc)

    def _read(self, target: Target, path: str) -> dict[str, Any] | None:
        try:
            answer = self.pool.request(
                "GET", target.url + path, timeout=self._short_timeout()
            )
            if answer.status != 200:
                return None
            return msgspec.json.decode(answer.data, type=dict[str, Any])
        except (*ERRORS, msgspec.MsgspecError):
            return None

    def _order(
        self,
        method: str,
        target: Target,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> int:
        try:
            answer = self.pool.request(
                method,
                target.url + path,
                body=body,
                headers=headers,
                timeout=self._short_timeout(),
            )
            return answer.status
        except ERRORS:
            return 0

    def _short_timeout(self) -> urllib3.Timeout:
        return urllib3.Timeout(connect=self.connect_seconds, read=SHORT_SECONDS)


def _events(
    answer: urllib3.BaseHTTPResponse, request_id: str
) -> Iterator[EngineText | EngineDone]:
    """Decode server-sent events; a cut stream ends without `EngineDone`."""
    rest = b""
    for piece in answer.stream(amt=None):
        rest += piece
        *blocks, rest = rest.split(b"\n\n")
        for block in blocks:
            if block.startswith(b"data: ") and block != b"data: [DONE]":
                yield _event(block[len(b"data: ") :], request_id)


def _event(data: bytes, request_id: str) -> EngineText | EngineDone:
    try:
        event = msgspec.json.decode(data)
        if event["request_id"] != request_id:
            # Two answers were swapped on the way; passing this one on would show a
            # customer somebody else's text.
            raise _crossed("an answer to another request")
        if event.get("done"):
            usage = event["usage"]
            return EngineDone(
                usage["prompt_tokens"],
                usage["completion_tokens"],
                usage.get("cached_tokens", 0),
            )
        return EngineText(event["index"], event["choices"][0]["delta"]["content"])
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError) as exc:
        raise _crossed(f"an event can't be read ({type(exc).__name__})") from exc


def _crossed(detail: str) -> TargetFailure:
    return TargetFailure(Reason.TARGET_FAILED, detail, Verdict.MAY_HAVE_RUN)


def _cancelled() -> TargetFailure:
    return TargetFailure(Reason.TIMEOUT, "the call was cancelled", Verdict.MAY_HAVE_RUN)


def _timed_out() -> TargetFailure:
    return TargetFailure(
        Reason.TIMEOUT, "the target didn't finish in time", Verdict.MAY_HAVE_RUN
    )

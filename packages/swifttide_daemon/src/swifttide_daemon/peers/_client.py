"""HTTP client for the peer ports of other hosts."""

import time
from collections.abc import Iterator
from typing import Any

import msgspec
import urllib3
from expression import Error, Ok, Result

from swifttide_core.checks import JsonDecoder, UnreadableJson
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.peers._proof import PeerProof
from swifttide_daemon.settings import Settings
from swifttide_daemon.transport import (
    MAX_ANSWER_BYTES,
    MIN_BYTES_PER_SECOND,
    make_connection_pool,
    read_body,
    verdict_for_error,
)

RETRY_AFTER_SECONDS = 1.0
"""Retry delay given in the refusal if a peer doesn't answer."""

_json = JsonDecoder()


class PeerClient:
    """Sends signed JSON requests to the peer ports of other hosts.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool.
    proof : PeerProof
        Signs the requests.
    connect_seconds, read_seconds : float
        Default timeouts of a request.
    """

    def __init__(
        self,
        pool: urllib3.PoolManager,
        proof: PeerProof,
        connect_seconds: float,
        read_seconds: float,
    ) -> None:
        self.pool = pool
        self.proof = proof
        self.connect_seconds = connect_seconds
        self.read_seconds = read_seconds

    @classmethod
    def from_settings(cls, settings: Settings, proof: PeerProof) -> "PeerClient":
        """Return a client with the timeouts given in the settings."""
        timeouts = settings.timeouts
        return cls(
            make_connection_pool(),
            proof,
            timeouts.connect_seconds,
            timeouts.peer_seconds,
        )

    def call(
        self,
        url: str,
        method: str,
        path: str,
        message: Any = None,
        read_seconds: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, Refusal]:
        """Send a message and return the decoded response, or the peer's refusal."""
        answer = self._send(url, method, path, message, read_seconds, headers)
        if answer.is_error():
            return answer
        body = self._read_body(answer.ok, read_seconds)
        if body.is_error():
            return body
        if answer.ok.status == 200:
            return _decode_answer(body.ok)
        return Error(_decode_refusal(body.ok))

    def stream(
        self, url: str, path: str, message: Any, read_seconds: float, traceparent: str
    ) -> Result[Iterator[bytes], Refusal]:
        """Send a message and return the lines of the response as they arrive.

        The iterator raises an exception of urllib3 if the connection breaks, and ends
        normally if the peer ends the stream. Closing the iterator closes the
        connection.
        """
        headers = {"traceparent": traceparent} if traceparent else {}
        answer = self._send(url, "POST", path, message, read_seconds, headers)
        if answer.is_error():
            return answer
        if answer.ok.status == 200:
            return Ok(_complete_lines(answer.ok))
        body = self._read_body(answer.ok, read_seconds)
        return body if body.is_error() else Error(_decode_refusal(body.ok))

    def _send(
        self,
        url: str,
        method: str,
        path: str,
        message: Any,
        read_seconds: float | None,
        headers: dict[str, str] | None,
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        body = b"" if message is None else msgspec.json.encode(message)
        signed = self.proof.headers(method, path, body)
        try:
            answer = self.pool.request(
                method,
                url + path,
                body=body,
                headers={**(headers or {}), **signed},
                timeout=urllib3.Timeout(
                    connect=self.connect_seconds,
                    read=read_seconds or self.read_seconds,
                ),
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Error(_refusal_without_answer(exc))
        return Ok(answer)

    def _read_body(
        self, answer: urllib3.BaseHTTPResponse, read_seconds: float | None
    ) -> Result[bytes, Refusal]:
        deadline = time.monotonic() + (read_seconds or self.read_seconds)
        try:
            body = read_body(answer, deadline, MAX_ANSWER_BYTES, MIN_BYTES_PER_SECOND)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Error(_refusal_without_answer(exc))
        return Ok(body)


def _refusal_without_answer(exc: Exception) -> Refusal:
    return Refusal(
        Reason.TIMEOUT,
        f"the peer did not answer ({type(exc).__name__})",
        verdict=verdict_for_error(exc),
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _complete_lines(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the complete lines of a response; a truncated last line is dropped."""
    rest = b""
    try:
        for chunk in answer.stream(amt=None):
            rest += chunk
            *lines, rest = rest.split(b"\n")
            yield from lines
    finally:
        # Unread data must not be taken for the response to a later request.
        answer.close()


def _decode_answer(body: bytes) -> Result[Any, Refusal]:
    try:
        return Ok(_json.decode(body))
    except UnreadableJson:
        return Error(_unreadable())


def _unreadable() -> Refusal:
    detail = "the peer's response can't be decoded"
    return Refusal(Reason.INTERNAL, detail, verdict=Verdict.MAY_HAVE_RUN)


def _decode_refusal(body: bytes) -> Refusal:
    try:
        problem = _json.decode(body)
        return msgspec.convert(
            {
                "reason": problem["reason"],
                "detail": problem["detail"],
                "verdict": problem["verdict"],
                "retry_after_seconds": problem.get("retry_after_seconds"),
            },
            Refusal,
        )
    except (UnreadableJson, msgspec.MsgspecError, LookupError, TypeError):
        return _unreadable()

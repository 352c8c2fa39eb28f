"""HTTP client of the operators' calls, at any daemon of the fleet."""

import json
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from expression import Error, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from swifttide_cli.api._change_row import ChangeRow
from swifttide_cli.api._host_row import HostRow
from swifttide_cli.api._problem import failure_of
from swifttide_cli.api._stored_document import StoredDocument
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure

CONNECT_SECONDS = 3.0
ANSWER_SECONDS = 15.0
"""An edit waits for the platform's answer and may be settled by reading back."""

NO_VERSION = 0
"""Base of an edit that makes a document which doesn't exist yet."""

_FIRST_SUCCESS = 200
_FIRST_NO_SUCCESS = 300


class OperatorClient:
    """Sends operators' calls to the first daemon that answers.

    Parameters
    ----------
    urls : tuple of str
        Callers' ports of daemons, tried in turn.
    key : str
        The operator's key.
    """

    def __init__(self, urls: tuple[str, ...], key: str):
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS),
            retries=False,
        )

    def documents(self, kind: str) -> Result[list[StoredDocument], Failure]:
        """Return the documents of a kind."""
        answer = self._call("GET", f"/v1/operator/documents/{kind}")
        return answer.bind(lambda a: _convert(a, "documents", list[StoredDocument]))

    def document(self, kind: str, name: str) -> Result[StoredDocument, Failure]:
        """Return one document."""
        answer = self._call("GET", _document_path(kind, name))
        return answer.bind(lambda a: _convert(a, None, StoredDocument))

    def put(
        self, kind: str, name: str, document: dict[str, Any], base: int
    ) -> Result[int, Failure]:
        """Store a document and return its new version.

        Parameters
        ----------
        kind, name : str
            What to store.
        document : dict
            With all members, so that reading back can compare.
        base : int
            Version that was edited, or `NO_VERSION`. Never null, with which a daemon
            would write over whatever stands there.
        """
        body = {"document": document, "base_version": base}
        answer = self._call("PUT", _document_path(kind, name), body)
        match answer:
            case Result(tag="ok", ok=found):
                return _convert(found, "version", int)
            case Result(error=failure):
                if failure.code is ExitCode.MAY_HAVE_APPLIED:
                    return self._settle(kind, name, document, base, failure)
                return Error(failure)

    def history(self, kind: str, name: str) -> Result[list[ChangeRow], Failure]:
        """Return the edits of a kind, or of one document."""
        query = urlencode({k: v for k, v in (("kind", kind), ("name", name)) if v})
        answer = self._call("GET", f"/v1/operator/history?{query}")
        return answer.bind(lambda a: _convert(a, "changes", list[ChangeRow]))

    def hosts(self) -> Result[list[HostRow], Failure]:
        """Return the hosts of the fleet."""
        answer = self._call("GET", "/v1/operator/hosts")
        return answer.bind(lambda a: _convert(a, "hosts", list[HostRow]))

    def targets(self) -> Result[list[dict[str, Any]], Failure]:
        """Return the targets with their state."""
        answer = self._call("GET", "/v1/operator/targets")
        return answer.bind(lambda a: _convert(a, "targets", list[dict[str, Any]]))

    def program(self, customer: str, program: str) -> Result[dict, Failure]:
        """Return the state of a program."""
        answer = self._call("GET", _program_path(customer, program))
        return answer.bind(lambda a: _convert(a, None, dict[str, Any]))

    def end_program(self, customer: str, program: str) -> Result[dict, Failure]:
        """End a program; ending it again changes nothing."""
        answer = self._call("DELETE", _program_path(customer, program))
        return answer.bind(lambda a: _convert(a, None, dict[str, Any]))

    def _settle(
        self,
        kind: str,
        name: str,
        document: dict[str, Any],
        base: int,
        failure: Failure,
    ) -> Result[int, Failure]:
        """Find out by reading back whether an edit without an answer took effect.

        The connection breaks after the daemon has written the edit. Sent again, it
        would lose the race against itself and be told of a conflict with itself.
        """
        match self.document(kind, name):
            case Result(tag="ok", ok=stored):
                newer = stored.version > base
                if newer and stored.document == document:
                    return Ok(stored.version)
        return Error(failure)

    def _call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Result[Any, Failure]:
        tried: list[str] = []
        # A read is tried twice at each host: the other end may have closed a kept
        # connection just before. An edit isn't: it may have been taken in.
        urls = self._urls * 2 if method == "GET" else self._urls
        for url in urls:
            try:
                answer = self._send(method, url.rstrip("/") + path, body)
            except (NewConnectionError, ConnectTimeoutError):
                tried.append(f"{url}: no connection")
                continue
            except (HTTPError, OSError, ValueError) as exc:
                tried.append(f"{url}: {type(exc).__name__}")
                if method == "GET":
                    continue
                return Error(_lost_answer(tried))
            return _decode(method, answer)
        return Error(_nobody_answered(tried))

    def _send(
        self, method: str, url: str, body: dict[str, Any] | None
    ) -> urllib3.BaseHTTPResponse:
        # A redirect would carry the operator's key to whatever it names.
        return self._pool.request(
            method, url, json=body, headers=self._headers, redirect=False
        )


def _document_path(kind: str, name: str) -> str:
    return f"/v1/operator/documents/{kind}/{quote(name, safe='')}"


def _program_path(customer: str, program: str) -> str:
    names = f"{quote(customer, safe='')}/{quote(program, safe='')}"
    return f"/v1/operator/programs/{names}"


def _decode(method: str, answer: urllib3.BaseHTTPResponse) -> Result[Any, Failure]:
    if not _FIRST_SUCCESS <= answer.status < _FIRST_NO_SUCCESS:
        return Error(failure_of(method, answer.status, answer.headers, answer.data))
    try:
        return Ok(json.loads(answer.data) if answer.data else {})
    except ValueError:
        return Error(_odd_answer("no JSON"))


def _convert(answer: Any, member: str | None, kind: Any) -> Result[Any, Failure]:
    try:
        found = answer if member is None else answer[member]
        return Ok(msgspec.convert(found, kind))
    except (KeyError, TypeError, msgspec.ValidationError) as exc:
        return Error(_odd_answer(str(exc)))


def _odd_answer(what: str) -> Failure:
    return Failure(
        code=ExitCode.FAILED,
        message=f"the answer is none of a swifttide daemon: {what}",
        advice="check that the URL names a daemon's callers' port.",
    )


def _lost_answer(tried: list[str]) -> Failure:
    return Failure(
        code=ExitCode.MAY_HAVE_APPLIED,
        message="the answer to the edit was lost",
        advice="look whether the edit is there before you send it again.",
        details=tuple(dict.fromkeys(tried)),
    )


def _nobody_answered(tried: list[str]) -> Failure:
    return Failure(
        code=ExitCode.UNAVAILABLE,
        message="no daemon answered",
        advice="check --url or SWIFTTIDE_URL; several URLs may stand there, with "
        "commas between them.",
        details=tuple(dict.fromkeys(tried)),
    )

"""The platform's protocol: the only module that knows it."""

import time
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from expression import Error, Ok, Result

from swifttide_core.verdicts import Verdict
from swifttide_daemon.settings import Settings
from swifttide_daemon.store._group_commit import GroupCommit
from swifttide_daemon.store._types import (
    Committed,
    Conflict,
    PlatformError,
    Row,
    Transaction,
)
from swifttide_daemon.telemetry import Telemetry
from swifttide_daemon.transport import make_connection_pool, verdict_for_error

COMMIT_TRIES = 3
"""A lost answer is settled by sending the same transaction id again."""

RETRY_PAUSE_SECONDS = 0.05
OUTAGE_SECONDS = 2.0


class PlatformClient:
    """Tables, transactions and objects of the platform.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections.
    base_url : str
        Base URL of the platform.
    headers : dict of str to str
        Sent with each call.
    timeout : urllib3.Timeout
        For one exchange.
    telemetry : Telemetry
        Gets a span for each exchange of a traced request, and its time.
    """

    def __init__(
        self,
        pool: urllib3.PoolManager,
        base_url: str,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
        telemetry: Telemetry,
    ) -> None:
        self.telemetry = telemetry
        self.pool = pool
        self.base_url = base_url.rstrip("/")
        self.headers = headers
        self.timeout = timeout
        self._answered_at = time.monotonic()
        self._failing = False
        self._groups = GroupCommit(self.commit)

    @classmethod
    def from_settings(
        cls, settings: Settings, telemetry: Telemetry
    ) -> "PlatformClient":
        """Return a client for the platform that the settings name."""
        timeouts = settings.timeouts
        return cls(
            pool=make_connection_pool(),
            base_url=settings.platform_url,
            headers={"X-Host": settings.host, "X-Zone": settings.zone},
            timeout=urllib3.Timeout(
                connect=timeouts.connect_seconds, read=timeouts.platform_seconds
            ),
            telemetry=telemetry,
        )

    @property
    def available(self) -> bool:
        """Whether a call is worth trying.

        One lost answer is no outage: only when nothing has been answered for a
        while are requests refused before they are sent.
        """
        silent = time.monotonic() - self._answered_at
        return not self._failing or silent < OUTAGE_SECONDS

    @property
    def failing(self) -> bool:
        """Whether the last call got no answer."""
        return self._failing

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row; None when there is none."""
        answer = self._exchange("GET", f"/v1/rows/{table}/{quote(key, safe='')}")
        if answer.is_error():
            return answer
        status, body = answer.ok
        match status:
            case 200:
                return Ok(msgspec.json.decode(body, type=Row))
            case 404:
                return Ok(None)
            case _:
                return Error(PlatformError(f"read {table}: status {status}"))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], PlatformError]:
        """Read the rows of a key prefix in key order, all pages of them."""
        rows: list[Row] = []
        while True:
            page = self._page(table, prefix, after, limit)
            if page.is_error():
                return page
            rows.extend(page.ok)
            if len(page.ok) < limit:
                return Ok(rows)
            after = page.ok[-1].key

    def _page(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[list[Row], PlatformError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = self._exchange("GET", f"/v1/rows/{table}?{query}")
        if answer.is_error():
            return answer
        status, body = answer.ok
        if status != 200:
            return Error(PlatformError(f"scan {table}: status {status}"))
        found = msgspec.json.decode(body, type=dict[str, list[Row]])
        return Ok(found["rows"])

    def commit(
        self, tx: Transaction, tries: int = COMMIT_TRIES
    ) -> Result[Committed | Conflict, PlatformError]:
        """Run a transaction; its id settles answers that get lost."""
        body = msgspec.json.encode(tx)
        unknown = False
        error = PlatformError("not tried")
        for attempt in range(tries):
            if attempt:
                time.sleep(RETRY_PAUSE_SECONDS)
            answer = self._exchange("POST", "/v1/transactions", body)
            if answer.is_ok():
                status, payload = answer.ok
                if status in (200, 409):
                    return Ok(_outcome(payload))
                error = PlatformError(f"transaction: status {status}")
                # A 4xx says that the platform took in nothing.
                unknown = unknown or status >= 500
                continue
            error = answer.error
            unknown = unknown or error.may_have_committed
        settled = self._read_back(tx) if unknown else None
        if settled is not None:
            return Ok(settled)
        return Error(PlatformError(error.detail, may_have_committed=unknown))

    def _read_back(self, tx: Transaction) -> Committed | None:
        """Return what became of a transaction whose answers were all lost.

        Writes can be answered by nobody while reads still are. Without this a host
        would lose its lease though each of its renewals took effect.
        """
        answer = self._exchange("GET", f"/v1/transactions/{quote(tx.id, safe='')}")
        if answer.is_error() or answer.ok[0] != 200:
            return None
        found = msgspec.json.decode(answer.ok[1])
        return Committed(tuple(found["versions"])) if found["committed"] else None

    def commit_soon(
        self, tx: Transaction
    ) -> Result[Committed | Conflict, PlatformError]:
        """Run a transaction, under load together with others of this host."""
        return self._groups.submit(tx)

    def put_object(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object; storing the same bytes again is no error."""
        answer = self._exchange("PUT", f"/v1/objects/{quote(name, safe='')}", data)
        if answer.is_error():
            stored = answer.error.may_have_committed and self.get_object(name)
            return Ok(None) if stored == Ok(data) else answer
        if answer.ok[0] in (200, 201):
            return Ok(None)
        return Error(PlatformError(f"put object: status {answer.ok[0]}"))

    def get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Read an object whole."""
        answer = self._exchange("GET", f"/v1/objects/{quote(name, safe='')}")
        if answer.is_error():
            return answer
        if answer.ok[0] == 200:
            return Ok(answer.ok[1])
        return Error(PlatformError(f"get object: status {answer.ok[0]}"))

    def _exchange(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[tuple[int, bytes], PlatformError]:
        operation = _operation(method, path)
        started_at = time.monotonic()
        with self.telemetry.child_span("platform", operation=operation) as span:
            answer = self._send(method, path, body, span.traceparent)
        seconds = time.monotonic() - started_at
        ok = answer.is_ok() and answer.ok[0] < 500
        self.telemetry.metrics.observe_platform(operation, seconds, ok)
        return answer

    def _send(
        self, method: str, path: str, body: bytes | None, traceparent: str
    ) -> Result[tuple[int, bytes], PlatformError]:
        headers = self.headers
        if traceparent:
            headers = {**headers, "traceparent": traceparent}
        try:
            answer = self.pool.request(
                method,
                self.base_url + path,
                body=body,
                headers=headers,
                timeout=self.timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self._failing = True
            sent = verdict_for_error(exc) is not Verdict.NOT_RUN
            return Error(PlatformError(type(exc).__name__, may_have_committed=sent))
        self._failing = answer.status >= 500
        if not self._failing:
            self._answered_at = time.monotonic()
        return Ok((answer.status, answer.data))


def _operation(method: str, path: str) -> str:
    """Return a name with few values, such as ``rows.get``, for series and spans."""
    resource = path.split("/")[2].partition("?")[0]
    return f"{resource}.{method.lower()}"


def _outcome(payload: bytes) -> Committed | Conflict:
    answer: dict[str, Any] = msgspec.json.decode(payload)
    if answer["committed"]:
        return Committed(tuple(answer["versions"]))
    first = answer["conflicts"][0]
    return Conflict(first["table"], first["key"], first["version"])

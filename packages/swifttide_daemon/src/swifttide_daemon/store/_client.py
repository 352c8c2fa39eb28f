"""Client of the platform's HTTP interface for rows, transactions and objects.

No other module of this package depends on the platform's protocol.
"""

import itertools
import threading
import time
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from expression import Error, Ok, Result

from swifttide_core.checks import JsonDecoder, UnreadableJson
from swifttide_core.verdicts import Verdict
from swifttide_daemon.settings import Settings
from swifttide_daemon.store._group_commit import GroupCommit
from swifttide_daemon.store._row_pages import decode_page
from swifttide_daemon.store._types import (
    Committed,
    Conflict,
    PlatformError,
    Row,
    Transaction,
)
from swifttide_daemon.store._unusable_rows import UnusableRows
from swifttide_daemon.telemetry import Telemetry
from swifttide_daemon.transport import (
    MAX_ANSWER_BYTES,
    MIN_BYTES_PER_SECOND,
    make_connection_pool,
    read_body,
    verdict_for_error,
)

MAX_COMMIT_ATTEMPTS = 3
"""Attempts to send a transaction.

Each attempt sends the same transaction id, so that a transaction whose response was
lost is not committed twice.
"""

RETRY_PAUSE_SECONDS = 0.05
STALL_SECONDS = 0.5
"""Age from which a request without a response suggests that the platform is silent,
long before the request times out."""

OUTAGE_DETECTION_SECONDS = 2.0
"""Time without a response after which a failing platform counts as unavailable."""

_ROW = JsonDecoder(Row)
_request_numbers = itertools.count()


class PlatformClient:
    """Reads and writes rows and objects of the platform.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool.
    base_url : str
        Base URL of the platform.
    headers : dict of str to str
        Sent with each call.
    timeout : urllib3.Timeout
        Timeout of one HTTP request.
    telemetry : Telemetry
        Records the duration of each HTTP request, and a span if it is traced.
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
        self._unusable = UnusableRows()
        self._answered_at = time.monotonic()
        self._failing = False
        self._pending_since: dict[int, float] = {}
        self._lock = threading.Lock()
        self._group_commit = GroupCommit(self.commit)

    @classmethod
    def from_settings(
        cls, settings: Settings, telemetry: Telemetry
    ) -> "PlatformClient":
        """Return a client of the platform named in the settings."""
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
        """Whether the platform is considered available.

        A single failed request doesn't count as an outage. Callers refuse requests
        without trying the platform only if the last request failed and none has
        succeeded for `OUTAGE_DETECTION_SECONDS`.
        """
        silent = time.monotonic() - self._answered_at
        return not self._failing or silent < OUTAGE_DETECTION_SECONDS

    @property
    def failing(self) -> bool:
        """Whether the last request got no response or a server error."""
        return self._failing

    @property
    def stalled(self) -> bool:
        """Whether a request has been without a response for `STALL_SECONDS`."""
        with self._lock:
            oldest = min(self._pending_since.values(), default=float("inf"))
        return time.monotonic() - oldest >= STALL_SECONDS

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row; the result is None if there is no such row."""
        answer = self._exchange("GET", f"/v1/rows/{table}/{quote(key, safe='')}")
        if answer.is_error():
            return answer
        status, body = answer.ok
        match status:
            case 200:
                return self._decode_row(table, key, body)
            case 404:
                return Ok(None)
            case _:
                return Error(PlatformError(f"read {table}: status {status}"))

    def _decode_row(
        self, table: str, key: str, body: bytes
    ) -> Result[Row, PlatformError]:
        try:
            return Ok(_ROW.decode(body))
        except UnreadableJson as exc:
            self._unusable.report(table, key, exc)
            return Error(PlatformError(f"read {table}: {exc}"))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], PlatformError]:
        """Read all rows with a key prefix, in key order.

        The rows are fetched in pages of `limit` rows, from the first key after `after`.
        Rows that can't be read are left out.
        """
        rows: list[Row] = []
        while True:
            page = self._page(table, prefix, after, limit)
            if page.is_error():
                return page
            found, n_rows, last_key = page.ok
            rows.extend(found)
            if n_rows < limit:
                return Ok(rows)
            after = last_key

    def _page(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[list[Row], int, str], PlatformError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = self._exchange("GET", f"/v1/rows/{table}?{query}")
        if answer.is_error():
            return answer
        status, body = answer.ok
        if status != 200:
            return Error(PlatformError(f"scan {table}: status {status}"))
        try:
            return Ok(decode_page(body, table, self._unusable))
        except UnreadableJson as exc:
            return Error(PlatformError(f"scan {table}: {exc}"))

    def commit(
        self, tx: Transaction, tries: int = MAX_COMMIT_ATTEMPTS
    ) -> Result[Committed | Conflict, PlatformError]:
        """Commit a transaction, with retries after lost responses and errors.

        All attempts send the same transaction id. If the outcome remains unknown, it
        is read by that id.
        """
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
                    return Ok(_decode_outcome(payload))
                error = PlatformError(f"transaction: status {status}")
                # A 4xx status means that the platform didn't commit the transaction.
                unknown = unknown or status >= 500
                continue
            error = answer.error
            unknown = unknown or error.may_have_committed
        settled = self._read_outcome(tx) if unknown else None
        if settled is not None:
            return Ok(settled)
        return Error(PlatformError(error.detail, may_have_committed=unknown))

    def _read_outcome(self, tx: Transaction) -> Committed | None:
        """Return the outcome of a transaction whose responses were all lost.

        The platform may answer reads while it doesn't answer writes. Without this
        read, a host would lose its lease although its renewals are committed. Returns
        None if the transaction isn't known to have been committed.
        """
        answer = self._exchange("GET", f"/v1/transactions/{quote(tx.id, safe='')}")
        if answer.is_error() or answer.ok[0] != 200:
            return None
        found = msgspec.json.decode(answer.ok[1])
        return Committed(tuple(found["versions"])) if found["committed"] else None

    def commit_grouped(
        self, tx: Transaction
    ) -> Result[Committed | Conflict, PlatformError]:
        """Commit a transaction, merged under load with others of this host."""
        return self._group_commit.submit(tx)

    def put_object(self, name: str, data: bytes) -> Result[None, PlatformError]:
        """Store an object; storing the same bytes again succeeds."""
        answer = self._exchange("PUT", f"/v1/objects/{quote(name, safe='')}", data)
        if answer.is_error():
            stored = answer.error.may_have_committed and self.get_object(name)
            return Ok(None) if stored == Ok(data) else answer
        if answer.ok[0] in (200, 201):
            return Ok(None)
        return Error(PlatformError(f"put object: status {answer.ok[0]}"))

    def get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Read the complete content of an object."""
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
        number = next(_request_numbers)
        with self._lock:
            self._pending_since[number] = time.monotonic()
        try:
            answer = self.pool.request(
                method,
                self.base_url + path,
                body=body,
                headers=headers,
                timeout=self.timeout,
                preload_content=False,
            )
            data = read_body(
                answer,
                time.monotonic() + self.timeout.read_timeout,
                MAX_ANSWER_BYTES,
                MIN_BYTES_PER_SECOND,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self._failing = True
            sent = verdict_for_error(exc) is not Verdict.NOT_RUN
            return Error(PlatformError(type(exc).__name__, may_have_committed=sent))
        finally:
            with self._lock:
                del self._pending_since[number]
        self._failing = answer.status >= 500
        if not self._failing:
            self._answered_at = time.monotonic()
        return Ok((answer.status, data))


def _operation(method: str, path: str) -> str:
    """Return a low-cardinality name, such as ``rows.get``, for metrics and spans."""
    resource = path.split("/")[2].partition("?")[0]
    return f"{resource}.{method.lower()}"


def _decode_outcome(payload: bytes) -> Committed | Conflict:
    answer: dict[str, Any] = msgspec.json.decode(payload)
    if answer["committed"]:
        return Committed(tuple(answer["versions"]))
    first = answer["conflicts"][0]
    return Conflict(first["table"], first["key"], first["version"])

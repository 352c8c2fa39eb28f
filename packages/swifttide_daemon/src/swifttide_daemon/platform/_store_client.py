"""The platform's rows behind the gateway's store interface."""

import asyncio
import base64
import binascii
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

import h11
import msgspec

from swifttide_core.checks import JsonDecoder
from swifttide_daemon.gateway import (
    Applied,
    Conflict,
    ConnectionPool,
    HistoryLost,
    RowKey,
    Rows,
    StoredRow,
    Transaction,
    Unavailable,
)

MAX_ANSWER_BYTES = 4_194_304
"""Largest answer: 1 MB of rows, in base64, and their keys."""

COMMIT_SECONDS = 2.0
"""Time for a transaction; one takes 5 to 13 ms while the store is well, a hundred
times as long while it is slow. Whoever waits for it sets shorter limits."""

READ_SECONDS = 0.8
"""Time for a read; one takes 4 ms while the store is well, sixty times as long while it
is slow."""

ROWS_AT_ONCE = 500
"""Rows of one answer."""


Version = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Row(msgspec.Struct):
    table: str
    key: str
    row_version: Version
    part: str | None = None
    value: Any = None
    deleted: bool | None = None


class _RowsDocument(msgspec.Struct):
    rows: list[_Row]
    row_version: Version
    now_ms: Milliseconds
    has_more: bool | None = None


class _AppliedDocument(msgspec.Struct):
    row_version: Version
    now_ms: Milliseconds


class _ConflictDocument(msgspec.Struct):
    rows: list[_Row]


_rows = JsonDecoder(_RowsDocument)
_applied = JsonDecoder(_AppliedDocument)
_conflict = JsonDecoder(_ConflictDocument)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    document: _RowsDocument | _AppliedDocument | _ConflictDocument | None


class PrintOfficeStore:
    """Client of the platform's metadata store.

    Parameters
    ----------
    ip : str
    port : int
    pool : ConnectionPool
    """

    def __init__(self, ip: str, port: int, pool: ConnectionPool):
        self._ip = ip
        self._port = port
        self._pool = pool

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""
        answer = await self._call(
            "POST",
            "/-/rows-tx",
            _encode_tx(tx),
            COMMIT_SECONDS,
            {200: _applied, 412: _conflict},
            bool(tx.puts or tx.removes),
        )
        match answer:
            case Unavailable():
                return answer
            case _Answer(200, document):
                return Applied(document.row_version, document.now_ms)
            case _Answer(412, document):
                return Conflict(_decode_rows(document.rows))
            case _Answer(status):
                # 429 and 503 say that nothing was done; of another status it isn't
                # known.
                return _unavailable(status, status not in (429, 503))

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part, from ``start`` up to before ``end``."""
        found: list[StoredRow] = []
        version = 0
        while True:
            query = {"table": table, "part": part, "limit": ROWS_AT_ONCE}
            query |= {"start_key": start} if start else {}
            query |= {"to": end} if end else {}
            path = "/-/rows-get?" + urlencode(query)
            answer = await self._call("GET", path, b"", READ_SECONDS, {200: _rows})
            match answer:
                case Unavailable():
                    return answer
                case _Answer(200, document):
                    found += _decode_rows(document.rows)
                    version = version or document.row_version
                    if not document.has_more or not document.rows:
                        return Rows(tuple(found), version, document.now_ms)
                    # The smallest key after the last one read.
                    following = document.rows[-1].key + "\0"
                    if following <= start:
                        return Unavailable("rows that aren't in order")
                    start = following
                case _Answer(status):
                    return _unavailable(status)

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version, waiting until something does."""
        query = {"table": table, "after": after, "wait_ms": int(wait_seconds * 1000)}
        path = "/-/rows-feed?" + urlencode(query)
        seconds = wait_seconds + READ_SECONDS
        answer = await self._call("GET", path, b"", seconds, {200: _rows})
        match answer:
            case Unavailable():
                return answer
            case _Answer(200, document):
                rows = _decode_rows(document.rows)
                return Rows(rows, document.row_version, document.now_ms)
            case _Answer(410):
                return HistoryLost()
            case _Answer(status):
                return _unavailable(status)

    def reconnect(self) -> None:
        """Make the next calls on new connections."""
        self._pool.forget(self._ip, self._port)

    async def _call(self, method, path, body, seconds, decoders, writes=False):
        """Make a call; never raises but for cancellation.

        Parameters
        ----------
        method, path : str
        body : bytes
        seconds : float
            Time-out, see `ClientConnection.read_body`.
        decoders : dict of int to JsonDecoder
            Decoders of the bodies that are used, by status.
        writes : bool
            Whether the call may change rows.
        """
        fields = [(b"Host", f"{self._ip}:{self._port}".encode())]
        if method != "GET":
            fields.append((b"Content-Type", b"application/json"))
            fields.append((b"Content-Length", str(len(body)).encode()))
        conn = None
        try:
            async with asyncio.timeout(seconds) as limit:
                conn, _ = await self._pool.take(self._ip, self._port)
                conn.send(method, path, fields, body)
                status, _ = await conn.read_head()
                raw = await conn.read_body(MAX_ANSWER_BYTES, limit)
        except (OSError, EOFError, h11.RemoteProtocolError) as exc:
            if conn is None:
                return Unavailable(f"no connection: {type(exc).__name__}")
            conn.close()
            return Unavailable(f"no answer: {type(exc).__name__}", writes)
        except BaseException:
            if conn is not None:
                conn.close()
            raise
        self._pool.give_back(self._ip, self._port, conn, None)
        if status not in decoders:
            return _Answer(status, None)
        try:
            return _Answer(status, decoders[status].decode(raw))
        except ValueError as exc:
            return Unavailable(str(exc), writes)


def _unavailable(status: int, may_have_applied: bool = False) -> Unavailable:
    return Unavailable(f"status {status}", may_have_applied, status == 429)


def _encode_tx(tx: Transaction) -> bytes:
    document = {
        "expected_revision": [
            _encode_key(c.key) | {"row_version": c.version} for c in tx.conditions
        ],
        "writes": [
            _encode_key(p.key) | {"value": base64.b64encode(p.value).decode()}
            for p in tx.puts
        ],
        "remove": [_encode_key(key) for key in tx.removes],
    }
    return msgspec.json.encode(document)


def _encode_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode_rows(rows: list[_Row]) -> tuple[StoredRow, ...]:
    return tuple(_decode_row(row) for row in rows)


def _decode_row(row: _Row) -> StoredRow:
    place = RowKey(row.table, row.part or "", row.key)
    return StoredRow(place, _decode_value(row), row.row_version, bool(row.deleted))


def _decode_value(row: _Row) -> bytes | None:
    if row.deleted or not isinstance(row.value, str):
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        return None

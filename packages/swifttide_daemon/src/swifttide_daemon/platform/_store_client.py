"""The platform's rows behind the gateway's store interface."""

import asyncio
import base64
import binascii
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import h11
import msgspec

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


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    document: Any


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
            "POST", "/-/rows-tx", _encode_tx(tx), COMMIT_SECONDS, tx.puts or tx.removes
        )
        match answer:
            case Unavailable():
                return answer
            case _Answer(200, {"row_version": int() as version, "now_ms": int(now)}):
                return Applied(version, now)
            case _Answer(412, {"rows": list() as rows}):
                return Conflict(_decode_rows(rows))
            case _Answer(status):
                # 429 and 503 say that nothing was done; of another status it isn't
                # known.
                return _unavailable(status, status not in (429, 503))

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part, from ``start`` up to before ``end``."""
        found: list[StoredRow] = []
        version, now_ms = 0, 0
        while True:
            query = {"table": table, "part": part, "limit": ROWS_AT_ONCE}
            query |= {"start_key": start} if start else {}
            query |= {"to": end} if end else {}
            path = "/-/rows-get?" + urlencode(query)
            answer = await self._call("GET", path, b"", READ_SECONDS, False)
            match answer:
                case Unavailable():
                    return answer
                case _Answer(200, {"rows": list() as rows, "row_version": int(seen)}):
                    found += _decode_rows(rows)
                    version = version or seen
                    now_ms = answer.document.get("now_ms", 0)
                    if not answer.document.get("has_more") or not rows:
                        return Rows(tuple(found), version, now_ms)
                    # The smallest key after the last one read.
                    start = found[-1].key.key + "\0"
                case _Answer(status):
                    return _unavailable(status)

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version, waiting until something does."""
        query = {"table": table, "after": after, "wait_ms": int(wait_seconds * 1000)}
        path = "/-/rows-feed?" + urlencode(query)
        seconds = wait_seconds + READ_SECONDS
        answer = await self._call("GET", path, b"", seconds, False)
        match answer:
            case Unavailable():
                return answer
            case _Answer(200, {"rows": list() as rows, "row_version": int(seen)}):
                now_ms = answer.document.get("now_ms", 0)
                return Rows(_decode_rows(rows), seen, now_ms)
            case _Answer(410):
                return HistoryLost()
            case _Answer(status):
                return _unavailable(status)

    def reconnect(self) -> None:
        """Make the next calls on new connections."""
        self._pool.forget(self._ip, self._port)

    async def _call(self, method, path, body, seconds, writes):
        """Make a call; never raises but for cancellation."""
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
            return Unavailable(f"no answer: {type(exc).__name__}", bool(writes))
        except BaseException:
            if conn is not None:
                conn.close()
            raise
        self._pool.give_back(self._ip, self._port, conn, None)
        try:
            return _Answer(status, msgspec.json.decode(raw) if raw else {})
        except msgspec.DecodeError:
            return Unavailable("an answer that can't be read", bool(writes))


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


def _decode_rows(rows) -> tuple[StoredRow, ...]:
    return tuple(row for raw in rows if (row := _decode_row(raw)) is not None)


def _decode_row(raw) -> StoredRow | None:
    match raw:
        case {"table": str(table), "key": str(key), "row_version": int(version)}:
            place = RowKey(table, raw.get("part") or "", key)
            deleted = bool(raw.get("deleted"))
            return StoredRow(place, _decode_value(raw), version, deleted)
    return None


def _decode_value(raw) -> bytes | None:
    value = raw.get("value")
    if raw.get("deleted") or not isinstance(value, str):
        return None
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        return None

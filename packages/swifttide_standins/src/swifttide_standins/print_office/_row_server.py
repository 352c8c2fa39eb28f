"""The platform's store as a server on loopback."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from swifttide_standins.print_office._http_server import HttpServer, Reply, Request
from swifttide_standins.print_office._memory_rows import MemoryRows


class RowServer:
    """Answers the store's calls from rows in memory.

    Attributes
    ----------
    rows : MemoryRows
    refuse : bool
        Answers 503 while set.
    seconds : float
        Time that each call takes.
    lose_answers : bool
        Carries calls out and resets their connections while set.
    """

    def __init__(self):
        self.rows = MemoryRows()
        self.refuse = False
        self.seconds = 0.0
        self.lose_answers = False
        self.calls: list[str] = []
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Reply | None:
        path = urlsplit(request.target).path
        self.calls.append(path)
        if self.refuse:
            return _json(503, {})
        await asyncio.sleep(self.seconds)
        match path:
            case "/-/rows-tx":
                reply = self._commit(json.loads(request.body))
            case "/-/rows-get":
                reply = self._read(_query(request))
            case "/-/rows-feed":
                reply = await self._feed(_query(request), request.closed)
            case _:
                reply = _json(404, {})
        if self.refuse:
            return _json(503, {})
        if self.lose_answers and path == "/-/rows-tx":
            return None
        return reply

    def _commit(self, tx):
        conditions = [(_place(c), c["row_version"]) for c in tx["expected_revision"]]
        puts = [(_place(w), base64.b64decode(w["value"])) for w in tx["writes"]]
        failed = self.rows.commit(conditions, puts, [_place(r) for r in tx["remove"]])
        if failed is None:
            return _json(200, self._stamp())
        rows = [_row(p, r.value, r.version) for p, r in failed if r is not None]
        return _json(412, {"rows": rows})

    def _read(self, query):
        found = self.rows.range(
            query["table"],
            query.get("part", ""),
            query.get("start_key", ""),
            query.get("to", ""),
        )
        limit = int(query.get("limit", 500))
        rows = [_row(p, r.value, r.version) for p, r in found[:limit]]
        more = len(found) > limit
        return _json(200, {"rows": rows, "has_more": more} | self._stamp())

    async def _feed(self, query, closed):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.rows.first_known:
                return _json(410, {})
            found = self.rows.changes(query["table"], after)
            left = until - time.monotonic()
            if found or left <= 0 or closed.is_set():
                rows = [_row(place, value, version) for version, place, value in found]
                return _json(200, {"rows": rows} | self._stamp())
            await self.rows.wait_for_change(min(left, 0.05))

    def _stamp(self):
        now_ms = int(time.monotonic() * 1000)
        return {"row_version": self.rows.version, "now_ms": now_ms}


def _query(request):
    parsed = parse_qs(urlsplit(request.target).query, keep_blank_values=True)
    return {name: values[0] for name, values in parsed.items()}


def _place(raw):
    return raw["table"], raw.get("part", ""), raw["key"]


def _row(place, value, version):
    table, part, key = place
    row = {"table": table, "part": part, "key": key, "row_version": version}
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}


def _json(status, document):
    body = json.dumps(document).encode()
    fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    return Reply(status, fields, (body,))

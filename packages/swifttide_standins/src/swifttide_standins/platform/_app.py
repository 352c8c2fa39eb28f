"""The platform's calls."""

import time
from collections.abc import Callable

from swifttide_standins.platform._counters import Counters
from swifttide_standins.platform._fault import PlatformFault, PlatformFaultMode
from swifttide_standins.platform._fault_board import FaultBoard
from swifttide_standins.platform._host_list import HostEntry, HostList
from swifttide_standins.platform._outcome import Outcome
from swifttide_standins.platform._row import Row
from swifttide_standins.platform._store import Store
from swifttide_standins.platform._table import Table
from swifttide_standins.platform._transaction import Transaction
from swifttide_standins.web import (
    App,
    BadInput,
    Request,
    Response,
    Route,
    check_int,
    decode_json,
)

DEFAULT_LIMIT = 1000
MAX_LIMIT = 10_000


def platform_app(host_lag_seconds: float = 0.0) -> App:
    """Return the application of an empty platform.

    Parameters
    ----------
    host_lag_seconds : float
        How old the answers of ``GET /v1/hosts`` are.
    """
    return App(PlatformCalls(Store(), HostList(host_lag_seconds)).routes())


class PlatformCalls:
    """Handlers over a store and a host list.

    Parameters
    ----------
    store : Store
        Tables and objects.
    hosts : HostList
        The lagging list.
    """

    def __init__(self, store: Store, hosts: HostList) -> None:
        self._store = store
        self._hosts = hosts
        self._faults = FaultBoard(store)
        self._counters = Counters()

    def routes(self) -> list[Route]:
        """Return the routes of the protocol and of the test switches."""
        read, write = self._read, self._write
        return [
            Route("GET", "/v1/rows/{table}/{key}", read(self._get_row)),
            Route("GET", "/v1/rows/{table}", read(self._scan)),
            Route("POST", "/v1/transactions", write(self._commit)),
            Route("GET", "/v1/transactions/{id}", read(self._get_outcome)),
            Route("PUT", "/v1/objects/{name}", write(self._put_object)),
            Route("GET", "/v1/objects/{name}", read(self._get_object)),
            Route("DELETE", "/v1/objects/{name}", write(self._delete_object)),
            Route("GET", "/v1/hosts", read(self._get_hosts)),
            Route("POST", "/hosts", self._post_host),
            Route("POST", "/faults", self._post_fault),
            Route("GET", "/counters", self._get_counters),
        ]

    def _read(self, handler: Callable[[Request], Response]) -> Callable:
        return self._guarded(handler, "reads")

    def _write(self, handler: Callable[[Request], Response]) -> Callable:
        return self._guarded(handler, "writes")

    def _guarded(
        self, handler: Callable[[Request], Response], kind: str
    ) -> Callable[[Request], Response]:
        def guarded(req: Request) -> Response:
            modes = self._modes(req)
            if PlatformFaultMode.DOWN in modes:
                self._count(kind, req, Response(503))
                req.close()
                return Response(503)
            time.sleep(modes.get(PlatformFaultMode.SLOW, 0.0))
            response = _answer(handler, req)
            self._count(kind, req, response)
            if kind == "writes" and PlatformFaultMode.LOST_ANSWER in modes:
                req.close()
            return response

        return guarded

    def _count(self, kind: str, req: Request, response: Response) -> None:
        what = req.params.get("table") or req.path.split("/")[2]
        host = req.header("X-Host")
        self._counters.add(kind, host, what, req.n_bytes, response.n_bytes)

    def _modes(self, req: Request) -> dict[PlatformFaultMode, float]:
        found = self._faults.find(req.header("X-Host"), req.header("X-Zone"))
        return {s.fault.mode: s.fault.seconds for s in found}

    def _stale_table(self, req: Request) -> Table | None:
        for found in self._faults.find(req.header("X-Host"), req.header("X-Zone")):
            if found.fault.mode is PlatformFaultMode.STALE_READS:
                return found.tables.get(req.params["table"])
        return None

    def _get_row(self, req: Request) -> Response:
        table, key = req.params["table"], req.params["key"]
        stale = self._stale_table(req)
        row = self._store.get(table, key) if stale is None else stale.get(key)
        if row is None:
            raise BadInput(f"no row {key!r} in table {table!r}", 404)
        return Response.from_json(row)

    def _scan(self, req: Request) -> Response:
        prefix = req.query.get("prefix", "")
        after = req.query.get("after", "")
        limit = check_int(req.query.get("limit", str(DEFAULT_LIMIT)), "limit", 1)
        limit = min(limit, MAX_LIMIT)
        stale = self._stale_table(req)
        rows: list[Row]
        if stale is None:
            rows = self._store.scan(req.params["table"], prefix, after, limit)
        else:
            rows = stale.scan(prefix, after, limit)
        return Response.from_json({"rows": rows})

    def _commit(self, req: Request) -> Response:
        txn = decode_json(req.body, Transaction)
        places = {(write.table, write.key) for write in txn.writes}
        if len(places) != len(txn.writes):
            raise BadInput("writes: got a row twice, expected at most once")
        return _outcome_response(self._store.commit(txn))

    def _get_outcome(self, req: Request) -> Response:
        outcome = self._store.outcome(req.params["id"])
        if outcome is None:
            raise BadInput("no such transaction took effect", 404)
        body = {"committed": outcome.committed, "versions": outcome.versions}
        return Response.from_json(body)

    def _put_object(self, req: Request) -> Response:
        created = self._store.put_object(req.params["name"], req.body)
        if created is None:
            raise BadInput("the object exists with other bytes", 409)
        return Response(201 if created else 200)

    def _get_object(self, req: Request) -> Response:
        body = self._store.get_object(req.params["name"])
        if body is None:
            raise BadInput("no such object", 404)
        return Response(body=body, content_type="application/octet-stream")

    def _delete_object(self, req: Request) -> Response:
        self._store.delete_object(req.params["name"])
        return Response(204)

    def _get_hosts(self, _req: Request) -> Response:
        return Response.from_json({"hosts": self._hosts.visible()})

    def _post_host(self, req: Request) -> Response:
        self._hosts.put(decode_json(req.body, HostEntry))
        return Response(204)

    def _post_fault(self, req: Request) -> Response:
        self._faults.put(decode_json(req.body, PlatformFault))
        return Response(204)

    def _get_counters(self, _req: Request) -> Response:
        report = {**self._counters.report(), "sizes": self._store.sizes()}
        return Response.from_json(report)


def _answer(handler: Callable[[Request], Response], req: Request) -> Response:
    try:
        return handler(req)
    except BadInput as exc:
        return Response.from_problem(exc.status, exc.detail)


def _outcome_response(outcome: Outcome) -> Response:
    if outcome.committed:
        body = {"committed": True, "versions": outcome.versions}
        return Response.from_json(body)
    body = {"committed": False, "conflicts": outcome.conflicts}
    return Response.from_json(body, 409)

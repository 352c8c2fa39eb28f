"""The plain service's calls."""

import os
import time
from collections.abc import Iterator

import msgspec

from swifttide_standins.faults import Fault, FaultMode, FaultSwitch
from swifttide_standins.service._effects import Effects
from swifttide_standins.web import App, Request, Response, Route, decode_json

CRASH_STATUS = 70


def service_app(effects: Effects, seconds: float = 0.0) -> App:
    """Return the application of a plain service.

    Parameters
    ----------
    effects : Effects
        Where arrivals are counted.
    seconds : float
        Time that each call takes.
    """
    return App(ServiceCalls(effects, seconds).routes())


class ServiceCalls:
    """Handlers of one plain service."""

    def __init__(self, effects: Effects, seconds: float) -> None:
        self._effects = effects
        self._seconds = seconds
        self._faults = FaultSwitch()

    def routes(self) -> list[Route]:
        """Return the routes; every other ``POST`` is a call."""
        return [
            Route("POST", "/faults", self._post_fault),
            Route("GET", "/counters", self._get_counters),
            Route("POST", "/{path*}", self._call),
        ]

    def _call(self, req: Request) -> Response:
        request_id = req.header("X-Request-Id")
        key = req.header("Idempotency-Key") or request_id
        effect = self._effects.add(key, req.header("X-Customer"), dict(req.headers))
        content = req.body.decode("utf-8", errors="replace")
        fault = self._faults.take(req.conn_id, content)
        time.sleep(self._seconds)
        match fault.mode:
            case FaultMode.CRASH_ON:
                os._exit(CRASH_STATUS)
            case FaultMode.SLOW:
                time.sleep(fault.seconds)
            case FaultMode.HANG | FaultMode.SILENT:
                self._faults.hang(fault.seconds)
                req.close()
            case FaultMode.LOST_ANSWER:
                req.close()
            case FaultMode.CROSSED:
                request_id = f"other-{request_id}"
                effect = -1
        body = msgspec.json.encode({"path": req.params["path"], "effect": effect})
        headers = (("X-Request-Id", request_id),) if request_id else ()
        if fault.mode is FaultMode.CUT_HALF:
            return Response(headers=headers, stream=_cut(req, body), length=len(body))
        return Response(headers=headers, body=body)

    def _post_fault(self, req: Request) -> Response:
        self._faults.put(decode_json(req.body, Fault))
        return Response(204)

    def _get_counters(self, _req: Request) -> Response:
        return Response.from_json(self._effects.report())


def _cut(req: Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    req.close()

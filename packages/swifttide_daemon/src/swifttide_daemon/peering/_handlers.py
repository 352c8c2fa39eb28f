"""HTTP handlers of the peer port, which serves requests of other hosts."""

from collections.abc import Iterator
from typing import Any

import msgspec
from expression import Error, Ok, Result

from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.calls import Call, CallTable, encode_event
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits import (
    DrawRequest,
    HandoverRequest,
    ReturnRequest,
    ShareService,
    YieldRequest,
)
from swifttide_daemon.membership import MembershipService, OutageService, PromiseRequest
from swifttide_daemon.peering._heartbeat import Heartbeat
from swifttide_daemon.retention import (
    CacheReconciler,
    ExportedCache,
    Judgements,
    ListedPrograms,
)
from swifttide_daemon.store import Transaction
from swifttide_daemon.strikes import StrikeService, decode_strike
from swifttide_daemon.targets import (
    AcquireRequest,
    GrantClient,
    ReleaseRequest,
    RenewRequest,
    WithdrawRequest,
    not_holder,
)
from swifttide_daemon.web import Request, Response, Route

TARGET_REQUEST_TYPES = {
    "acquire": AcquireRequest,
    "release": ReleaseRequest,
    "renew": RenewRequest,
    "withdraw": WithdrawRequest,
}


class PeerHandlers:
    """Decodes requests of other hosts and passes them to the services of this host.

    A call is refused unless this host holds the slot of the call's program.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    heartbeat : Heartbeat
    table : CallTable
        Calls that run on this host.
    shares : ShareService
        Rate tokens of the customers.
    grants : GrantClient
        Queues of the targets.
    strikes : StrikeService
        Records of requests that crash their targets.
    caches : CacheReconciler
        Caches of programs at the targets.
    outages : OutageService
        Lease extensions while the platform is unavailable.
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        heartbeat: Heartbeat,
        table: CallTable,
        shares: ShareService,
        grants: GrantClient,
        strikes: StrikeService,
        caches: CacheReconciler,
        outages: OutageService,
    ) -> None:
        self.outages = outages
        self.membership = membership
        self.config = config
        self.heartbeat = heartbeat
        self.table = table
        self.shares = shares
        self.grants = grants
        self.strikes = strikes
        self.caches = caches

    def routes(self) -> list[Route]:
        """Return the routes of the peer port."""
        return [
            Route("POST", "/peer/v1/heartbeat", self.answer_heartbeat),
            Route("GET", "/peer/v1/config", self.config_changes),
            Route("POST", "/peer/v1/views", self.newer_views),
            Route("POST", "/peer/v1/promises", self.promise),
            Route("POST", "/peer/v1/relays", self.relay),
            Route("POST", "/peer/v1/calls", self.call),
            Route("POST", "/peer/v1/customers/{customer}/draw", self.draw),
            Route("POST", "/peer/v1/customers/{customer}/return", self.return_tokens),
            Route("POST", "/peer/v1/customers/{customer}/yield", self.yield_tokens),
            Route("POST", "/peer/v1/handovers", self.accept_handovers),
            Route("POST", "/peer/v1/targets/{target}/{verb}", self.target),
            Route("GET", "/peer/v1/fingerprints/{fingerprint}", self.refusal_status),
            Route(
                "POST", "/peer/v1/fingerprints/{fingerprint}/{verb}", self.record_result
            ),
            Route("POST", "/peer/v1/programs/judge", self.judge_programs),
            Route("POST", "/peer/v1/programs/exported", self.record_export),
        ]

    def answer_heartbeat(self, req: Request) -> Response:
        """Answer a heartbeat with the heartbeat message of this host."""
        return Response.from_json(self.heartbeat.message())

    def config_changes(self, req: Request) -> Response:
        """Return the configuration changes after the version given by ``after``."""
        after = req.param("after", "0")
        if not after.isdigit():
            return _bad_request("after: expected a whole number")
        # The version is read first. A change that is applied between the two reads
        # is then sent twice instead of being omitted.
        version = self.config.version
        changes = self.config.changes_after(int(after))
        return Response.from_json({"version": version, "changes": changes})

    def newer_views(self, req: Request) -> Response:
        """Return the views of zones that are newer than those of the asking host."""
        heads = _decode(req, dict[str, int])
        return _to_response(heads.map(self.membership.newer_views))

    def promise(self, req: Request) -> Response:
        """Promise not to depose a host that can't renew, or offer to relay for it."""
        message = _decode(req, PromiseRequest)
        return _to_response(message.map(self.outages.answer))

    def relay(self, req: Request) -> Response:
        """Commit a lease renewal for a host that can't reach the platform."""
        tx = _decode(req, Transaction)
        return _to_response(
            tx.map(lambda found: {"versions": self.outages.relay(found)})
        )

    def call(self, req: Request) -> Response:
        """Start a call, or attach to it if it is running, and stream its events."""
        call = _decode(req, Call)
        if call.is_error():
            return Response.from_refusal(call.error)
        key = call.ok.placement_key
        if self.membership.epoch(SlotKind.PROGRAM, key) is None:
            return Response.from_refusal(not_holder("program"))
        running = self.table.attach(call.ok, req.header("traceparent"))
        lines = _lines(running.follow(call.ok.from_event))
        return Response(200, lines, (("Content-Type", "application/x-ndjson"),))

    def draw(self, req: Request, customer: str) -> Response:
        """Lend rate tokens of a customer to an entry host."""
        message = _decode(req, DrawRequest)
        return _to_response(message.bind(lambda m: self.shares.draw(customer, m)))

    def return_tokens(self, req: Request, customer: str) -> Response:
        """Take back rate tokens that an entry host has returned."""
        message = _decode(req, ReturnRequest)
        if message.is_error():
            return Response.from_refusal(message.error)
        self.shares.return_batch(customer, message.ok)
        return Response.from_json({})

    def yield_tokens(self, req: Request, customer: str) -> Response:
        """Transfer a part of a customer's tokens to the holder in another zone."""
        message = _decode(req, YieldRequest)
        return _to_response(
            message.bind(lambda m: self.shares.answer_pull(customer, m))
        )

    def accept_handovers(self, req: Request) -> Response:
        """Accept token buckets from the previous holder of their slots."""
        message = _decode(req, list[HandoverRequest])
        if message.is_error():
            return Response.from_refusal(message.error)
        self.shares.receive_handovers(message.ok)
        return Response.from_json({})

    def target(self, req: Request, target: str, verb: str) -> Response:
        """Acquire, release, renew or withdraw places of calls at a target."""
        if verb not in TARGET_REQUEST_TYPES:
            return _bad_request(f"got unknown verb {verb!r}")
        message = _decode(req, TARGET_REQUEST_TYPES[verb])
        return _to_response(message.bind(lambda m: self.grants.answer(target, m)))

    def refusal_status(self, req: Request, fingerprint: str) -> Response:
        """Return whether requests with a fingerprint are refused, and for how long."""
        refusal = self.strikes.check_local(fingerprint)
        return Response.from_json(
            {
                "refused": refusal is not None,
                "refused_seconds": refusal.retry_after_seconds if refusal else 0.0,
            }
        )

    def record_result(self, req: Request, fingerprint: str, verb: str) -> Response:
        """Record that a request's target crashed, or that the request succeeded."""
        match verb:
            case "strike":
                raw = _decode(req, dict[str, Any])
                if raw.is_error():
                    return Response.from_refusal(raw.error)
                self.strikes.record_strike(decode_strike(raw.ok))
            case "ran":
                self.strikes.record_success(fingerprint)
            case _:
                return _bad_request(f"got unknown verb {verb!r}")
        return Response.from_json({})

    def judge_programs(self, req: Request) -> Response:
        """Return the known state of the programs that a target lists."""
        listed = _decode(req, ListedPrograms)
        if listed.is_error():
            return Response.from_refusal(listed.error)
        judgements = self.caches.judge.judge(listed.ok.programs)
        return Response.from_json(Judgements(judgements))

    def record_export(self, req: Request) -> Response:
        """Record where the holder of a target has moved a program's cache."""
        exported = _decode(req, ExportedCache)
        if exported.is_error():
            return Response.from_refusal(exported.error)
        self.caches.record_export(exported.ok)
        return Response.from_json({})


def _lines(events: Iterator[Any]) -> Iterator[bytes]:
    for event in events:
        yield encode_event(event)


def _decode(req: Request, of_type: Any) -> Result[Any, Refusal]:
    try:
        return Ok(msgspec.json.decode(req.body, type=of_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(
            Refusal(Reason.BAD_REQUEST, f"the message can't be decoded: {exc}")
        )


def _to_response(result: Result[Any, Refusal]) -> Response:
    if result.is_error():
        return Response.from_refusal(result.error)
    return Response.from_json(result.ok)


def _bad_request(detail: str) -> Response:
    return Response.from_refusal(Refusal(Reason.BAD_REQUEST, detail))

"""What other hosts can ask of this one."""

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
from swifttide_daemon.strikes import StrikeService, strike_of
from swifttide_daemon.targets import (
    AcquireRequest,
    GrantBook,
    ReleaseRequest,
    RenewRequest,
    WithdrawRequest,
    not_holder,
)
from swifttide_daemon.web import Request, Response, Route

TARGET_MESSAGES = {
    "acquire": AcquireRequest,
    "release": ReleaseRequest,
    "renew": RenewRequest,
    "withdraw": WithdrawRequest,
}


class PeerHandlers:
    """Answers on the peers' port.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    heartbeat : Heartbeat
    table : CallTable
    shares : ShareService
    grants : GrantBook
    strikes : StrikeService
    caches : CacheReconciler
    outages : OutageService
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        heartbeat: Heartbeat,
        table: CallTable,
        shares: ShareService,
        grants: GrantBook,
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
        """Return the routes of the peers' port."""
        return [
            Route("POST", "/peer/v1/heartbeat", self.beat),
            Route("GET", "/peer/v1/config", self.changes),
            Route("POST", "/peer/v1/promises", self.promise),
            Route("POST", "/peer/v1/relays", self.relay),
            Route("POST", "/peer/v1/calls", self.call),
            Route("POST", "/peer/v1/customers/{customer}/draw", self.draw),
            Route("POST", "/peer/v1/customers/{customer}/return", self.give_back),
            Route("POST", "/peer/v1/customers/{customer}/yield", self.yield_to),
            Route("POST", "/peer/v1/handovers", self.receive),
            Route("POST", "/peer/v1/targets/{target}/{verb}", self.target),
            Route("GET", "/peer/v1/fingerprints/{fingerprint}", self.standing),
            Route("POST", "/peer/v1/fingerprints/{fingerprint}/{verb}", self.strike),
            Route("POST", "/peer/v1/programs/judge", self.judge_programs),
            Route("POST", "/peer/v1/programs/exported", self.exported),
        ]

    def beat(self, req: Request) -> Response:
        """Answer a heartbeat with one's own."""
        return Response.from_json(self.heartbeat.message())

    def changes(self, req: Request) -> Response:
        """Answer with the configuration's log after a version."""
        after = req.param("after", "0")
        if not after.isdigit():
            return _bad("after: expected a whole number")
        # The version first: a change that comes between the two is sent twice, never
        # left out.
        version = self.config.version
        changes = self.config.changes_after(int(after))
        return Response.from_json({"version": version, "changes": changes})

    def promise(self, req: Request) -> Response:
        """Let a lease stand that can't be renewed, or offer to relay."""
        message = _decode(req, PromiseRequest)
        return _answer(message.map(self.outages.answer))

    def relay(self, req: Request) -> Response:
        """Renew a lease for a host that doesn't see the platform."""
        tx = _decode(req, Transaction)
        return _answer(tx.map(lambda found: {"versions": self.outages.relay(found)}))

    def call(self, req: Request) -> Response:
        """Run a call, or attach to it, and stream its events."""
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
        """Lend rate tokens."""
        message = _decode(req, DrawRequest)
        return _answer(message.bind(lambda m: self.shares.draw(customer, m)))

    def give_back(self, req: Request, customer: str) -> Response:
        """Take rate tokens back."""
        message = _decode(req, ReturnRequest)
        if message.is_error():
            return Response.from_refusal(message.error)
        self.shares.give_back(customer, message.ok)
        return Response.from_json({})

    def yield_to(self, req: Request, customer: str) -> Response:
        """Give another zone's holder a part of a customer's tokens."""
        message = _decode(req, YieldRequest)
        return _answer(message.bind(lambda m: self.shares.yield_to(customer, m)))

    def receive(self, req: Request) -> Response:
        """Take over buckets from the former holder of their slots."""
        message = _decode(req, list[HandoverRequest])
        if message.is_error():
            return Response.from_refusal(message.error)
        self.shares.receive(message.ok)
        return Response.from_json({})

    def target(self, req: Request, target: str, verb: str) -> Response:
        """Queue, release, renew or withdraw calls at a target."""
        if verb not in TARGET_MESSAGES:
            return _bad(f"got verb {verb!r}")
        message = _decode(req, TARGET_MESSAGES[verb])
        return _answer(message.bind(lambda m: self.grants.answer(target, m)))

    def standing(self, req: Request, fingerprint: str) -> Response:
        """Say whether a request is put aside."""
        refusal = self.strikes.standing(fingerprint)
        return Response.from_json(
            {
                "refused": refusal is not None,
                "refused_seconds": refusal.retry_after_seconds if refusal else 0.0,
            }
        )

    def strike(self, req: Request, fingerprint: str, verb: str) -> Response:
        """Note that a request's target died, or that the request ran."""
        match verb:
            case "strike":
                raw = _decode(req, dict[str, Any])
                if raw.is_error():
                    return Response.from_refusal(raw.error)
                self.strikes.note(strike_of(raw.ok))
            case "ran":
                self.strikes.note_ran(fingerprint)
            case _:
                return _bad(f"got verb {verb!r}")
        return Response.from_json({})

    def judge_programs(self, req: Request) -> Response:
        """Say which of the programs that a target lists are gone or pause."""
        listed = _decode(req, ListedPrograms)
        if listed.is_error():
            return Response.from_refusal(listed.error)
        judgements = self.caches.judge.judge(listed.ok.programs)
        return Response.from_json(Judgements(judgements))

    def exported(self, req: Request) -> Response:
        """Note that a target's holder has moved a program's cache."""
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
        return Error(Refusal(Reason.BAD_REQUEST, f"the message: {exc}"))


def _answer(result: Result[Any, Refusal]) -> Response:
    if result.is_error():
        return Response.from_refusal(result.error)
    return Response.from_json(result.ok)


def _bad(detail: str) -> Response:
    return Response.from_refusal(Refusal(Reason.BAD_REQUEST, detail))

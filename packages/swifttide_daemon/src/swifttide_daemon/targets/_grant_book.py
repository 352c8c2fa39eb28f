"""Admission at targets, wherever their queues are kept."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec
from expression import Error, Ok, Result

from swifttide_core.admission import Outcome
from swifttide_core.documents import Target
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.targets._messages import (
    AcquireAnswer,
    AcquireRequest,
    ReleaseRequest,
    RenewRequest,
    WithdrawRequest,
)
from swifttide_daemon.targets._queue_service import QueueService

RENEW_SECONDS = 5.0
"""A third of a grant's life: two renewals may be lost."""

POLL_SECONDS = 2.0
"""How long a holder may hold an answer back: a connection that has gone silent is
noticed after this time, and the call asks again under the same id."""

HOLDER_PAUSE_SECONDS = 0.2
RELEASE_THREADS = 4
OWN_ZONE_PATIENCE_SECONDS = 15.0
OTHER_ZONE_PATIENCE_SECONDS = 2.0


class GrantBook:
    """Asks for admission, releases it, and renews what is held.

    Parameters
    ----------
    membership : MembershipService
    queues : QueueService
        For targets whose queue is kept here.
    peers : PeerClient
        For the others.
    """

    def __init__(
        self, membership: MembershipService, queues: QueueService, peers: PeerClient
    ) -> None:
        self.membership = membership
        self.queues = queues
        self.peers = peers
        self._grants: dict[str, tuple[Target, AcquireRequest]] = {}
        self._lock = threading.Lock()
        self._releases = ThreadPoolExecutor(RELEASE_THREADS, "release")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Renew grants from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing; releases that are on their way are sent."""
        self._stop.set()
        self._releases.shutdown(wait=True)

    def acquire(
        self, target: Target, req: AcquireRequest
    ) -> Result[AcquireAnswer, Refusal]:
        """Ask once; the answer may be "still queued"."""
        answer = self._ask(target, "acquire", req)
        if answer.is_error():
            return answer
        found = answer.ok
        if found.admitted:
            with self._lock:
                self._grants[req.ticket_id] = (target, req)
        return Ok(found)

    def wait(
        self, target: Target, req: AcquireRequest, deadline: float
    ) -> Result[AcquireAnswer, Refusal]:
        """Ask until admitted or refused.

        A queue that is on its way to another holder refuses nobody: the call asks
        again until its deadline.
        """
        unanswered_until = min(deadline, time.monotonic() + self._patience(target))
        while time.monotonic() < deadline:
            answer = self.acquire(target, req)
            if answer.is_ok() and (answer.ok.admitted or answer.ok.refusal):
                return answer
            if answer.is_error():
                late = time.monotonic() >= unanswered_until
                if late or answer.error.reason is Reason.NO_TARGET:
                    return answer
                self.membership.invalidate_views()
                time.sleep(HOLDER_PAUSE_SECONDS)
        self.withdraw(target, req.ticket_id)
        return Error(
            Refusal(
                Reason.DEADLINE,
                "the call's time ran out before a target was free",
                retry_after_seconds=1.0,
            )
        )

    def _patience(self, target: Target) -> float:
        """Return how long a queue without a holder is waited for.

        In the own zone a takeover ends it; another zone may be cut off for long, and
        there are other targets.
        """
        own = target.zone == self.membership.me.zone
        return OWN_ZONE_PATIENCE_SECONDS if own else OTHER_ZONE_PATIENCE_SECONDS

    def release(
        self,
        target: Target,
        ticket_id: str,
        outcome: Outcome,
        on_answer: Callable[[AcquireAnswer], None],
    ) -> None:
        """End a grant, off the path of the call that is over.

        If the message is lost the grant expires.
        """
        with self._lock:
            self._grants.pop(ticket_id, None)
        self._releases.submit(self._release, target, ticket_id, outcome, on_answer)

    def _release(
        self,
        target: Target,
        ticket_id: str,
        outcome: Outcome,
        on_answer: Callable[[AcquireAnswer], None],
    ) -> None:
        answer = self._ask(target, "release", ReleaseRequest(ticket_id, outcome))
        if answer.is_ok():
            on_answer(answer.ok)

    def withdraw(self, target: Target, ticket_id: str) -> None:
        """Give up a place in a queue."""
        self._ask(target, "withdraw", WithdrawRequest(ticket_id))

    def _ask(
        self,
        target: Target,
        verb: str,
        message: AcquireRequest | ReleaseRequest | RenewRequest | WithdrawRequest,
    ) -> Result[AcquireAnswer, Refusal]:
        holder = self.membership.holder(SlotKind.TARGET, target.name, target.zone)
        if holder is None:
            return Error(
                Refusal(Reason.NOT_HOLDER, "nobody holds the target's queue yet")
            )
        if holder.host == self.membership.me.host:
            return self.answer(target.name, message)
        wait = message.wait_seconds if isinstance(message, AcquireRequest) else 0.0
        answer = self.peers.call(
            holder.peer_url,
            "POST",
            f"/peer/v1/targets/{target.name}/{verb}",
            message,
            read_seconds=wait + self.peers.read_seconds,
        )
        return answer.map(lambda found: msgspec.convert(found, AcquireAnswer))

    def answer(
        self,
        name: str,
        message: AcquireRequest | ReleaseRequest | RenewRequest | WithdrawRequest,
    ) -> Result[AcquireAnswer, Refusal]:
        """Answer a host, or oneself, for a target whose queue is kept here."""
        keeper = self.queues.keeper(name)
        if keeper.is_error():
            return keeper
        match message:
            case AcquireRequest():
                return Ok(keeper.ok.acquire(message))
            case ReleaseRequest():
                return Ok(keeper.ok.release(message))
            case RenewRequest(calls):
                keeper.ok.renew(calls)
            case WithdrawRequest(ticket_id):
                keeper.ok.withdraw(ticket_id)
        return Ok(AcquireAnswer(False))

    def _run(self) -> None:
        while not self._stop.wait(RENEW_SECONDS):
            with self._lock:
                grants = list(self._grants.values())
            by_target: dict[Target, list[AcquireRequest]] = {}
            for target, call in grants:
                by_target.setdefault(target, []).append(call)
            for target, calls in by_target.items():
                self._ask(target, "renew", RenewRequest(tuple(calls)))

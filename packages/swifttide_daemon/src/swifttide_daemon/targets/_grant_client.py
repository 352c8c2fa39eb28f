"""Admission of calls to targets, by the hosts that keep their queues.

A call is offered to its target's queue and polled until it is admitted or refused, or
its deadline passes. Grants of admitted calls are renewed every `RENEW_INTERVAL_SECONDS`
and released when the calls end. While a queue has no reachable holder, for example
during a takeover, calls wait for a limited time instead of being refused. They don't
wait long without the platform, since no host can take over the queue then.
"""

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

RENEW_INTERVAL_SECONDS = 5.0
"""A third of the lease of a grant, so that two renewals in a row can be lost."""

MAX_POLL_SECONDS = 2.0
"""Longest time for which the holder may delay the answer of a queued call. A dead
connection is noticed after about this time; the call then asks again with the same
id."""

HOLDER_RETRY_SECONDS = 0.2
NO_QUEUE_RETRY_SECONDS = 1.0
N_RELEASE_THREADS = 4
OWN_ZONE_HOLDER_TIMEOUT_SECONDS = 15.0
OTHER_ZONE_HOLDER_TIMEOUT_SECONDS = 2.0


class GrantClient:
    """Acquires, renews and releases grants of targets.

    Parameters
    ----------
    membership : MembershipService
    queues : QueueService
        Queues of the targets whose slots this host holds.
    peers : PeerClient
        Connections to the holders of all other queues.
    """

    def __init__(
        self, membership: MembershipService, queues: QueueService, peers: PeerClient
    ) -> None:
        self.membership = membership
        self.queues = queues
        self.peers = peers
        self._grants: dict[str, tuple[Target, AcquireRequest]] = {}
        self._lock = threading.Lock()
        self._release_pool = ThreadPoolExecutor(N_RELEASE_THREADS, "release")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._renew_grants, daemon=True)

    def start(self) -> None:
        """Start the thread that renews grants."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing grants, and wait until pending releases are sent."""
        self._stop.set()
        self._release_pool.shutdown(wait=True)

    def acquire(
        self, target: Target, req: AcquireRequest
    ) -> Result[AcquireAnswer, Refusal]:
        """Ask once for admission; the call may still be queued afterwards."""
        answer = self._send(target, "acquire", req)
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
        """Ask until the call is admitted or refused, or its deadline passes.

        While the queue moves to another holder, nobody can admit the call; it asks
        again for a limited time, longer in the own zone than in others.
        """
        reached_at = time.monotonic()
        while time.monotonic() < deadline:
            answer = self.acquire(target, req)
            if answer.is_ok() and (answer.ok.admitted or answer.ok.refusal):
                return answer
            if answer.is_ok():
                reached_at = time.monotonic()
            else:
                if answer.error.reason is Reason.NO_TARGET:
                    return answer
                seconds = self._holder_timeout_seconds(target)
                if time.monotonic() >= reached_at + seconds:
                    self.withdraw(target, req.ticket_id)
                    return Error(_without_queue(answer.error))
                self.membership.invalidate_views()
                time.sleep(HOLDER_RETRY_SECONDS)
        self.withdraw(target, req.ticket_id)
        return Error(
            Refusal(
                Reason.DEADLINE,
                "the deadline of the call passed before a target was free",
                retry_after_seconds=1.0,
            )
        )

    def _holder_timeout_seconds(self, target: Target) -> float:
        """Return the time in seconds to wait for the holder of a queue.

        In the own zone, another host takes the queue over soon, unless the platform is
        unavailable. Another zone may be disconnected for long, and other targets can be
        tried.
        """
        is_own = target.zone == self.membership.me.zone
        if is_own and self.membership.platform.available:
            return OWN_ZONE_HOLDER_TIMEOUT_SECONDS
        return OTHER_ZONE_HOLDER_TIMEOUT_SECONDS

    def release(
        self,
        target: Target,
        ticket_id: str,
        outcome: Outcome,
        on_answer: Callable[[AcquireAnswer], None],
    ) -> None:
        """Release a grant in the background, so that the answer is not delayed.

        If the message is lost, the grant expires.
        """
        with self._lock:
            self._grants.pop(ticket_id, None)
        self._release_pool.submit(self._release, target, ticket_id, outcome, on_answer)

    def _release(
        self,
        target: Target,
        ticket_id: str,
        outcome: Outcome,
        on_answer: Callable[[AcquireAnswer], None],
    ) -> None:
        answer = self._send(target, "release", ReleaseRequest(ticket_id, outcome))
        if answer.is_ok():
            on_answer(answer.ok)

    def withdraw(self, target: Target, ticket_id: str) -> None:
        """Remove a queued call from its queue."""
        self._send(target, "withdraw", WithdrawRequest(ticket_id))

    def _send(
        self,
        target: Target,
        verb: str,
        message: AcquireRequest | ReleaseRequest | RenewRequest | WithdrawRequest,
    ) -> Result[AcquireAnswer, Refusal]:
        holder = self.membership.holder(SlotKind.TARGET, target.name, target.zone)
        if holder is None:
            return Error(
                Refusal(Reason.NOT_HOLDER, "no host holds the queue of the target yet")
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
        """Answer a request of any host for a queue that this host keeps."""
        manager = self.queues.manager(name)
        if manager.is_error():
            return manager
        match message:
            case AcquireRequest():
                return Ok(manager.ok.acquire(message))
            case ReleaseRequest():
                return Ok(manager.ok.release(message))
            case RenewRequest(calls):
                manager.ok.renew(calls)
            case WithdrawRequest(ticket_id):
                manager.ok.withdraw(ticket_id)
        return Ok(AcquireAnswer(False))

    def _renew_grants(self) -> None:
        while not self._stop.wait(RENEW_INTERVAL_SECONDS):
            with self._lock:
                grants = list(self._grants.values())
            by_target: dict[Target, list[AcquireRequest]] = {}
            for target, call in grants:
                by_target.setdefault(target, []).append(call)
            for target, calls in by_target.items():
                self._send(target, "renew", RenewRequest(tuple(calls)))


def _without_queue(refusal: Refusal) -> Refusal:
    """Return the refusal of a call whose target has no holder of its queue.

    ``not_holder`` would tell the entry host that the holder of the call's program has
    changed, and the call would be sent there again.
    """
    if refusal.reason is not Reason.NOT_HOLDER:
        return refusal
    return Refusal(
        Reason.NO_TARGET,
        "no host holds the queue of the target",
        retry_after_seconds=NO_QUEUE_RETRY_SECONDS,
    )

"""Keeps a zone's leases while the platform is away, by promises of all its hosts."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from swifttide_core.membership import (
    ExtensionRound,
    ExtensionTimes,
    HostRow,
    PlatformSeen,
    Promise,
    PromiseState,
)
from swifttide_daemon.membership._lease_keeper import LeaseKeeper
from swifttide_daemon.membership._rows import HOSTS
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.store import Committed, PlatformClient, Transaction

PROMISE_TIMEOUT_SECONDS = 0.8
"""A host that doesn't answer within this doesn't promise in this round."""

MAX_CONCURRENT_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """A host that can't renew asks the others to let its lease stand."""

    host: str
    seconds: float


@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """Exactly one of the two is set."""

    promise: Promise | None = None
    seen: PlatformSeen | None = None


class OutageService:
    """Asks for promises and gives them.

    Parameters
    ----------
    keeper : LeaseKeeper
        Lease of this host.
    platform : PlatformClient
    peers : PeerClient
    times : ExtensionTimes
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        platform: PlatformClient,
        peers: PeerClient,
        times: ExtensionTimes,
    ) -> None:
        self.keeper = keeper
        self.platform = platform
        self.peers = peers
        self.times = times
        self._promise_state = PromiseState(keeper.row.host)
        self._lock = threading.Lock()

    def may_depose(self) -> bool:
        """Return whether this host may depose hosts and claim slots now."""
        with self._lock:
            return self._promise_state.may_depose(time.monotonic())

    def answer(self, req: PromiseRequest) -> PromiseAnswer:
        """Promise to depose and claim nothing, or say that the platform is there."""
        seconds = min(req.seconds, self.times.promise_seconds)
        with self._lock:
            self._promise_state, answer = self._promise_state.answer(
                time.monotonic(), seconds, not self.platform.failing
            )
        match answer:
            case Promise():
                return PromiseAnswer(promise=answer)
            case PlatformSeen():
                return PromiseAnswer(seen=answer)

    def relay(self, tx: Transaction) -> tuple[int, ...]:
        """Commit a renewal for a host that doesn't see the platform.

        Returns
        -------
        tuple of int
            Versions of the rows; empty when it isn't known to have taken effect.
        """
        if any(write.table != HOSTS for write in tx.writes):
            return ()
        outcome = self.platform.commit(tx, tries=1)
        if outcome.is_ok() and isinstance(outcome.ok, Committed):
            return outcome.ok.versions
        return ()

    def extend(self, others: list[HostRow]) -> None:
        """Ask all other hosts of the zone to let this host's lease stand."""
        now = time.monotonic()
        asked = ExtensionRound.from_hosts(now, (r.host for r in others), self.times)
        urls = {row.host: row.peer_url for row in others}
        for answer in self._request_promises(list(urls.values())):
            found = answer.promise or answer.seen
            if found is not None:
                asked = asked.with_answer(found)
        for host in sorted(asked.relay_hosts):
            if self._renew_via_peer(urls[host]):
                return
        self.keeper.extend(asked, self.times)

    def _request_promises(self, urls: list[str]) -> list[PromiseAnswer]:
        if not urls:
            return []
        with ThreadPoolExecutor(min(MAX_CONCURRENT_REQUESTS, len(urls))) as pool:
            answers = list(pool.map(self._request_promise, urls))
        return [answer for answer in answers if answer is not None]

    def _request_promise(self, url: str) -> PromiseAnswer | None:
        message = PromiseRequest(self.keeper.row.host, self.times.promise_seconds)
        answer = self.peers.call(
            url,
            "POST",
            "/peer/v1/promises",
            message,
            read_seconds=PROMISE_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            return None
        return msgspec.convert(answer.ok, PromiseAnswer)

    def _renew_via_peer(self, url: str) -> bool:
        sent_at = time.monotonic()
        tx = self.keeper.renewal()
        answer = self.peers.call(url, "POST", "/peer/v1/relays", tx)
        relayed = answer.is_ok() and answer.ok["versions"]
        if relayed:
            self.keeper.record_relayed_renewal(sent_at, answer.ok["versions"][0])
        return bool(relayed)

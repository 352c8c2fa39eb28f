"""Extends this host's lease while the platform is unavailable.

A host that can't renew its lease asks all other hosts of its zone to promise that
they depose no host and claim no slot for some time. While every host promises, the
lease may be extended without the platform. If one of them still reaches the platform,
the host renews through it instead.
"""

import logging
import random
import threading
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
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.membership._lease_keeper import LeaseKeeper
from swifttide_daemon.membership._rows import HOSTS
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.store import Committed, PlatformClient, Transaction

log = logging.getLogger(__name__)

PROMISE_TIMEOUT_SECONDS = 0.8
"""Read timeout of a promise request; a late answer counts as no promise."""

MAX_CONCURRENT_REQUESTS = 16
MAX_RELAY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Request of a host that can't renew its lease, sent to the others of its zone.

    Parameters
    ----------
    host : str
        Id of the requesting host.
    seconds : float
        Requested duration of the promise.
    """

    host: str
    seconds: float


@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """Answer to a `PromiseRequest`; exactly one of the two fields is set.

    Parameters
    ----------
    promise : Promise or None
        Set when the answering host can't reach the platform either.
    seen : PlatformSeen or None
        Set when the answering host reaches the platform.
    """

    promise: Promise | None = None
    seen: PlatformSeen | None = None


class OutageService:
    """Requests promises for this host's lease and answers requests of other hosts.

    Parameters
    ----------
    keeper : LeaseKeeper
        Lease of this host.
    platform : PlatformClient
    peers : PeerClient
        Sends the requests to the other hosts.
    times : ExtensionTimes
        Durations of promises and lease extensions.
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
        """Return whether no promise keeps this host from deposing and claiming now."""
        with self._lock:
            return self._promise_state.may_depose(elapsed_seconds())

    def answer(self, req: PromiseRequest) -> PromiseAnswer:
        """Promise to depose no host and claim no slot, or report a reachable platform.

        The promise lasts `req.seconds`, limited to the configured promise duration.
        """
        seconds = min(req.seconds, self.times.promise_seconds)
        sees_platform = not (self.platform.failing or self.platform.stalled)
        with self._lock:
            self._promise_state, answer = self._promise_state.answer(
                elapsed_seconds(), seconds, sees_platform
            )
        match answer:
            case Promise():
                return PromiseAnswer(promise=answer)
            case PlatformSeen():
                return PromiseAnswer(seen=answer)

    def relay(self, tx: Transaction) -> tuple[int, ...]:
        """Commit a lease renewal for a host that can't reach the platform.

        Transactions that write to tables other than ``hosts`` are rejected.

        Returns
        -------
        tuple of int
            Versions of the written rows; empty if the transaction was rejected or isn't
            known to have been committed.
        """
        if any(write.table != HOSTS for write in tx.writes):
            return ()
        outcome = self.platform.commit(tx, tries=1)
        if outcome.is_ok() and isinstance(outcome.ok, Committed):
            return outcome.ok.versions
        return ()

    def extend(self, others: list[HostRow]) -> bool:
        """Extend this host's lease by promises, or renew it through another host.

        Only one host is asked to relay a renewal. It may not have noticed yet that the
        platform doesn't answer it either.

        Parameters
        ----------
        others : list of HostRow
            All other hosts of the zone that aren't dead.

        Returns
        -------
        bool
            Whether the lease was extended or renewed.
        """
        now = elapsed_seconds()
        asked = ExtensionRound.from_hosts(now, (r.host for r in others), self.times)
        urls = {row.host: row.peer_url for row in others}
        for answer in self._request_promises(list(urls.values())):
            found = answer.promise or answer.seen
            if found is not None:
                asked = asked.with_answer(found)
        if asked.relay_hosts:
            relay_host = random.choice(sorted(asked.relay_hosts))
            if self._renew_via_peer(urls[relay_host]):
                return True
        self.keeper.extend(asked, self.times)
        if not asked.is_unanimous:
            silent = sorted(asked.asked - asked.promised)
            log.info("lease not extended", extra={"without_promise": silent})
        return asked.is_unanimous

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
        sent_at = elapsed_seconds()
        tx = self.keeper.renewal()
        # A relay that doesn't answer must leave time for another round of promises.
        remaining = self.keeper.lease.remaining_seconds(sent_at)
        seconds = min(MAX_RELAY_SECONDS, remaining / 3)
        answer = self.peers.call(
            url, "POST", "/peer/v1/relays", tx, read_seconds=seconds
        )
        relayed = answer.is_ok() and answer.ok["versions"]
        if relayed:
            self.keeper.record_relayed_renewal(sent_at, answer.ok["versions"][0])
        return bool(relayed)

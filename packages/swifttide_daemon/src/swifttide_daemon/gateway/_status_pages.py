"""Readiness and metrics pages of a host."""

import asyncio
from collections.abc import Callable

from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._status_server import NOT_READY, OK, StatusPage
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffers
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._isolation import IsolationDetector
from swifttide_daemon.gateway.rates._rate_limiter import RateLimiter
from swifttide_daemon.gateway.rates._share_allocator import ShareAllocator
from swifttide_daemon.gateway.store._relayed_store import RelayedStore

MAX_SHARE_WAIT_SECONDS = 4.0
"""Maximum time for which a new host is not ready because it does not know yet which
hosts hold shares of the customers' rate limits."""


class StatusPages:
    """Computes the readiness of the host and exports metrics of its current state.

    Parameters
    ----------
    beliefs : Beliefs
    fleet : Fleet
    store : RelayedStore
    isolation : IsolationDetector
    rates : RateLimiter
    shares : ShareAllocator
    entry : ProgramEntry
    lender : TokenLender
    buffers : AnswerBuffers
    metrics : GatewayMetrics
    may_reuse_connections : callable
        Returns whether callers may send further requests on their connections.

    Attributes
    ----------
    started_at : float
        Event loop time at which the host started to serve.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        fleet: Fleet,
        store: RelayedStore,
        isolation: IsolationDetector,
        rates: RateLimiter,
        shares: ShareAllocator,
        entry: ProgramEntry,
        lender: TokenLender,
        buffers: AnswerBuffers,
        metrics: GatewayMetrics,
        may_reuse_connections: Callable[[], bool],
    ):
        self._beliefs = beliefs
        self._fleet = fleet
        self._store = store
        self._isolation = isolation
        self._rates = rates
        self._shares = shares
        self._entry = entry
        self._lender = lender
        self._buffers = buffers
        self._metrics = metrics
        self._may_reuse_connections = may_reuse_connections
        self.started_at = float("inf")

    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections.

        A host that does not know which hosts hold shares of the customers' rate limits
        would refuse requests that other hosts could serve. It is not ready until it
        knows them, but for `MAX_SHARE_WAIT_SECONDS` at most.
        """
        waited = asyncio.get_running_loop().time() - self.started_at
        has_rates = bool(self._shares.holders()) or waited > MAX_SHARE_WAIT_SECONDS
        return self._beliefs.is_complete and has_rates and self._may_reuse_connections()

    def ready(self) -> StatusPage:
        """Return the page for the load balancer's readiness probe."""
        return OK if self.is_ready() else NOT_READY

    def metrics(self) -> StatusPage:
        """Return the page with all metrics, after updating the gauges."""
        set_belief = self._metrics.set_belief
        cfg = self._beliefs.config
        set_belief("config_version", cfg.version if cfg else 0)
        set_belief("targets", len(self._beliefs.targets))
        set_belief("emptied_zones", len(self._beliefs.emptied_zones))
        set_belief("peers_heard", len(self._fleet.alive()))
        set_belief("rate_share", self._rates.share)
        set_belief("program_share", self._entry.min_admitted_fraction())
        set_belief("store_up", float(self._store.is_known_up))
        set_belief("slots_lending", len(self._lender.lending_slots()))
        set_belief("held_bytes", self._buffers.held_bytes)
        set_belief("isolated", float(self._isolation.active))
        body, content_type = self._metrics.render()
        return StatusPage(OK.status, body, content_type)

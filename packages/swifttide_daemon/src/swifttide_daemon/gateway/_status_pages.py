"""What a host tells the balancer and whoever reads its metrics."""

import asyncio
from collections.abc import Callable

from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._status_server import NOT_READY, OK, StatusPage
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._isolation import IsolationDetector
from swifttide_daemon.gateway.rates._rate_keeper import RateKeeper
from swifttide_daemon.gateway.rates._share_keeper import ShareKeeper
from swifttide_daemon.gateway.store._relayed_store import RelayedStore

MAX_SHARE_WAIT_SECONDS = 4.0
"""Longest time that a new host waits to learn who holds the customers' rates."""


class StatusPages:
    """Answers whether the host is ready, and shows what it believes.

    Parameters
    ----------
    beliefs : Beliefs
    fleet : Fleet
    store : RelayedStore
    isolation : IsolationDetector
    rates : RateKeeper
    shares : ShareKeeper
    entry : ProgramEntry
    lender : TokenLender
    metrics : GatewayMetrics
    may_reuse_connections : callable
        Whether callers may use their connections again.

    Attributes
    ----------
    started_at : float
        When the host started to serve.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        fleet: Fleet,
        store: RelayedStore,
        isolation: IsolationDetector,
        rates: RateKeeper,
        shares: ShareKeeper,
        entry: ProgramEntry,
        lender: TokenLender,
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
        self._metrics = metrics
        self._may_reuse_connections = may_reuse_connections
        self.started_at = float("inf")

    def is_ready(self) -> bool:
        """Whether new connections are welcome.

        A host that doesn't know who holds the customers' rates would refuse what the
        others could serve; it waits for that, but not for long.
        """
        waited = asyncio.get_running_loop().time() - self.started_at
        has_rates = bool(self._shares.holders()) or waited > MAX_SHARE_WAIT_SECONDS
        return self._beliefs.is_complete and has_rates and self._may_reuse_connections()

    def ready(self) -> StatusPage:
        """Answer the balancer."""
        return OK if self.is_ready() else NOT_READY

    def metrics(self) -> StatusPage:
        """Show counters, latencies and beliefs."""
        set_belief = self._metrics.set_belief
        cfg = self._beliefs.config
        set_belief("config_version", cfg.version if cfg else 0)
        set_belief("targets", len(self._beliefs.targets))
        set_belief("emptied_zones", len(self._beliefs.emptied_zones))
        set_belief("peers_heard", len(self._fleet.alive()))
        set_belief("rate_share", self._rates.share)
        set_belief("program_share", self._entry.least_share())
        set_belief("store_up", float(self._store.direct_up))
        set_belief("slots_lending", len(self._lender.slots()))
        set_belief("isolated", float(self._isolation.active))
        body, content_type = self._metrics.render()
        return StatusPage(OK.status, body, content_type)

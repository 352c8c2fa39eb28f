"""Handlers of the health, readiness and metrics endpoints."""

from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry import (
    Gate,
    GateState,
)
from swifttide_daemon.membership import LeaseKeeper, MembershipService
from swifttide_daemon.retention import CacheReconciler
from swifttide_daemon.targets import (
    QueueService,
)
from swifttide_daemon.telemetry import Metrics
from swifttide_daemon.web import Request, Response


class Health:
    """Handlers that report the state of this host to load balancers and monitoring.

    Parameters
    ----------
    gate : Gate
    config : ConfigService
    keeper : LeaseKeeper
    membership : MembershipService
    queues : QueueService
    caches : CacheReconciler
    metrics : Metrics
    """

    def __init__(
        self,
        gate: Gate,
        config: ConfigService,
        keeper: LeaseKeeper,
        membership: MembershipService,
        queues: QueueService,
        caches: CacheReconciler,
        metrics: Metrics,
    ) -> None:
        self.gate = gate
        self.config = config
        self.keeper = keeper
        self.membership = membership
        self.queues = queues
        self.caches = caches
        self.host_metrics = metrics

    def alive(self, req: Request) -> Response:
        """Answer ``/healthz`` with status 200 whenever the process can answer."""
        return Response.from_json({"state": self.gate.state})

    def ready(self, req: Request) -> Response:
        """Answer ``/readyz`` with 200 if the host accepts new requests, else 503.

        A host with a stale configuration would refuse every key of a customer.
        """
        ready = (
            self.gate.state is GateState.OPEN
            and self.membership.has_holders()
            and not self.config.is_stale()
        )
        state = {
            "ready": ready,
            "state": self.gate.state,
            "config_version": self.config.version,
        }
        return Response.from_json(state, 200 if ready else 503)

    def metrics(self, req: Request) -> Response:
        """Set the gauges of this host and answer ``/metrics``."""
        metrics = self.host_metrics
        holds = self.keeper.holds()
        metrics.set_lease("held" if holds else "lapsed")
        metrics.set_config_version(self.config.version)
        metrics.set_slots_held(len(self.membership.held()))
        for target, length in self.queues.queue_lengths().items():
            metrics.set_queue(target, length)
        for target, n_bytes in self.caches.held_bytes.items():
            metrics.set_cache_held(target, n_bytes)
        body, content_type = metrics.render()
        return Response(200, body, (("Content-Type", content_type),))

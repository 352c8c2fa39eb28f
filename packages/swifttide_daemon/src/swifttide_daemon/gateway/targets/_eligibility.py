"""Targets and rate limits that a request to the scheduler may use at the moment."""

from swifttide_core.admission import SchedulerStanding
from swifttide_core.scheduling import Eligible, PlacementRequest, ProgramRequest
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.targets._scheduler_client import scheduling_name
from swifttide_daemon.gateway.targets._target_health import TargetHealth

SETTLE_SECONDS = 1.5
"""Time after which a new scheduler's host uses the full rate limit. By then the turns
that its predecessor placed are older than the second over which requests are counted,
and hosts that skipped it ask it again."""


class Eligibility:
    """Finds the targets in service and their rate limits.

    Parameters
    ----------
    fleet : Fleet
    choice : KeeperChoice
    beliefs : Beliefs
    health : TargetHealth
    """

    def __init__(
        self,
        fleet: Fleet,
        choice: KeeperChoice,
        beliefs: Beliefs,
        health: TargetHealth,
    ):
        self._fleet = fleet
        self._choice = choice
        self._beliefs = beliefs
        self._health = health

    def find(
        self,
        service: str,
        request: ProgramRequest | PlacementRequest,
        scheduling_since: float,
    ) -> Eligible:
        """Return what a request may use.

        Parameters
        ----------
        service : str
        request : ProgramRequest or PlacementRequest
        scheduling_since : float
            Time of `elapsed_seconds` since which this host schedules the service.
        """
        targets = self._beliefs.targets_of(service, request.regions)
        targets = [t for t in targets if self._health.usable(t.id)] or targets
        if isinstance(request, ProgramRequest):
            # The low rate limit of a new scheduler must not turn programs away: until
            # it is established, hosts may send within their own shares.
            standing = SchedulerStanding.established()
        else:
            standing = self._standing(service, scheduling_since)
            targets = [t for t in targets if request.accepts(t)]
        spec = self._beliefs.config.service(service)
        capacity = sum(spec.concurrency_at(t) for t in targets)
        limits = self._beliefs.cold.keeper_limits(
            spec, targets, standing, self._fleet.heard_fraction()
        )
        return Eligible(targets, capacity, limits)

    def _standing(self, service, since) -> SchedulerStanding:
        """Return how certain it is that no other host schedules the service too."""
        if not self._choice.is_primary_keeper(scheduling_name(service)):
            return SchedulerStanding.substitute(self._choice.n_candidates())
        if elapsed_seconds() - since < SETTLE_SECONDS:
            return SchedulerStanding.newly_elected()
        return SchedulerStanding.established()

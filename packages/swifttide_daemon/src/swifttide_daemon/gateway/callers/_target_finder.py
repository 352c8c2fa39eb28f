"""Finds the target to which an admitted request is sent next.

The scheduler of the service, which all hosts of the fleet share, chooses it. This host
chooses alone where the scheduler doesn't apply or doesn't answer.
"""

import asyncio
import math
import random

from swifttide_core.admission import PlacementDeferred
from swifttide_core.forwarding import (
    Candidate,
    RequestKind,
    TargetEntry,
    choose_target,
)
from swifttide_core.scheduling import PlacementRequest, TurnResult
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.callers._job import program_seconds_left
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.targets._scheduler_client import Place, SchedulerClient
from swifttide_daemon.gateway.targets._target_client import TargetClient
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.gateway.turns._prompt_locations import PromptLocations

PACING_WAIT_FRACTION = 0.3
"""Fraction of the time left to a request that it may wait while all targets have
received the requests that their pacing allows for now."""

MIN_PACING_RETRY_SECONDS = 0.1
MAX_PACING_RETRY_SECONDS = 2.0
"""Bounds of the retry delay sent to the caller when that wait would be too long: from
the time of a few turns to most of a target's cold period."""


class TargetFinder:
    """Finds targets for requests, with the scheduler or without it.

    Parameters
    ----------
    zone, host : str
        Zone and IP address of this host.
    beliefs : Beliefs
    client : TargetClient
        Knows the idle connections to targets.
    health : TargetHealth
        Outstanding requests and failures of each target.
    scheduler : SchedulerClient
    fleet : Fleet
        The other hosts.
    prompt_locations : PromptLocations
    """

    def __init__(
        self,
        zone: str,
        host: str,
        beliefs: Beliefs,
        client: TargetClient,
        health: TargetHealth,
        scheduler: SchedulerClient,
        fleet: Fleet,
        prompt_locations: PromptLocations,
    ):
        self._zone = zone
        self._host = host
        self._beliefs = beliefs
        self._client = client
        self._health = health
        self._scheduler = scheduler
        self._fleet = fleet
        self._prompt_locations = prompt_locations

    async def find(
        self, job, tried, progress
    ) -> tuple[TargetEntry | None, Place | None]:
        """Return the next target, and the place that the scheduler assigned, if any.

        Waits at the scheduler while no target is free, and here while all targets have
        received the requests that their pacing allows for now; raises `Refusal` where
        that would take too long.
        """
        started_at = asyncio.get_running_loop().time()
        try:
            return await self._await_target(job, tried, progress, started_at)
        finally:
            now = asyncio.get_running_loop().time()
            progress.queued_seconds += now - started_at

    async def _await_target(self, job, tried, progress, started_at):
        loop = asyncio.get_running_loop()
        until = started_at + (job.expires_at - started_at) * PACING_WAIT_FRACTION
        while True:
            waited = loop.time() - started_at
            place = await self._request_placement(job, tried, progress, waited)
            if isinstance(place, Place):
                return place.target, place
            found = self._choose(job, tried, progress)
            match found:
                case PlacementDeferred(seconds):
                    if isinstance(place, PlacementDeferred):
                        seconds = min(seconds, place.retry_seconds)
                    if loop.time() + seconds > until:
                        # Too late for this attempt: the caller should retry instead.
                        self._refuse_paced(progress, seconds)
                    await asyncio.sleep(seconds * random.uniform(1.0, 1.2))
                case _:
                    return found, None

    def _refuse_paced(self, progress, seconds):
        if progress.sent_target_ids:
            raise Refusal(502, "targets_cold")
        retry_after = min(seconds, MAX_PACING_RETRY_SECONDS)
        raise Refusal(503, "targets_cold", max(retry_after, MIN_PACING_RETRY_SECONDS))

    async def _request_placement(
        self, job, tried, progress, waited_seconds
    ) -> Place | PlacementDeferred | None:
        """Ask the scheduler for a target.

        Only streams, and requests whose targets may be cold, are scheduled. A request
        that may already have run at a target isn't: its next target depends on that.

        Returns
        -------
        Place, PlacementDeferred or None
            The assigned target, the seconds until one may be assigned, or None where
            this host has to choose.
        """
        is_scheduled = job.route.kind is RequestKind.STREAMING
        is_scheduled = is_scheduled or self._beliefs.cold.terms(job.service).is_limited
        if not is_scheduled or progress.sent_target_ids:
            return None
        req = job.req
        origin = job.required_origin(progress)
        request = PlacementRequest(
            self._scheduler.new_id(),
            program_key(job.customer, req.turn.program) if req.turn.program else "",
            self._zone,
            job.work,
            prompt_prefix=req.subject,
            branch=req.turn.branch,
            previous_target=self._prompt_locations.last_target_id(job.customer, req)
            or "",
            prompt_tokens=req.prompt_tokens,
            prefix_tokens=req.prefix_tokens,
            n_events=job.n_expected_events,
            remaining_seconds=job.expires_at - asyncio.get_running_loop().time(),
            program_seconds_left=program_seconds_left(req),
            waited_seconds=waited_seconds,
            connected_targets=self._connected_target_ids(job),
            excluded_targets=frozenset(tried),
            regions=job.homes,
            is_stream=job.route.kind is RequestKind.STREAMING,
            software_version=origin.software_version if origin else None,
        )
        place = await self._scheduler.place_turn(job.service, request)
        if isinstance(place, Place) and not self._health.usable(place.target.id):
            self._scheduler.report_turn_left(place, TurnResult())
            return None
        return place

    def _connected_target_ids(self, job) -> frozenset[str]:
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        return frozenset(t.id for t in targets if self._client.is_connected(t))

    def _choose(self, job, tried, progress) -> TargetEntry | PlacementDeferred | None:
        """Choose the next target without the scheduler; None when none is left.

        The route's ``max_attempts`` limits the number of targets that may run the
        request. A target that has terminated since it got the request isn't counted.
        A stream that has begun goes on only at targets of its origin.
        """
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        origin = job.required_origin(progress)
        if origin is not None:
            targets = [t for t in targets if origin.fits(t)]
        usable = [t for t in targets if t.id not in tried]
        used = {t for t in progress.sent_target_ids if not self._health.has_ended(t)}
        if len(used) >= job.route.max_attempts:
            usable = [t for t in usable if t.id in used]
        else:
            usable = [t for t in usable if t.id not in used] or usable
        healthy = [t for t in usable if self._health.usable(t.id)] or usable
        cold = self._beliefs.cold
        n_hosts = self._fleet.n_hosts()
        allowed, wait_seconds = cold.targets_within_share(job.service, healthy, n_hosts)
        if healthy and not allowed:
            return PlacementDeferred(
                wait_seconds if math.isfinite(wait_seconds) else 1.0
            )
        candidates = [self._candidate(target) for target in allowed]
        last = self._prompt_locations.last_target_id(job.customer, job.req)
        subject = job.req.subject
        found = choose_target(candidates, self._zone, subject, last, self._host)
        if found is not None:
            cold.record_unkept_request(found.id)
        return found

    def _candidate(self, target) -> Candidate:
        outstanding = self._health.outstanding(target.id)
        return Candidate(target, outstanding, self._client.is_connected(target))

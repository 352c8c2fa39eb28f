"""Decides whether new programs may start, to protect targets under overload.

The scheduler of the service, which all hosts share, decides; a program may wait there.
While the scheduler doesn't answer, this host decides by the numbers of outstanding
requests that the hosts' beacons (periodic status messages) report.
"""

import asyncio

from swifttide_core.admission import ProgramAdmitted, ProgramGate, ProgramRefused
from swifttide_core.forwarding import AllowedRegions, ServiceSpec
from swifttide_core.scheduling import ProgramRequest, WorkClass
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.callers._job import work_fields
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.targets._scheduler_client import SchedulerClient
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.telemetry import EventLog


class ProgramEntry:
    """Admits or refuses new programs at a service.

    The shared scheduler has the most complete view of the load. Where it doesn't
    answer, a gate for each service decides by the load that beacons report.

    Parameters
    ----------
    beliefs : Beliefs
        Targets as this host knows them.
    health : TargetHealth
        Outstanding requests of each target.
    scheduler : SchedulerClient
        Client of the shared scheduler.
    log : EventLog
    """

    def __init__(
        self,
        beliefs: Beliefs,
        health: TargetHealth,
        scheduler: SchedulerClient,
        log: EventLog,
    ):
        self._beliefs = beliefs
        self._health = health
        self._scheduler = scheduler
        self._log = log
        self._gates: dict[str, ProgramGate] = {}

    def observe_load(self, service: ServiceSpec) -> None:
        """Update the service's gate with the current load if an update is due."""
        gate = self._gate(service)
        now = asyncio.get_running_loop().time()
        if gate.needs_update(now):
            gate.update_load(now, self.load(service))

    async def check(
        self,
        request_id: str,
        service: ServiceSpec,
        program: str,
        work: WorkClass,
        seconds_left: float | None,
        remaining_seconds: float,
        regions: AllowedRegions = None,
    ) -> None:
        """Admit a new program; raises `Refusal` where the targets have no capacity.

        The program may wait for its admission.

        Parameters
        ----------
        request_id : str
        service : ServiceSpec
        program : str
            Key of the program.
        work : WorkClass
        seconds_left : float or None
            Time until the program's deadline; None if not stated.
        remaining_seconds : float
            Time after which the caller doesn't wait for the request any more.
        regions : frozenset of str or None
            Regions in which the program may run; None for any.
        """
        gate = self._gate(service)
        load = self.load(service)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request = ProgramRequest(
            self._scheduler.new_id(), program, work, seconds_left, regions=regions
        )
        verdict = await self._scheduler.admit_program(
            service, request, remaining_seconds
        )
        by_order = verdict is not None
        match verdict or gate.decide(load, program):
            case ProgramAdmitted():
                return
            case ProgramRefused(retry_seconds):
                self._log.info(
                    "no_place_for_program",
                    request_id=request_id,
                    service=service.name,
                    load=round(load, 3),
                    share=round(gate.admitted_fraction, 3),
                    by_order=by_order,
                    **work_fields(work),
                    waited=round(loop.time() - started_at, 4),
                    retry_after=retry_seconds,
                )
                raise Refusal(503, "targets_full", retry_seconds)

    def min_admitted_fraction(self) -> float:
        """Return the lowest fraction of new programs that any service's gate admits."""
        return min(
            (gate.admitted_fraction for gate in self._gates.values()), default=1.0
        )

    def load(self, service: ServiceSpec) -> float:
        """Return the outstanding requests per place at a service's usable targets.

        A place is one concurrent request that a target takes. The load is 0 where no
        target is known, as there is nothing to protect then.
        """
        targets = self._beliefs.targets_of(service.name)
        usable = [t for t in targets if self._health.usable(t.id)]
        outstanding = sum(self._health.outstanding(t.id) for t in usable)
        places = sum(service.concurrency_at(t) for t in usable)
        return outstanding / places if places else 0.0

    def _gate(self, service) -> ProgramGate:
        gate = self._gates.get(service.name)
        if gate is None:
            gate = self._gates[service.name] = ProgramGate()
        return gate

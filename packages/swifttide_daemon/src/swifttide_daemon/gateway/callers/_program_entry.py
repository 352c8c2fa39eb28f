"""Whether new programs may begin: as the order says, else by beacons' counts."""

import asyncio

from swifttide_core.admission import Entered, ProgramGate, TurnedAway
from swifttide_core.forwarding import AllowedRegions, ServiceSpec
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.targets._order_keeper import OrderKeeper
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.telemetry import EventLog


class ProgramEntry:
    """Asks before a new program begins at a service.

    The order over all hosts knows best; where its keeper doesn't answer, a gate for
    each service decides by what beacons tell.

    Parameters
    ----------
    beliefs : Beliefs
    health : TargetHealth
    order : OrderKeeper
    log : EventLog
    """

    def __init__(
        self,
        beliefs: Beliefs,
        health: TargetHealth,
        order: OrderKeeper,
        log: EventLog,
    ):
        self._beliefs = beliefs
        self._health = health
        self._order = order
        self._log = log
        self._gates: dict[str, ProgramGate] = {}

    def look(self, service: ServiceSpec) -> None:
        """Follow how full a service's targets are."""
        gate = self._gate(service)
        now = asyncio.get_running_loop().time()
        if gate.wants_look(now):
            gate.look(now, self.load(service))

    async def check(
        self,
        request_id: str,
        service: ServiceSpec,
        program: str,
        seconds: float | None,
        homes: AllowedRegions = None,
    ) -> None:
        """Let a new program begin; raises `Refusal` where targets have no place.

        Parameters
        ----------
        request_id : str
        service : ServiceSpec
        program : str
            Key of the program.
        seconds : float or None
            Until it should be finished; None if it doesn't say.
        homes : frozenset of str or None
            Regions to which the program is bound.
        """
        gate = self._gate(service)
        load = self.load(service)
        verdict = await self._order.enter(service, program, seconds, homes)
        by_order = verdict is not None
        match verdict or gate.ask(load, program):
            case Entered():
                return
            case TurnedAway(retry_seconds):
                self._log.info(
                    "no_place_for_program",
                    request_id=request_id,
                    service=service.name,
                    load=round(load, 3),
                    share=round(gate.share, 3),
                    by_order=by_order,
                )
                raise Refusal(503, "targets_full", retry_seconds)

    def least_share(self) -> float:
        """Return the part of new programs let in at the service that is fullest."""
        return min((gate.share for gate in self._gates.values()), default=1.0)

    def load(self, service: ServiceSpec) -> float:
        """Return the requests at a service's targets for each place there.

        0 where no target is known: then there is nothing to protect.
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

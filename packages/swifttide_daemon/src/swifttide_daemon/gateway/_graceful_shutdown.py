"""Stops a host without aborting requests or losing state that only this host has."""

import asyncio
from collections.abc import Callable

from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._lending_record import LendingRecord
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.callers._frontend import Frontend
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_service import PeerService
from swifttide_daemon.gateway.store._shared_store import SharedStore
from swifttide_daemon.gateway.turns._turn_memory import TurnMemory
from swifttide_daemon.telemetry import EventLog

NOT_READY_SECONDS = 2.5
"""Time from SIGTERM until the port for callers closes. The load balancer probes every
second and removes a host after two failed probes. New connections arrive until then."""

STOP_MARGIN_SECONDS = 1.0
"""The waiting for requests ends this long before the process would be killed."""

RETURN_TOKENS_SECONDS = 0.4
"""Time to return unused tokens. It is part of `STOP_MARGIN_SECONDS`, which the
handing over of slots needs as well."""


class GracefulShutdown:
    """Planned shutdown of a host.

    Parameters
    ----------
    front : Frontend
    fleet : Fleet
    store : SharedStore
    peer_service : PeerService
    budgets : BudgetKeeper
    lender : TokenLender
    memory : TurnMemory
    record : LendingRecord
    stop_seconds : callable
        Returns the seconds from SIGTERM until the process is killed.
    log : EventLog
    """

    def __init__(
        self,
        front: Frontend,
        fleet: Fleet,
        store: SharedStore,
        peer_service: PeerService,
        budgets: BudgetKeeper,
        lender: TokenLender,
        memory: TurnMemory,
        record: LendingRecord,
        stop_seconds: Callable[[], float],
        log: EventLog,
    ):
        self._front = front
        self._fleet = fleet
        self._store = store
        self._peer_service = peer_service
        self._budgets = budgets
        self._lender = lender
        self._memory = memory
        self._record = record
        self._stop_seconds = stop_seconds
        self._log = log

    async def run(self) -> None:
        """Finish the requests in progress, hand over state and leave the fleet.

        The port stays open until the load balancer sends no new connections, and all
        requests are taken until then. Each answer that begins now closes its
        connection. Afterwards, connections whose answers began before the shutdown end
        with them, and a request is taken only if it can end in time. A connection that
        is aborted instead loses a request.
        """
        loop = asyncio.get_running_loop()
        seconds = max(0.0, self._stop_seconds() - STOP_MARGIN_SECONDS)
        ends = loop.time() + seconds
        self._log.info("stopping", busy=self._front.n_busy)
        self._front.begin_stop(ends)
        # With little time, half of it is left for the requests in progress.
        await asyncio.sleep(min(NOT_READY_SECONDS, seconds / 2))
        self._front.stop_accepting()
        self._front.end_reuse()
        while self._front.n_busy and loop.time() < ends:
            await asyncio.sleep(0.05)
            self._front.close_idle()
        self._log.info("left", busy=self._front.n_busy)
        await self._return_tokens()
        await self._hand_over_lending()
        await self._fleet.leave(self._store)

    async def _return_tokens(self):
        """Return unused tokens of programs, which would be lost with this process."""
        try:
            async with asyncio.timeout(RETURN_TOKENS_SECONDS):
                await self._budgets.return_all_tokens()
        except TimeoutError:
            self._log.warning("tokens_not_returned_in_time")

    async def _hand_over_lending(self):
        """Hand lending of tokens over to another host, or close the lending record.

        The closed record states that nothing was lent since the last record. Without
        that information, the next process at this address would not lend.
        """
        await self._memory.hand_over()
        handed = self._lender.hand_over()
        if handed is None:
            await self._record.close()
            return
        taken = await self._peer_service.hand_slots(handed)
        self._log.info("slots_handed_over", slots=sorted(handed.waits), taken=taken)

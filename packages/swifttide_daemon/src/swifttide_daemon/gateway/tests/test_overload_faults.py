"""Tests overload with random faults of hosts, engines and messages."""

import asyncio
import os
import random

import pytest

from swifttide_daemon.gateway.targets._order_messages import (
    AskEntry,
    AskPlace,
    OrderAnswer,
    TurnLeft,
)
from swifttide_daemon.gateway.tests._overload import N_TURNS, Fleet
from swifttide_daemon.gateway.tests._overload_engines import (
    ENGINE_CONCURRENCY,
    SERVICE,
    TURN_SECONDS,
)
from swifttide_standins.paused_clock import run_paused

N_HOSTS = 4
N_ENGINES = 3

CAPACITY_PROGRAMS_PER_SECOND = N_ENGINES * ENGINE_CONCURRENCY / TURN_SECONDS / N_TURNS
"""Programs per second that all engines together can finish."""

FAULT_PHASE_SECONDS = 12.0

SETTLED_AT_SECONDS = FAULT_PHASE_SECONDS + 8.0
"""Time by which the programs that began in the fault phase have ended or been
abandoned."""

END_SECONDS = SETTLED_AT_SECONDS + 6.0

SEEDS = range(1, 1 + int(os.environ.get("SWIFTTIDE_OVERLOAD_SEEDS", "6")))


class FaultInjector:
    """Injects random faults, and ends all of them at the end."""

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Inject faults of all kinds at random times during the fault phase."""
        kinds = [self._host_lost, self._all_lost, self._burst, self._engine_leaves]
        kinds += [self._beacons_lost, self._beacon_forged, self._host_frozen]
        kinds += [self._datagrams_doubled, self._order_forged]
        async with asyncio.TaskGroup() as tasks:
            while self._fleet.now < FAULT_PHASE_SECONDS - 3.0:
                tasks.create_task(self._random.choice(kinds)())
                await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._fleet.lost_fraction = 0.0
        self._fleet.return_engines()
        self._fleet.start_missing()

    async def _host_lost(self):
        ip = self._random.choice(self._fleet.ips)
        self._fleet.kill(ip)
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        self._fleet.start(ip)

    async def _all_lost(self):
        self._fleet.kill_all()
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        self._fleet.start_missing()

    async def _burst(self):
        per_second = CAPACITY_PROGRAMS_PER_SECOND * self._random.uniform(0.3, 3.0)
        until = self._fleet.now + self._random.uniform(0.5, 3.0)
        await self._fleet.load(per_second, until, f"burst-{until}")

    async def _engine_leaves(self):
        if len(self._fleet.engines) > 1:
            self._fleet.remove_engines(1)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        self._fleet.return_engines()

    async def _beacons_lost(self):
        self._fleet.lost_fraction = self._random.uniform(0.1, 1.0)
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._fleet.lost_fraction = 0.0

    async def _beacon_forged(self):
        """Report overloaded engines or negative counts of requests to all hosts."""
        self._fleet.report_engine_load(self._random.choice([-1_000, 5, 10**9]), 0.2)

    async def _datagrams_doubled(self):
        self._fleet.duplicated_fraction = self._random.uniform(0.1, 1.0)
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._fleet.duplicated_fraction = 0.0

    async def _order_forged(self):
        """Forge questions for turns that no host sends, answers, and ends of turns."""
        number, boot = self._random.getrandbits(53), "boot-1"
        for message in (
            AskPlace(SERVICE, boot, number, "p", "zone-a", seconds=1e9),
            AskEntry(SERVICE, boot, number, f"p{number}", 1e9),
            OrderAnswer(boot, number, "nowhere", 1e9),
            TurnLeft(SERVICE, boot, number + 1, "engine-1", 1e9),
        ):
            self._fleet.deliver_forged(message)

    async def _host_frozen(self):
        """Freeze a host for a while; its counts at other hosts do not change."""
        with self._fleet.frozen(self._random.choice(self._fleet.ips)):
            await asyncio.sleep(self._random.uniform(0.5, 3.0))


class TestOverloadWithFaults:
    """Guarantees that must hold under any combination of faults."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_guarantees_hold_and_service_recovers(self, store, log, seed):
        """Hosts are killed and restarted, engines leave, bursts arrive, and messages
        between hosts are lost or forged, one after another and at once. A caller that
        was told that its turn has not run must be able to send it again: if it had run,
        it would run twice. A program that has begun must not be turned away as a new
        one. After the faults have ended all programs are served: hosts that still took
        the engines for full would turn callers away without a reason.
        """

        async def run_faults():
            fleet = Fleet(N_HOSTS, N_ENGINES, store, log, seed)
            beacons = asyncio.create_task(fleet.exchange_beacons())
            loading = asyncio.create_task(
                fleet.load(0.6 * CAPACITY_PROGRAMS_PER_SECOND, END_SECONDS)
            )
            await FaultInjector(fleet, seed).run()
            await loading
            beacons.cancel()
            return fleet

        fleet = run_paused(run_faults())
        outcomes = fleet.outcomes
        assert not {r.attempt for r in outcomes.refusals} & fleet.started_attempts()
        assert [r for r in outcomes.refusals if was_wrongly_refused(r, outcomes)] == []
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        assert served >= 0.95 * outcomes.count(
            outcomes.started, SETTLED_AT_SECONDS, END_SECONDS
        )


def was_wrongly_refused(refused, outcomes) -> bool:
    """Return whether a program that had begun was turned away as a new one."""
    served_at = outcomes.first_answered_at.get(refused.program, END_SECONDS)
    return refused.reason == "targets_full" and served_at < refused.at

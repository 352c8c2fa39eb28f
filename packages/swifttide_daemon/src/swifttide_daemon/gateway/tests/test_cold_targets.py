"""Tests the request limits of cold targets with lost keepers, hosts and messages."""

import asyncio
import dataclasses
import os
import random

import pytest

from swifttide_core.admission import PlacementDeferred, ProgramAdmitted
from swifttide_core.forwarding import RoutingConfig, ServiceSpec, TargetEntry
from swifttide_core.scheduling import PlacementRequest, ProgramRequest
from swifttide_daemon.gateway.targets._cold_targets import MAX_COLD_SECONDS, ColdTargets
from swifttide_daemon.gateway.targets._order_messages import AskEntry, AskPlace
from swifttide_daemon.gateway.tests._overload import (
    COLD_EXCESS,
    COLD_EXTRA,
    N_TURNS,
    ROUTE,
    Fleet,
)
from swifttide_daemon.gateway.tests._overload_engines import SERVICE
from swifttide_standins.paused_clock import run_paused

N_HOSTS = 6
N_ENGINES = 6
COLD_REQUESTS_PER_SECOND = 12.0
MAX_REQUESTS_PER_SECOND = COLD_REQUESTS_PER_SECOND * COLD_EXCESS + COLD_EXTRA
COLD_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.2
MAX_ENTRY_DELAY_SECONDS = 1.0
END_SECONDS = 14.0
SPEC = ServiceSpec(
    SERVICE,
    tokens_per_event=1,
    cold_requests_per_second=COLD_REQUESTS_PER_SECOND,
    cold_seconds=COLD_SECONDS,
)
CONFIG = RoutingConfig(1, (ROUTE,), (SPEC,))
SEEDS = range(1, 1 + int(os.environ.get("SWIFTTIDE_COLD_SEEDS", "4")))


class ColdEpisodes:
    """Turns engines cold at random, and publishes their entries to the hosts later.

    ``spans`` lists the engine ids with the start and the end of each cold time.

    Parameters
    ----------
    fleet : Fleet
    seed : int
    """

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)
        self.spans: list[tuple[str, float, float]] = []

    async def run(self) -> None:
        """Inject cold engines and losses of hosts and messages at random times."""
        kinds = [self._cold, self._cold, self._host_lost, self._frozen, self._lossy]
        async with asyncio.TaskGroup() as tasks:
            while self._fleet.now < END_SECONDS - 5.0:
                tasks.create_task(self._random.choice(kinds)())
                await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _cold(self):
        loop = asyncio.get_running_loop()
        engines = list(self._fleet.engines.values())
        chosen = self._random.sample(engines, self._random.randint(1, N_ENGINES // 2))
        began = loop.time()
        until = began + COLD_SECONDS
        for engine in chosen:
            self.spans.append((engine.entry.id, began, until))
        late = self._random.uniform(0.0, HEARTBEAT_SECONDS)
        await asyncio.sleep(late + self._random.uniform(0.0, MAX_ENTRY_DELAY_SECONDS))
        while (left := until - loop.time()) > 0.0:
            for engine in chosen:
                self._fleet.publish_entry(
                    dataclasses.replace(engine.entry, cold_seconds=left)
                )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _host_lost(self):
        ip = self._random.choice(self._fleet.ips)
        self._fleet.kill(ip)
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        self._fleet.start(ip)

    async def _frozen(self):
        with self._fleet.frozen(self._random.choice(self._fleet.ips)):
            await asyncio.sleep(self._random.uniform(0.2, 2.0))

    async def _lossy(self):
        self._fleet.lost_fraction = self._random.uniform(0.05, 0.3)
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        self._fleet.lost_fraction = 0.0


def max_count_per_second(times: list[float]) -> int:
    """Return the largest number of times within any one second."""
    first, most = 0, 0
    for last, time in enumerate(times):
        while times[first] < time - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class TestColdTargets:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_request_rate_stays_within_the_limit(self, store, log, seed):
        """Guards against cold targets that crash under the load of all hosts."""

        async def main():
            fleet = Fleet(N_HOSTS, N_ENGINES, store, log, seed, config=CONFIG)
            episodes = ColdEpisodes(fleet, seed)
            load = fleet.load(
                2.5 * N_ENGINES * MAX_REQUESTS_PER_SECOND / N_TURNS,
                END_SECONDS,
                "burst",
            )
            beacons = asyncio.create_task(fleet.exchange_beacons())
            await asyncio.gather(episodes.run(), load)
            beacons.cancel()
            return [
                max_count_per_second(
                    [t for t in fleet.engines[id].arrival_times if start <= t < end]
                )
                for id, start, end in episodes.spans
            ]

        found = run_paused(main())
        assert found
        assert max(found) <= MAX_REQUESTS_PER_SECOND, found

    def test_low_rate_of_a_new_keeper_turns_no_program_away(self, log):
        """Guards against programs refused for seconds after a keeper is lost."""

        async def main():
            fleet = Fleet(1, 1, None, log, 1, config=CONFIG)
            client = next(iter(fleet._hosts.values())).scheduling.client
            places = [
                await client.place_turn(
                    SPEC, PlacementRequest(client.new_id(), f"p{i}", "zone-a")
                )
                for i in range(6)
            ]
            program = ProgramRequest(client.new_id(), "new", seconds_left=2.0)
            return places, await client.admit_program(SPEC, program, 4.0)

        places, entered = run_paused(main())
        assert isinstance(places[-1], PlacementDeferred)
        assert entered == ProgramAdmitted()

    def test_host_without_configuration_answers_no_question(self, log):
        """Guards against an error at a host that has no configuration yet."""

        async def main():
            fleet = Fleet(2, 1, None, log, 1, config=CONFIG)
            asking, starting = fleet.ips
            host = fleet._hosts[starting]
            host.beliefs.config = None
            sent = []
            host.scheduling._send = lambda ip, message: sent.append(message)
            for ask in (
                AskEntry(SERVICE, "boot", 1, "p"),
                AskPlace(SERVICE, "boot", 2, "p", "zone-a"),
            ):
                host.scheduling.handle_message(ask, asking)
            return sent

        assert run_paused(main()) == []

    def test_targets_of_a_restored_zone_count_as_cold(self, log):
        """Guards against a burst to targets that turned cold in an emptied zone."""

        async def main():
            fleet = Fleet(2, 2, None, log, 1, config=CONFIG)
            beliefs = next(iter(fleet._hosts.values())).beliefs
            beliefs.set_zone_emptied("zone-a", True)
            beliefs.set_zone_emptied("zone-a", False)
            return [beliefs.cold.is_cold(id) for id in fleet.engines]

        assert run_paused(main()) == [True, True]


class TestTargetEntries:
    def entry(self, cold_seconds):
        return TargetEntry("t1", SERVICE, "ip", 1, "z", 6, cold_seconds=cold_seconds)

    def update(self, log, *entries, is_new=False):
        async def main():
            cold = ColdTargets(1.5, 5.0, log)
            return [cold.update_from_entry(e, SPEC, is_new) for e in entries], cold

        return run_paused(main())

    def test_turning_cold_is_reported_once(self, log):
        """Guards against other hosts that are informed late of a cold target."""
        entries = [self.entry(s) for s in (0.0, 3.0, 1.8, 0.6)]
        turned_cold, _ = self.update(log, *entries)
        assert turned_cold == [False, True, False, False]

    @pytest.mark.parametrize("seconds", [None, 1e9])
    def test_new_target_with_invalid_time_counts_as_cold(self, log, seconds):
        """Guards against unlimited requests to a target with an invalid cold time."""
        turned_cold, _ = self.update(log, self.entry(seconds), is_new=True)
        assert turned_cold == [True]

    def test_excessive_cold_time_is_capped(self, log):
        """Guards against a target that stays cold for ever after one invalid entry."""

        async def main():
            cold = ColdTargets(1.5, 5.0, log)
            cold.update_from_entry(self.entry(1e9), SPEC, False)
            await asyncio.sleep(MAX_COLD_SECONDS + 1.0)
            return cold.is_cold("t1")

        assert run_paused(main()) is False

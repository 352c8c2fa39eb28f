"""Reuse of idle connections to targets in a fleet with few turns per host and target.

Each of ninety hosts starts a program about every four seconds. Connections that are not
used for four seconds are closed.
"""

import heapq
import itertools
import random

import pytest

from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    PlacementRequest,
    TurnId,
    TurnResult,
    TurnScheduler,
)

N_HOSTS = 90
N_TARGETS = 24
TARGET_CAPACITY = 6
PROGRAMS_PER_SECOND = 21.0
N_TURNS = 7
TURN_SECONDS = 0.07
PAUSE_SECONDS = 0.12
IDLE_TIMEOUT_SECONDS = 4.0
SIMULATED_SECONDS = 25.0
N_SUBJECTS = 6
PROMPT_TOKENS, PREFIX_TOKENS = 500, 300
RESULT = TurnResult(0.02, 0.025, 3, True)


class Simulation:
    """Simulation of hosts that keep idle connections, with one scheduler.

    Parameters
    ----------
    seed : int
    sends_connected_targets : bool
        Whether hosts tell the scheduler to which targets they have idle connections.
    """

    def __init__(self, seed: int, sends_connected_targets: bool):
        self._rng = random.Random(seed)
        self._sends_connected_targets = sends_connected_targets
        self._scheduler = TurnScheduler(0.0, lambda target: 0.0)
        self._targets = [
            TargetEntry(f"t{i}", "s", "ip", 1, "abc"[i % 3], TARGET_CAPACITY)
            for i in range(N_TARGETS)
        ]
        self._idle_since: dict[tuple[int, str], list[float]] = {}
        self._numbers = itertools.count()
        self.n_opened = 0
        self.n_turns = 0
        self.max_outstanding = 0.0

    def run(self) -> None:
        """Simulate all programs."""
        events, now = [], 0.0
        while (
            now := now + self._rng.expovariate(PROGRAMS_PER_SECOND)
        ) < SIMULATED_SECONDS:
            host = self._rng.randrange(N_HOSTS)
            subject = f"subject-{self._rng.randrange(N_SUBJECTS)}"
            for turn in range(N_TURNS):
                at = now + turn * (TURN_SECONDS + PAUSE_SECONDS)
                heapq.heappush(events, (at, next(self._numbers), host, subject, None))
        while events:
            now, number, host, subject, target = heapq.heappop(events)
            if target is None:
                target = self._send(now, number, host, subject)
                end = now + TURN_SECONDS
                heapq.heappush(events, (end, number, host, subject, target))
                continue
            turn = TurnId(str(host), "b", number)
            self._scheduler.end_turn(turn, target, RESULT, now)
            self._idle_since.setdefault((host, target), []).append(now)

    def _send(self, now, number, host, subject) -> str:
        connected = frozenset(
            t.id for t in self._targets if self._idle_connections(host, t.id, now)
        )
        request = PlacementRequest(
            TurnId(str(host), "b", number),
            "",
            "abc"[host % 3],
            prompt_prefix=subject,
            prompt_tokens=PROMPT_TOKENS,
            prefix_tokens=PREFIX_TOKENS,
            remaining_seconds=4.0,
            connected_targets=(
                connected if self._sends_connected_targets else frozenset()
            ),
        )
        target = self._scheduler.place_turn(request, self._targets, now).id
        idle = self._idle_connections(host, target, now)
        self.n_turns += 1
        if idle:
            idle.pop()
        else:
            self.n_opened += 1
        _, count = self._scheduler.status(now)["targets"][target]
        self.max_outstanding = max(self.max_outstanding, count)
        return target

    def _idle_connections(self, host, target, now) -> list[float]:
        idle = self._idle_since.get((host, target), [])
        idle[:] = [t for t in idle if now - t < IDLE_TIMEOUT_SECONDS]
        return idle


class TestConnections:
    @pytest.mark.parametrize("seed", range(3))
    def test_turns_prefer_targets_with_idle_connections(self, seed):
        """Guards against a new connection for each turn of a large fleet."""
        informed, uninformed = Simulation(seed, True), Simulation(seed, False)
        informed.run()
        uninformed.run()
        assert informed.n_opened < 0.8 * uninformed.n_opened
        assert informed.max_outstanding <= uninformed.max_outstanding + 2

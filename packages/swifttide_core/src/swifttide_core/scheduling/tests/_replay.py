"""Replays programs against a scheduler: events in a heap, no network and no clock."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from swifttide_core.admission import ProgramAdmitted, ProgramRefused
from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    AdmissionGrant,
    Eligible,
    PlacementGrant,
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnQueued,
    TurnResult,
    TurnScheduler,
    WorkClass,
)

FIRST_SECONDS, GAP_SECONDS, SLOWDOWN_PER_TURN = 0.03, 0.05, 0.07
TICK_SECONDS = 0.02


@dataclass
class Program:
    """One program, as its caller sees it."""

    key: str
    work: WorkClass
    n_turns: int
    pause_seconds: float
    began_at: float
    deadline_at: float
    ended_at: float | None = None
    n_refused: int = 0
    asked_at: float = 0.0

    @property
    def in_time(self) -> bool:
        return self.ended_at is not None and self.ended_at <= self.deadline_at


@dataclass
class Replay:
    """Targets with their slots, and the programs that use them.

    Parameters
    ----------
    factors : dict of str to float
        Times that a turn takes at each target, relative to the usual.
    """

    factors: dict[str, float]
    capacity: int = 6
    seed: int = 1
    now: float = 0.0
    programs: list[Program] = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.numbers = itertools.count()
        self.events: list = []
        self.targets = [
            TargetEntry(t, "chat", "10.0.0.1", 1, "zone-a", self.capacity)
            for t in self.factors
        ]
        self.running = dict.fromkeys(self.factors, 0)
        self.most_running = 0
        self.placed: dict[str, list[float]] = {t: [] for t in self.factors}
        self.waiting: dict[TurnId, tuple] = {}
        self.scheduler = TurnScheduler(0.0, lambda target: 0.0)
        self.at(TICK_SECONDS, self.tick)

    def at(self, seconds, call, *args):
        number = next(self.numbers)
        heapq.heappush(self.events, (self.now + seconds, number, call, args))

    def offer(self, per_second, start, end, work, n_turns, pause, deadline_factor):
        """Start programs at random times; their deadline is relative to idle time."""
        at = start
        while (at := at + self.random.expovariate(per_second)) < end:
            turn_seconds = FIRST_SECONDS + 3.0 * GAP_SECONDS
            idle = n_turns * turn_seconds + (n_turns - 1) * pause
            program = Program(
                f"{work.route}-{next(self.numbers)}",
                work,
                n_turns,
                pause,
                at,
                at + deadline_factor * idle + 0.2,
            )
            self.programs.append(program)
            heapq.heappush(
                self.events, (at, next(self.numbers), self.ask, (program, None))
            )

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def fraction_in_time(self, route, start=0.0, end=float("inf")) -> float:
        found = [
            p
            for p in self.programs
            if p.work.route == route and start <= p.began_at < end
        ]
        return sum(p.in_time for p in found) / len(found)

    def ask(self, program, request_id):
        if request_id is None:
            request_id = TurnId("host", "boot", next(self.numbers))
            program.asked_at = self.now
        request = ProgramRequest(
            request_id,
            program.key,
            program.work,
            program.deadline_at - self.now,
            self.now - program.asked_at,
        )
        capacity = float(self.capacity * len(self.targets))
        answer = self.scheduler.admit_program(request, self.targets, capacity, self.now)
        match answer:
            case ProgramAdmitted():
                self.turn(program, 0)
            case ProgramRefused(retry_seconds):
                self.refused(program, retry_seconds)
            case _:
                self.waiting[request_id] = (program, None)

    def refused(self, program, retry_seconds):
        program.n_refused += 1
        if program.n_refused < 3:
            self.at(retry_seconds, self.ask, program, None)

    def turn(self, program, n_done):
        request = PlacementRequest(
            TurnId("host", "boot", next(self.numbers)),
            program.key,
            "zone-a",
            program.work,
            prompt_tokens=500,
            prefix_tokens=500,
            prompt_prefix="shared",
            n_events=4.0,
            remaining_seconds=3.0,
            program_seconds_left=program.deadline_at - self.now,
        )
        answer = self.scheduler.place_turn(request, self.targets, self.now)
        if isinstance(answer, TurnQueued):
            self.waiting[request.id] = (program, n_done)
        else:
            self.start_turn(program, n_done, request.id, answer)

    def start_turn(self, program, n_done, turn_id, target):
        n_others = self.running[target.id]
        self.running[target.id] += 1
        self.most_running = max(self.most_running, self.running[target.id])
        self.placed[target.id].append(self.now)
        slow = self.factors[target.id] * (1.0 + SLOWDOWN_PER_TURN * n_others)
        seconds = slow * (FIRST_SECONDS + 3.0 * GAP_SECONDS)
        seconds *= self.random.uniform(0.7, 1.3)
        result = TurnResult(slow * FIRST_SECONDS, slow * GAP_SECONDS, 4, True)
        self.at(seconds, self.end_turn, program, n_done, turn_id, target, result)

    def end_turn(self, program, n_done, turn_id, target, result):
        self.running[target.id] -= 1
        self.scheduler.end_turn(turn_id, target.id, result, self.now)
        if n_done + 1 == program.n_turns:
            program.ended_at = self.now
        else:
            self.at(program.pause_seconds, self.turn, program, n_done + 1)
        self.grant()

    def tick(self):
        self.grant()
        self.at(TICK_SECONDS, self.tick)

    def grant(self):
        capacity = float(self.capacity * len(self.targets))
        found = Eligible(self.targets, capacity)
        for decision in self.scheduler.grant_waiting(lambda request: found, self.now):
            program, n_done = self.waiting.pop(decision.id, (None, None))
            if program is None:
                continue
            match decision:
                case PlacementGrant(turn_id, target):
                    self.start_turn(program, n_done, turn_id, target)
                case AdmissionGrant():
                    self.turn(program, 0)
                case _:
                    self.refused(program, decision.retry_seconds)

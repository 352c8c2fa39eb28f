"""Programs of a run, drawn from a site's distributions with a fixed seed."""

import math
import random
from dataclasses import dataclass, replace

from benchmarks.scenario import Scenario
from benchmarks.site import EngineSpec, ProgramClass, Site
from benchmarks.work import AgentPlan, ProgramPlan, Step, walk_steps

SIGMA = 0.6
"""Shape of the lognormal lengths: p95 is 2.7 times the median."""

PAUSE_SIGMA = 0.8
"""Shape of the lognormal pauses: p95 is 3.7 times the median."""

RATE_HEADROOM = 1.3
"""A customer's rate over its mean in a steady hour."""

BURST_SECONDS = 45.0
"""Burst that a customer is granted, in seconds of its rate."""

PLANNED_BATCH = 24
"""Batch at which an engine's capacity is counted."""

VANISHING_SHARE = 0.02
"""Part of programs whose caller dies in a pause without a word."""

MAX_OUTPUT = 1_000
MAX_PROMPT = 12_000


@dataclass(slots=True)
class _Bucket:
    rate: float
    burst: float
    level: float
    at: float = 0.0
    over: bool = False

    def take(self, now: float) -> bool:
        """Take one program start; return whether the customer is inside its rate.

        Notes
        -----
        Once over, a customer stays so until half of its burst is back: which of
        its programs are the surplus can't be said.
        """
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1.0:
            self.over = True
            return False
        self.level -= 1.0
        if self.level >= self.burst / 2:
            self.over = False
        return not self.over


def engine_seconds(step: Step, engine: EngineSpec) -> float:
    """Return the engine time of a call whose history is cached.

    Notes
    -----
    Output goes on at a reduced speed while a prompt is computed, so a prompt costs
    only what the others lose.
    """
    gap = engine.gap_base_seconds + PLANNED_BATCH * engine.gap_per_call_seconds
    decode = step.output_tokens * gap / PLANNED_BATCH
    prefill = step.new_tokens / engine.prefill_tokens_per_second
    return prefill * (1.0 - engine.prefill_slowdown) + decode


def program_seconds(plan: ProgramPlan, engine: EngineSpec) -> float:
    """Return the engine time of a whole program."""
    return sum(engine_seconds(step, engine) for step in walk_steps(plan.agent))


def make_programs(site: Site, scenario: Scenario, seed: int) -> list[ProgramPlan]:
    """Return the programs of a run in the order in which they start.

    Parameters
    ----------
    site : Site
        Whose load.
    scenario : Scenario
        Load factors over time.
    seed : int
        Equal seeds give equal programs, whatever policy serves them.
    """
    rng = random.Random(f"{site.name}/{scenario.name}/{seed}")
    per_second = _programs_per_second(site)
    plans = []
    for customer, part in site.customers.items():
        base_rate = per_second * part
        granted = base_rate * RATE_HEADROOM * scenario.base_load
        burst = max(3.0, granted * BURST_SECONDS)
        bucket = _Bucket(granted, burst, burst)
        peak = scenario.peak(customer)
        now = rng.expovariate(base_rate * peak)
        while now < scenario.seconds:
            if rng.random() < scenario.load(customer, now) / peak:
                name = f"{customer}/{len(plans)}"
                inside = bucket.take(now)
                plans.append(_draw_program(site, scenario, rng, customer, name, now))
                if not inside:
                    plans[-1] = replace(plans[-1], inside_rate=False)
            now += rng.expovariate(base_rate * peak)
    plans.extend(_hot_programs(site, scenario, rng))
    plans.sort(key=lambda plan: (plan.starts_at, plan.name))
    return plans


def _programs_per_second(site: Site) -> float:
    """Return the rate that fills all engines, by a fixed sample of programs."""
    rng = random.Random(f"{site.name}/size")
    plain = Scenario("size")
    sample = [_draw_program(site, plain, rng, "c", f"s{i}", 0.0) for i in range(2_000)]
    total = sum(program_seconds(plan, site.engine) for plan in sample)
    return site.n_engines * len(sample) / total


def _draw_program(
    site: Site,
    scenario: Scenario,
    rng: random.Random,
    customer: str,
    name: str,
    now: float,
) -> ProgramPlan:
    shares = [c.share for c in site.classes]
    cls = rng.choices(site.classes, shares)[0]
    stretch = 1.0
    if rng.random() < scenario.long_share:
        stretch = scenario.long_factor
    agent = _draw_agent(cls, rng, stretch)
    deadline = cls.deadline_seconds * max(1.0, stretch / 2)
    vanishes_after = -1
    if rng.random() < VANISHING_SHARE and len(agent.steps) > 1:
        vanishes_after = rng.randrange(len(agent.steps) - 1)
    return ProgramPlan(
        name=name,
        customer=customer,
        profile=cls.profile,
        starts_at=now,
        deadline_seconds=deadline,
        urgency=cls.urgency,
        inside_rate=True,
        agent=agent,
        vanishes_after=vanishes_after,
    )


def _draw_agent(cls: ProgramClass, rng: random.Random, stretch: float) -> AgentPlan:
    n_turns = rng.randint(*cls.turns)
    steps = []
    for turn in range(n_turns):
        median = cls.first_tokens if turn == 0 else cls.new_tokens
        subs = ()
        if turn < n_turns - 1 and rng.random() < cls.sub_agent_share:
            subs = tuple(_draw_sub_agent(cls, rng) for _ in range(rng.randint(2, 4)))
        steps.append(
            Step(
                new_tokens=_draw_tokens(rng, median, MAX_PROMPT),
                output_tokens=_draw_tokens(
                    rng, cls.output_tokens * stretch, MAX_OUTPUT
                ),
                service_seconds=_draw_service(cls, rng),
                pause_seconds=rng.lognormvariate(
                    math.log(cls.pause_seconds), PAUSE_SIGMA
                ),
                sub_agents=subs,
            )
        )
    return AgentPlan(tuple(steps))


def _draw_sub_agent(cls: ProgramClass, rng: random.Random) -> AgentPlan:
    steps = tuple(
        Step(
            new_tokens=_draw_tokens(rng, cls.new_tokens, MAX_PROMPT),
            output_tokens=_draw_tokens(rng, cls.output_tokens, MAX_OUTPUT),
            pause_seconds=rng.lognormvariate(math.log(1.0), PAUSE_SIGMA),
        )
        for _ in range(rng.randint(2, 3))
    )
    return AgentPlan(steps, shared_tokens=cls.first_tokens)


def _draw_service(cls: ProgramClass, rng: random.Random) -> float:
    if rng.random() >= cls.service_share:
        return 0.0
    return rng.lognormvariate(math.log(0.3), 0.5)


def _draw_tokens(rng: random.Random, median: float, largest: int) -> int:
    return max(8, min(largest, int(rng.lognormvariate(math.log(median), SIGMA))))


def _hot_programs(site: Site, scenario: Scenario, rng: random.Random):
    """Yield programs that start many sub-agents on one long shared prefix."""
    cls = site.classes[0]
    for number in range(scenario.n_hot_programs):
        subs = tuple(
            AgentPlan(
                tuple(
                    Step(
                        _draw_tokens(rng, cls.new_tokens, MAX_PROMPT),
                        _draw_tokens(rng, cls.output_tokens, MAX_OUTPUT),
                        pause_seconds=1.0,
                    )
                    for _ in range(3)
                ),
                shared_tokens=9_000,
            )
            for _ in range(scenario.hot_program_width)
        )
        head = Step(10_000, 100, sub_agents=subs)
        agent = AgentPlan((head, Step(500, 200)))
        at = scenario.seconds * (0.25 + 0.5 * number / scenario.n_hot_programs)
        yield ProgramPlan(
            f"large-1/hot-{number}",
            "large-1",
            cls.profile,
            at,
            cls.deadline_seconds * 2,
            0,
            False,
            agent,
        )

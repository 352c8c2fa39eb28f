"""Runs of the bench, side by side in a few processes."""

import os
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial

from benchmarks.outcome import RunOutcome, measure, worst_share
from benchmarks.policies import POLICIES
from benchmarks.policies.features import Features
from benchmarks.policies.swifttide import Swifttide
from benchmarks.scenario import SCENARIOS, Scenario
from benchmarks.site import SITES, Site
from benchmarks.work import ProgramPlan, walk_steps
from benchmarks.workload import make_programs
from benchmarks.world import World
from swifttide_core.admission import call_cost

SEED = 1

N_PROCESSES = max(1, min(6, (os.cpu_count() or 2) // 2))
"""Half of the machine at most; the figures don't depend on it."""


@dataclass(frozen=True, slots=True)
class Job:
    """One run.

    Parameters
    ----------
    site : Site
        Whose load.
    scenario : Scenario
        Load and faults.
    policy : str
        Column of the table.
    features : Features or None
        Settings of swifttide, for ablations.
    seed : int
        Of the programs.
    """

    site: Site
    scenario: Scenario
    policy: str
    features: Features | None = None
    seed: int = SEED


def run_job(job: Job) -> RunOutcome:
    """Run one job."""
    plans = make_programs(job.site, job.scenario, job.seed)
    make_policy = POLICIES.get(job.policy, Swifttide)
    if job.features is not None:
        make_policy = partial(Swifttide, features=job.features)
    world = World(job.site, job.scenario, plans, make_policy)
    world.run()
    costs = {plan.name: _plan_cost(plan) for plan in plans}
    return measure(world, job.policy, costs)


def run_jobs(jobs: list[Job], n_processes: int = N_PROCESSES) -> list[RunOutcome]:
    """Run jobs in a few processes and return their outcomes in order."""
    if n_processes == 1:
        return [run_job(job) for job in jobs]
    with ProcessPoolExecutor(n_processes) as pool:
        return list(pool.map(run_job, jobs))


def all_jobs(policies=tuple(POLICIES), scenarios=SCENARIOS, sites=SITES) -> list[Job]:
    """Return every combination, row by row of the table."""
    return [
        Job(site, scenario, policy)
        for site in sites
        for scenario in scenarios
        for policy in policies
    ]


def with_worst_shares(outcomes: list[RunOutcome]) -> list[RunOutcome]:
    """Fill the worst share in, which needs the ideal's run of the same row."""
    ideals = {(o.site, o.scenario): o for o in outcomes if o.policy == "ideal"}
    return [
        replace(o, worst_share=worst_share(o, ideals[o.site, o.scenario]))
        for o in outcomes
    ]


def _plan_cost(plan: ProgramPlan) -> float:
    return sum(
        call_cost(step.new_tokens, step.output_tokens)
        for step in walk_steps(plan.agent)
    )

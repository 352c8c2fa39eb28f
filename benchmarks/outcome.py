"""What callers received in a run."""

from collections import defaultdict
from dataclasses import asdict, dataclass

import numpy as np

KEPT_RATE = 0.7
"""Part of a customer's programs inside its rate for it to count as within."""


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Figures of one site, scenario and policy.

    Parameters
    ----------
    site, scenario, policy : str
        Which run.
    n_programs : int
        Programs inside their customer's rate.
    p50, p95, p99 : float
        Latency in seconds of programs inside the rate. One that its caller gave up
        counts with the caller's whole patience, however early that was.
    goodput : float
        Part of programs inside the rate that finished inside their deadline.
    goodput_all : float
        The same over all programs.
    wrongful_refusals : float
        Part of the calls of programs inside the rate that were refused.
    given_up : float
        Part of programs inside the rate that were given up.
    recomputed_tokens : float
        Prompt tokens computed again, over all tokens computed.
    held_token_seconds : float
        Cache held for nobody, in million token-seconds.
    wasted_work : float
        Tokens computed for programs that were given up, over all.
    served : dict of str to float
        Cost of programs that finished inside their deadline, by customer.
    wanted : dict of str to float
        Cost of all programs, by customer.
    kept_rate : tuple of str
        Customers that were inside their rate with nearly all of their programs.
    worst_share : float
        Least served over fair share among these; from :func:`worst_share`.
    """

    site: str
    scenario: str
    policy: str
    n_programs: int
    p50: float
    p95: float
    p99: float
    goodput: float
    goodput_all: float
    wrongful_refusals: float
    given_up: float
    recomputed_tokens: float
    held_token_seconds: float
    wasted_work: float
    served: dict[str, float]
    wanted: dict[str, float]
    kept_rate: tuple[str, ...]
    worst_share: float = 0.0

    def as_dict(self) -> dict:
        """Return the figures as plain types."""
        return asdict(self)


def measure(world, policy: str, plan_costs: dict[str, float]) -> RunOutcome:
    """Return the figures of a finished run.

    Parameters
    ----------
    world : World
        The run.
    policy : str
        Its column.
    plan_costs : dict of str to float
        Cost of each program when nothing is computed twice.
    """
    programs = [p for p in world.programs if p.state != "vanished"]
    inside = [p for p in programs if p.plan.inside_rate]
    latencies = [_latency(p) for p in inside]
    p50, p95, p99 = (float(x) for x in np.percentile(latencies, [50, 95, 99]))
    served, wanted = defaultdict(float), defaultdict(float)
    for program in programs:
        wanted[program.plan.customer] += plan_costs[program.name]
        if _in_time(program):
            served[program.plan.customer] += plan_costs[program.name]
    computed = sum(e.computed_tokens for e in world.engines)
    kept = sum(p.work_tokens for p in world.programs if p.state != "given_up")
    again = sum(p.work_tokens - p.new_tokens for p in world.programs)
    n_calls = sum(p.n_calls for p in inside)
    return RunOutcome(
        site=world.site.name,
        scenario=world.scenario.name,
        policy=policy,
        n_programs=len(inside),
        p50=p50,
        p95=p95,
        p99=p99,
        goodput=_part(inside, _in_time),
        goodput_all=_part(programs, _in_time),
        wrongful_refusals=sum(p.n_refused_calls for p in inside) / max(1, n_calls),
        given_up=_part(inside, lambda p: p.state != "finished"),
        recomputed_tokens=again / computed,
        held_token_seconds=world.held_for_nobody / 1e6,
        wasted_work=max(0.0, computed - kept) / computed,
        served=dict(served),
        wanted=dict(wanted),
        kept_rate=_kept_rate(programs),
    )


def fair_shares(wanted: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair division of a capacity."""
    shares, left = {}, capacity
    todo = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for number, (customer, amount) in enumerate(todo):
        shares[customer] = min(amount, left / (len(todo) - number))
        left -= shares[customer]
    return shares


def worst_share(outcome: RunOutcome, ideal: RunOutcome) -> float:
    """Return the least served over fair share, of what the ideal served in all.

    Notes
    -----
    Customers over their rate don't count: what they lack is their surplus.
    """
    capacity = sum(ideal.served.values())
    shares = fair_shares(ideal.wanted, capacity)
    return min(
        outcome.served.get(customer, 0.0) / shares[customer]
        for customer in outcome.kept_rate
    )


def _kept_rate(programs) -> tuple[str, ...]:
    counts = defaultdict(lambda: [0, 0])
    for program in programs:
        counts[program.plan.customer][0] += 1
        counts[program.plan.customer][1] += program.plan.inside_rate
    return tuple(
        sorted(c for c, (n, inside) in counts.items() if inside >= KEPT_RATE * n)
    )


def _in_time(program) -> bool:
    return program.state == "finished" and program.ended_at <= program.deadline_at


def _latency(program) -> float:
    if program.state == "finished":
        return program.ended_at - program.plan.starts_at
    return program.gives_up_at - program.plan.starts_at


def _part(programs, condition) -> float:
    return sum(1 for p in programs if condition(p)) / max(1, len(programs))

"""Each decision taken away, one at a time."""

import math
from dataclasses import replace

import numpy as np

from benchmarks.outcome import RunOutcome
from benchmarks.policies.features import Features
from benchmarks.runner import Job, run_jobs, with_worst_shares
from benchmarks.scenario import SCENARIOS
from benchmarks.site import SITES


def make_ablations() -> dict[str, Features]:
    """Return the settings by the decision that each takes away."""
    whole = Features()
    admission, routing = whole.admission, whole.routing
    return {
        "nothing": whole,
        "customer fairness": replace(whole, fair=False),
        "working set": replace(whole, working_set=False),
        "room for sub-agents": replace(whole, gate_sub_agents=False),
        "early refusal": replace(
            whole, admission=replace(admission, max_wait_seconds=math.inf)
        ),
        "deadlines": replace(whole, deadlines=False),
        "time a program still needs": replace(whole, remaining=False),
        "urgency": replace(whole, urgency=False),
        "load reports": replace(whole, reports=False),
        "adaptive limit": replace(whole, adaptive=False),
        "lease renewal and adoption": replace(whole, renew=False),
        "prefix affinity": replace(whole, affinity=False),
        "two draws (all targets)": replace(
            whole, routing=replace(routing, n_choices=1_000)
        ),
        "two draws (one)": replace(whole, routing=replace(routing, n_choices=1)),
        "local counts": replace(whole, local_counts=False),
        "retention in pauses": replace(whole, retain=False),
        "release at the end": replace(whole, release=False),
    }


def run_ablations(sites=SITES, scenarios=SCENARIOS) -> dict[str, list[RunOutcome]]:
    """Run every ablation on every row."""
    ablations = make_ablations()
    jobs = [
        Job(site, scenario, name, features)
        for site in sites
        for scenario in scenarios
        for name, features in {**ablations, "ideal": None}.items()
    ]
    outcomes = with_worst_shares(run_jobs(jobs))
    return {name: [o for o in outcomes if o.policy == name] for name in ablations}


def format_ablations(outcomes: dict[str, list[RunOutcome]]) -> str:
    """Return a table of means over all rows, and of the row that lost most."""
    whole = outcomes["nothing"]
    lines = [
        f"{'taken away':28} {'p95 x':>6} {'in time':>8} {'all':>6} {'worst':>6} "
        f"{'wrongful':>8} {'again':>6} {'held':>6} {'wasted':>7}  largest rise of p95"
    ]
    for name, rows in outcomes.items():
        pairs = list(zip(rows, whole, strict=True))
        ratios = [row.p95 / base.p95 for row, base in pairs]
        at = int(np.argmax(ratios))
        lines.append(
            f"{name:28} {_geometric(ratios):6.3f} {_mean(rows, 'goodput'):8.4f} "
            f"{_mean(rows, 'goodput_all'):6.3f} {_mean(rows, 'worst_share'):6.3f} "
            f"{_mean(rows, 'wrongful_refusals'):8.4f} "
            f"{_mean(rows, 'recomputed_tokens'):6.3f} "
            f"{_mean(rows, 'held_token_seconds'):6.1f} "
            f"{_mean(rows, 'wasted_work'):7.4f}  "
            f"{ratios[at]:.2f} {rows[at].site} {rows[at].scenario}"
        )
    return "\n".join(lines)


def _mean(rows: list[RunOutcome], name: str) -> float:
    return float(np.mean([getattr(row, name) for row in rows]))


def _geometric(ratios: list[float]) -> float:
    return float(np.exp(np.mean(np.log(ratios))))

"""Print the tables of ``make bench-limits``."""

import sys

from benchmarks.limits.baselines import central, no_limit, static_split
from benchmarks.limits.fleet import Fleet
from benchmarks.limits.loads import FLEETS, all_scenarios
from benchmarks.limits.oracle import (
    ideal,
    largest_excess,
    limits_of,
    refused_inside,
)
from benchmarks.limits.retry_load import print_retries

AIM_PERCENT = 0.5
POLICIES = {
    "swifttide": Fleet.play,
    "no levelling": lambda s: Fleet.play(s, levels_out=False),
    "no moves": lambda s: Fleet.play(s, moves=False),
    "own zone only": lambda s: Fleet.play(s, joins_zones=False, levels_out=False),
    "central": central,
    "static split": static_split,
    "no limit": no_limit,
}
HEADER = (
    f"{'hosts':>5} {'scenario':<16} {'policy':<14} {'offered':>7} {'ideal':>6} "
    f"{'admitted':>8} {'wrongful':>9} {'short':>7} {'inside':>7} "
    f"{'excess':>8} {'msg/req':>7} {'wait ms':>7} {'moves':>5}"
)


def main() -> int:
    """Run everything; exit 1 when swifttide exceeds a limit in any window."""
    sizes = [int(arg) for arg in sys.argv[1:]] or list(FLEETS)
    broken = 0
    print(HEADER)
    for n_hosts in sizes:
        for scenario in all_scenarios(n_hosts):
            broken += _compare(scenario)
    print()
    print("wrongful: refused although the ideal bucket admitted it, share of offered")
    print("short: admitted less than the ideal bucket in sum, share of offered")
    print("inside: refused while one bucket that admitted the same had a token left")
    print("excess: worst window's admitted - (rate * window + burst); <= 0 holds")
    print(f"*: wrongful above the aim of {AIM_PERCENT}%")
    print()
    print_retries()
    return 1 if broken else 0


def _compare(scenario):
    best = ideal(scenario)
    broken = 0
    for name, policy in POLICIES.items():
        outcome = policy(scenario)
        excess = max(
            largest_excess(times, limits_of(scenario, customer.name))
            for customer in scenario.customers
            for times in [outcome.admitted_at.get(customer.name, [])]
        )
        _print_row(scenario, name, outcome, best, excess)
        if name == "swifttide" and excess > 1e-6:
            broken += 1
    return broken


def _print_row(scenario, name, outcome, best, excess):
    n = len(scenario.arrivals)
    pairs = zip(best, outcome.admitted, strict=True)
    wrongful = 100.0 * sum(b and not a for b, a in pairs) / n
    short = 100.0 * (sum(best) - sum(outcome.admitted)) / n
    inside = 100.0 * refused_inside(scenario, outcome.admitted) / n
    mark = "*" if wrongful > AIM_PERCENT else " "
    print(
        f"{scenario.n_hosts:>5} {scenario.name:<16} {name:<14} {n:>7} {sum(best):>6} "
        f"{sum(outcome.admitted):>8} {wrongful:>7.2f}%{mark} {short:>6.2f}% "
        f"{inside:>6.2f}% "
        f"{excess:>8.2f} {outcome.n_messages / n:>7.2f} "
        f"{1000 * outcome.waited_seconds / n:>7.2f} {outcome.n_moves:>5}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main())

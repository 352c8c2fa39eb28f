"""Select the target for a turn by predicted completion time.

Load pattern: two thirds of the targets are 2.4 times as fast as the others. Bursts take
all fast slots, and programs with tight deadlines can't end in time on slow targets.

Without the price of fast slots, turns that could wait take the last fast slots, and the
next turn with a tight deadline finds only slow ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_core.forwarding import TargetEntry
from swifttide_core.placement._prediction import (
    PlacementCandidate,
    Prediction,
    TurnDemand,
    event_count,
    prediction_terms,
)

FAST_RATIO = 1.25
"""Ratio to the fastest target's time up to which a target is fast. Learned ratios of
equal targets differ by about a tenth; slow targets take 1.3 times as long or more."""

SCARCE_FREE_FRACTION = 0.3
"""Fraction of the slots of fast targets that are free, below which they are scarce. A
burst takes this many slots within about a turn."""

SCARCEST_FREE_FRACTION = 0.1
"""Free fraction up to which the scarcity is 1. A price of less than the time saved
never outweighs it, so the full price applies before the last slots are taken."""

TIE_SECONDS = 0.0005
"""Difference in cost up to which targets are equal. It is less than the error of the
learned times, and a fraction of the cost of one more outstanding turn."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The target for a turn, and its predicted times there."""

    target: TargetEntry
    prediction: Prediction


def choose_by_completion(
    candidates: Iterable[PlacementCandidate], demand: TurnDemand, tie_key: str = ""
) -> Choice | None:
    """Return the target with the lowest cost.

    While fast slots are scarce, a turn whose slack covers the extra time of a slower
    target pays a price for a fast one: the scarcity times the time that it saves.

    Parameters
    ----------
    candidates : iterable of PlacementCandidate
    demand : TurnDemand
    tie_key : str
        Key by which one of several equal targets is chosen. The same key prefers the
        same target.

    Returns
    -------
    Choice or None
        None if there are no candidates.
    """
    candidates = tuple(candidates)
    if not candidates:
        return None
    prompt_tokens = demand.prompt_tokens
    n_events = event_count(demand)
    per_event = demand.tokens_per_event
    terms = [
        prediction_terms(c, prompt_tokens, n_events, per_event) for c in candidates
    ]
    costs = [w + r + d + n + o + m for w, r, d, n, o, m in terms]
    slack = demand.slack_seconds
    if slack is not None and slack > 0.0:
        _add_scarcity_price(candidates, terms, costs, n_events, slack)
    limit = min(costs) + TIE_SECONDS
    equal = [i for i, cost in enumerate(costs) if cost <= limit]
    chosen = equal[0]
    if len(equal) > 1:
        chosen = max(
            equal, key=lambda i: _rendezvous_weight(tie_key, candidates[i].target.id)
        )
    return Choice(candidates[chosen].target, Prediction(*terms[chosen]))


def _add_scarcity_price(candidates, terms, costs, n_events, slack) -> None:
    """Raise the costs of fast targets by the price of their slots.

    The price is at most the time that a fast slot saves. It is 0 unless the slack
    exceeds that time, and complete from twice that time on.
    """
    n_gaps = n_events - 1.0
    alone = [c.speed.first_seconds + n_gaps * c.speed.gap_seconds for c in candidates]
    max_fast_seconds = FAST_RATIO * min(alone)
    n_slots = n_free = 0.0
    fast = []
    best_fast = best_slow = None
    for i, candidate in enumerate(candidates):
        load = candidate.load
        is_free = load.outstanding < load.capacity
        if alone[i] <= max_fast_seconds:
            fast.append(i)
            n_slots += load.capacity
            if is_free:
                n_free += load.capacity - load.outstanding
            if best_fast is None or costs[i] < costs[best_fast]:
                best_fast = i
        elif is_free and (best_slow is None or costs[i] < costs[best_slow]):
            best_slow = i
    if best_slow is None or n_free >= SCARCE_FREE_FRACTION * n_slots:
        return
    saved = sum(terms[best_slow][:4]) - sum(terms[best_fast][:4])
    if saved <= 0.0 or slack <= saved:
        return
    scarcity = (SCARCE_FREE_FRACTION - n_free / n_slots) / (
        SCARCE_FREE_FRACTION - SCARCEST_FREE_FRACTION
    )
    price = min(1.0, scarcity) * saved * min(1.0, (slack - saved) / saved)
    for i in fast:
        costs[i] += price


def _rendezvous_weight(key, target_id):
    return xxhash.xxh3_64_intdigest(f"{key}\0{target_id}".encode())

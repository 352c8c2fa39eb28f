"""Policies that the bench compares: swifttide's decisions and its baselines."""

from benchmarks.policies.baselines import (
    FirstComeFirstServed,
    LeastOutstanding,
    PerCallFairness,
    RandomTarget,
)
from benchmarks.policies.features import Features
from benchmarks.policies.ideal import Ideal
from benchmarks.policies.swifttide import Swifttide

BASELINES = {
    "fcfs": FirstComeFirstServed,
    "least-outstanding": LeastOutstanding,
    "random": RandomTarget,
    "per-call-fairness": PerCallFairness,
}

POLICIES = {"swifttide": Swifttide, **BASELINES, "ideal": Ideal}
"""Every policy by its column in the table."""

__all__ = ["BASELINES", "Features", "Ideal", "POLICIES", "Swifttide"]

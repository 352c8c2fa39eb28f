"""Retry decisions, retry budgets, backoff and circuit breakers."""

from swifttide_core.retries._backoff import Backoff
from swifttide_core.retries._breaker_permit import Blocked, BreakerPermit
from swifttide_core.retries._breaker_states import Closed, HalfOpen, Open
from swifttide_core.retries._circuit_breaker import CircuitBreaker
from swifttide_core.retries._decide_retry import MAX_ATTEMPTS, decide_retry
from swifttide_core.retries._give_up import GiveUp, GiveUpCause
from swifttide_core.retries._retry import Retry
from swifttide_core.retries._retry_budget import RetryBudget

__all__ = [
    "MAX_ATTEMPTS",
    "Backoff",
    "Blocked",
    "BreakerPermit",
    "CircuitBreaker",
    "Closed",
    "GiveUp",
    "GiveUpCause",
    "HalfOpen",
    "Open",
    "Retry",
    "RetryBudget",
    "decide_retry",
]

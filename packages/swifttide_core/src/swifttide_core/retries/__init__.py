"""Retries, backoff and circuit breaking."""

from swifttide_core.retries._backoff import Backoff
from swifttide_core.retries._breaker_pass import Blocked, Pass
from swifttide_core.retries._breaker_states import Closed, HalfOpen, Open
from swifttide_core.retries._circuit_breaker import CircuitBreaker
from swifttide_core.retries._decide_retry import MAX_TRIES, decide_retry
from swifttide_core.retries._give_up import GiveUp, GiveUpCause
from swifttide_core.retries._retry import Retry
from swifttide_core.retries._retry_budget import RetryBudget

__all__ = [
    "MAX_TRIES",
    "Backoff",
    "Blocked",
    "CircuitBreaker",
    "Closed",
    "GiveUp",
    "GiveUpCause",
    "HalfOpen",
    "Open",
    "Pass",
    "Retry",
    "RetryBudget",
    "decide_retry",
]

"""Whether a failed request is tried again.

Load pattern: requests fail singly (a cut connection) or all at once (a target
dies), on a path of several hops: entry host, holder of the program, holder of the
target, target.

Without it: each hop that retries on its own multiplies the tries (three hops of
three tries make 27), and a request that may not be repeated runs twice.

Grounds: only the entry host, at hop 0, retries. What may have run is repeated
only where the profile says that this does no harm. Both the target's and the
customer's budget pay, so neither a dead target nor a customer whose requests
always fail can use up the fleet.
"""

from collections.abc import Sequence

from swifttide_core.retries._backoff import Backoff
from swifttide_core.retries._give_up import GiveUp, GiveUpCause
from swifttide_core.retries._retry import Retry
from swifttide_core.retries._retry_budget import RetryBudget
from swifttide_core.verdicts import Verdict

MAX_ATTEMPTS = 3
"""Tries of one request, the first included."""


def decide_retry(
    verdict: Verdict,
    repeatable: bool,
    hops: int,
    *,
    now: float,
    n_tries: int,
    deadline: float,
    budgets: Sequence[RetryBudget],
    backoff: Backoff,
    min_delay_seconds: float = 0.0,
) -> Retry | GiveUp:
    """Decide what follows a try that failed.

    Parameters
    ----------
    verdict : Verdict
        Whether the try may have run.
    repeatable : bool
        Whether running it twice does no harm.
    hops : int
        Peer hops behind the request; 0 at its entry host.
    now : float
        Monotonic seconds.
    n_tries : int
        Tries so far, at least 1.
    deadline : float
        Monotonic seconds after which an answer is of no use.
    budgets : sequence of RetryBudget
        The target's and the customer's; all pay, or none.
    backoff : Backoff
        Pause between tries.
    min_delay_seconds : float
        What the refusal said about when to come back.

    Returns
    -------
    Retry or GiveUp
    """
    cause = _give_up_cause(verdict, repeatable, hops, n_tries)
    if cause is not None:
        return GiveUp(cause)
    after = max(backoff.next_delay(n_tries), min_delay_seconds)
    if now + after >= deadline:
        return GiveUp(GiveUpCause.DEADLINE)
    if not all(budget.has_retry(now) for budget in budgets):
        return GiveUp(GiveUpCause.BUDGET)
    for budget in budgets:
        budget.spend(now)
    return Retry(after)


def _give_up_cause(verdict, repeatable, hops, n_tries):
    if verdict is Verdict.RAN:
        return GiveUpCause.ANSWERED
    if verdict is Verdict.MAY_HAVE_RUN and not repeatable:
        return GiveUpCause.MAY_HAVE_RUN
    if hops > 0:
        return GiveUpCause.NOT_ENTRY_HOST
    if n_tries >= MAX_ATTEMPTS:
        return GiveUpCause.TRIES
    return None

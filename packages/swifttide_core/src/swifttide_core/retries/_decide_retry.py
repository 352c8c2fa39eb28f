"""Decide whether a failed request is retried.

Load pattern: requests fail individually (a lost connection) or all at once (a failed
target), on a path of several hops: entry host, holder of the program, holder of the
target, target.

If each hop retried independently, the attempts would multiply (three hops with three
attempts make 27), and a request that must not be repeated could run twice.

Only the entry host, at hop 0, retries. A request that may have run is retried only if
its profile declares it repeatable. Each retry is charged to the budgets of both the
target and the customer, so that neither a failed target nor a customer whose requests
always fail can use up the capacity of the fleet.
"""

from collections.abc import Sequence

from swifttide_core.retries._backoff import Backoff
from swifttide_core.retries._give_up import GiveUp, GiveUpCause
from swifttide_core.retries._retry import Retry
from swifttide_core.retries._retry_budget import RetryBudget
from swifttide_core.verdicts import Verdict

MAX_ATTEMPTS = 3
"""Maximum number of attempts of one request, including the first."""


def decide_retry(
    verdict: Verdict,
    repeatable: bool,
    n_hops: int,
    *,
    now: float,
    n_attempts: int,
    deadline: float,
    budgets: Sequence[RetryBudget],
    backoff: Backoff,
    min_delay_seconds: float = 0.0,
) -> Retry | GiveUp:
    """Decide whether a failed attempt is followed by a retry.

    Parameters
    ----------
    verdict : Verdict
        Whether the attempt may have run.
    repeatable : bool
        Whether the request may run more than once.
    n_hops : int
        Number of hops between hosts that the request has made; 0 at its entry host.
    now : float
        Monotonic seconds.
    n_attempts : int
        Number of attempts so far, at least 1.
    deadline : float
        Deadline of the request, in monotonic seconds.
    budgets : sequence of RetryBudget
        Budgets of the target and the customer. A retry is charged to all or none.
    backoff : Backoff
        Delay between attempts.
    min_delay_seconds : float
        Minimum delay, from the retry-after time of the refusal.

    Returns
    -------
    Retry or GiveUp
    """
    cause = _give_up_cause(verdict, repeatable, n_hops, n_attempts)
    if cause is not None:
        return GiveUp(cause)
    after = max(backoff.next_delay(n_attempts), min_delay_seconds)
    if now + after >= deadline:
        return GiveUp(GiveUpCause.DEADLINE)
    if not all(budget.has_retry(now) for budget in budgets):
        return GiveUp(GiveUpCause.BUDGET)
    for budget in budgets:
        budget.spend(now)
    return Retry(after)


def _give_up_cause(verdict, repeatable, n_hops, n_attempts):
    if verdict is Verdict.RAN:
        return GiveUpCause.ANSWERED
    if verdict is Verdict.MAY_HAVE_RUN and not repeatable:
        return GiveUpCause.MAY_HAVE_RUN
    if n_hops > 0:
        return GiveUpCause.NOT_ENTRY_HOST
    if n_attempts >= MAX_ATTEMPTS:
        return GiveUpCause.TRIES
    return None

"""Messages between a host that needs a target and the holder of its queue."""

from dataclasses import dataclass

from swifttide_core.admission import Outcome, QueueSnapshot
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A call that asks for admission; times are relative, clocks aren't compared.

    Parameters
    ----------
    ticket_id : str
        The same on each further try.
    customer, program : str
    weight : float
    urgency : int
    deadline_in_seconds : float
        Until the program should be finished.
    expected_tokens, attained_tokens : float
    context_tokens, expected_context_tokens : float
    expected_remaining_seconds : float
    new_history : bool
        Whether it is the first call of a sub-agent.
    waited_seconds : float
        Since the call entered the system.
    wait_seconds : float
        How long the holder may hold the answer back while the call is queued.
    """

    ticket_id: str
    customer: str
    program: str
    weight: float
    urgency: int
    deadline_in_seconds: float
    expected_tokens: float
    attained_tokens: float
    context_tokens: float
    expected_context_tokens: float
    expected_remaining_seconds: float
    new_history: bool
    waited_seconds: float
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class AcquireAnswer:
    """Admitted, refused, or still queued.

    Parameters
    ----------
    admitted : bool
    refusal : Refusal or None
        Final for this target.
    try_elsewhere : bool
        Whether another target may take the call at once.
    snapshot : QueueSnapshot or None
        For routing; `measured_at` is an age in seconds.
    """

    admitted: bool
    refusal: Refusal | None = None
    try_elsewhere: bool = False
    snapshot: QueueSnapshot | None = None


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """An admitted call that ended."""

    ticket_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Admitted calls that still run.

    Whole, since a holder that has just taken the queue over knows none of them and
    would admit a full limit beside them.
    """

    calls: tuple[AcquireRequest, ...]


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """A call that nobody waits for any more."""

    ticket_id: str

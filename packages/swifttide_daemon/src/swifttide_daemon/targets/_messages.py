"""Messages between the host of a call and the host that keeps a target's queue."""

from dataclasses import dataclass

from swifttide_core.admission import Outcome, QueueSnapshot
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """Request for admission of a call.

    All times are durations in seconds, since the clocks of hosts are not compared.

    Parameters
    ----------
    ticket_id : str
        Id of the attempt, repeated in each poll.
    customer, program : str
    weight : float
    urgency : int
    deadline_in_seconds : float
        Time until the program should be finished.
    expected_tokens, attained_tokens : float
        Expected cost of the call, and cost served to the program so far.
    context_tokens, expected_context_tokens : float
        Tokens of the history after the call, and those that it is expected to reach.
    expected_remaining_seconds : float
        Time until the expected end of the program; 0 when unknown.
    new_history : bool
        Whether this is the first call of a sub-agent, which has no cached history.
    waited_seconds : float
        Time since the call arrived at the host that executes it.
    wait_seconds : float
        Longest time for which the holder may delay the answer of a queued call.
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
    """Answer to a request for admission: admitted, refused or still queued.

    Parameters
    ----------
    admitted : bool
    refusal : Refusal or None
        Refusal by this target; None if the call is admitted or queued.
    try_elsewhere : bool
        Whether another target may admit the call now.
    snapshot : QueueSnapshot or None
        State of the queue, for routing. Its `measured_at` is an age in seconds.
    """

    admitted: bool
    refusal: Refusal | None = None
    try_elsewhere: bool = False
    snapshot: QueueSnapshot | None = None


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Message that an admitted call has ended."""

    ticket_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Message that admitted calls are still running.

    It has the complete requests, since a holder that has just taken over the queue does
    not know them and would otherwise admit calls up to the limit in addition.
    """

    calls: tuple[AcquireRequest, ...]


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """Message that a queued call is no longer needed."""

    ticket_id: str

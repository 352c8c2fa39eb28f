"""Results of sending a request to a target: the answer's head, or a failure."""

from dataclasses import dataclass

from swifttide_daemon.gateway.callers._http_fields import Fields


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and header fields of a target's answer.

    Parameters
    ----------
    status : int
    fields : tuple
        All header fields as received.
    attempt : str
        Id of the attempt that it answers; empty if the target did not state it.
    stamp : bytes
        The target's stamp, which it adds to the answer of a request that it has run;
        empty if there is none.
    not_run : bool
        Whether the target states that the request has not run.
    idle_seconds : float or None
        Time for which the target keeps the connection when idle; None if it did not
        state it.
    """

    status: int
    fields: Fields
    attempt: str = ""
    stamp: bytes = b""
    not_run: bool = False
    idle_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target has not run the request and never will.

    Parameters
    ----------
    reason : str
        Text for the log.
    wrong_target : bool
        Whether a process other than the target answers at the target's address.
    reached : bool
        Whether the target answered at all.
    refused : bool
        Whether the connection was refused, so that nothing listens at its address.
    """

    reason: str
    wrong_target: bool = False
    reached: bool = True
    refused: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The result is unknown: the request may have run.

    Parameters
    ----------
    reason : str
        Text for the log.
    broken : bool
        Whether the connection broke while the request was at the target.
    """

    reason: str
    broken: bool = False


class TargetFailure(Exception):
    """The exchange with a target ended without a usable answer.

    Parameters
    ----------
    outcome : NotRun or MayHaveRun
    """

    def __init__(self, outcome: NotRun | MayHaveRun):
        super().__init__(outcome.reason)
        self.outcome = outcome

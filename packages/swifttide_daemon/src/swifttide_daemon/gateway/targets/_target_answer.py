"""What became of sending a request to a target."""

from dataclasses import dataclass

from swifttide_daemon.gateway.callers._http_fields import Fields


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and header fields of a target's answer.

    Parameters
    ----------
    status : int
    fields : tuple
        All header fields as they came.
    attempt : str
        Id of the attempt that it answers; empty when the target didn't say.
    stamp : bytes
        The target's mark on what it ran; empty without one.
    not_run : bool
        Whether the target promises that the request has not run.
    idle_seconds : float or None
        How long the target keeps the connection when idle; None when it didn't say.
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
        For the log.
    wrong_target : bool
        Whether another process answers at the target's address.
    reached : bool
        Whether the target answered at all.
    refused : bool
        Whether nothing listens at its address.
    """

    reason: str
    wrong_target: bool = False
    reached: bool = True
    refused: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nothing is known: the request may have run.

    Parameters
    ----------
    reason : str
        For the log.
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

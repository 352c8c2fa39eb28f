"""What one attempt came to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer.

    Parameters
    ----------
    text : str
        The words of a chat turn, or a service's body.
    verdict : str
        Value of ``Swifttide-Verdict``.
    n_tokens : int
        Words that were streamed.
    """

    text: str
    verdict: str
    n_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Refused:
    """An answer that says no, or a stream that ended with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    reason, verdict, detail : str
        Members of the problem body.
    retry_after_seconds : float or None
        When to come back.
    """

    status: int
    reason: str
    verdict: str
    detail: str = ""
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection broke after the request was sent.

    Parameters
    ----------
    detail : str
        What the client library said.
    begun : bool
        Whether a part of the answer had come.
    """

    detail: str
    begun: bool


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No host was ready, or none took the connection; nothing was sent."""

    detail: str


Outcome = Answered | Refused | Broken | NotConnected

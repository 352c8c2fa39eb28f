"""What a caller got for one call."""

from dataclasses import dataclass

from swifttide_standins.loadgen._call_spec import CallSpec
from swifttide_standins.loadgen._outcome import Outcome


@dataclass(frozen=True, slots=True)
class Attempt:
    """One time that a call was sent.

    Parameters
    ----------
    host : str
        Host it was sent to; empty when none was ready.
    started, first_token, ended : float
        Monotonic seconds; `first_token` is 0 when none came.
    outcome : Outcome
        What came of it.
    """

    host: str
    started: float
    first_token: float
    ended: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """All attempts of a call.

    Parameters
    ----------
    spec : CallSpec
        What was sent.
    attempts : tuple of Attempt
        At least one, in order.
    """

    spec: CallSpec
    attempts: tuple[Attempt, ...]

    @property
    def outcome(self) -> Outcome:
        """What the caller was left with."""
        return self.attempts[-1].outcome

    @property
    def seconds(self) -> float:
        """From the first attempt's start to the last one's end."""
        return self.attempts[-1].ended - self.attempts[0].started

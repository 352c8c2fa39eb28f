"""What the demo saw."""

from dataclasses import dataclass

from swifttide_standins.loadgen import Attempt, CallRecord, ProgramRecord


@dataclass(frozen=True, slots=True)
class Findings:
    """What callers got and what the service counted.

    Parameters
    ----------
    programs : tuple of ProgramRecord
        All programs.
    calls_at_kill : tuple of CallRecord
        Non-repeatable calls that were under way when their entry host was killed.
    effects : dict of str to int
        Effects at the service by idempotency key.
    withdrawn : dict of str to float
        Seconds from the accepted edit to the first refusal that no answer followed,
        by host; infinite for a host whose last call was answered.
    answered_before : int
        Fewest calls that a host answered with the key; a key that never worked
        would prove nothing.
    answered_after_refusal : int
        Calls with the withdrawn key that a host answered after it had itself
        refused it.
    stop_status : int or None
        Exit status of the host that was stopped gracefully.
    stop_seconds : float
        From SIGTERM to its end.
    long_streams : tuple of Attempt
        Long streams under way at that host during the stop.
    cut : int
        Answers that the graceful stop cut, of programs and long streams.
    """

    programs: tuple[ProgramRecord, ...]
    calls_at_kill: tuple[CallRecord, ...]
    effects: dict[str, int]
    withdrawn: dict[str, float]
    answered_before: int
    answered_after_refusal: int
    stop_status: int | None
    stop_seconds: float
    long_streams: tuple[Attempt, ...]
    cut: int

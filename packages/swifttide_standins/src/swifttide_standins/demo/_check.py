"""What must hold for the demo to pass."""

from dataclasses import dataclass

from swifttide_standins.demo._findings import Findings
from swifttide_standins.loadgen import (
    Answered,
    Broken,
    CallRecord,
    NotConnected,
    Refused,
)

MAX_WITHDRAWAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Check:
    """One line of the result.

    Parameters
    ----------
    name : str
        What must hold.
    holds : bool
        Whether it did.
    seen : str
        The figures.
    """

    name: str
    holds: bool
    seen: str


def check_all(found: Findings) -> list[Check]:
    """Return every check of a run."""
    return [
        _check_turns(found),
        _check_effects(found),
        _check_withdrawal(found),
        _check_stop(found),
    ]


def allowed_effects(call: CallRecord) -> tuple[int, ...]:
    """Return how often a service call may have had its effect.

    Parameters
    ----------
    call : CallRecord
        What its caller was left with.
    """
    match call.outcome:
        case Answered():
            return (1,)
        case Refused(verdict="not_run") | NotConnected():
            return (0,)
        case Refused(verdict="may_have_run") | Broken() | Refused():
            return (0, 1)


def _check_turns(found: Findings) -> Check:
    n_finished = sum(p.finished for p in found.programs)
    wrong = [sentence for p in found.programs for sentence in p.wrong]
    holds = n_finished == len(found.programs) and not wrong
    n_turns = sum(p.n_answered for p in found.programs)
    seen = (
        f"{n_finished} of {len(found.programs)} programs finished, {n_turns} turns "
        f"answered, {len(wrong)} answers differ from the oracle"
    )
    return Check("turns in order, each answer whole", holds, seen)


def _check_effects(found: Findings) -> Check:
    calls = [call for p in found.programs for call in p.service_calls]
    calls += found.calls_at_kill
    counts = [found.effects.get(call.spec.idempotency_key, 0) for call in calls]
    bad = [
        call.spec.idempotency_key
        for call, n in zip(calls, counts, strict=True)
        if n not in allowed_effects(call)
    ]
    known = {call.spec.idempotency_key for call in calls}
    strange = sorted(set(found.effects) - known)
    n_once = sum(isinstance(call.outcome, Answered) for call in calls)
    n_unknown = sum(_is_unknown(call) for call in calls)
    seen = (
        f"{len(calls)} calls ({len(found.calls_at_kill)} under way at the kill): "
        f"{n_once} answered, {n_unknown} may_have_run; "
        f"{sum(counts)} effects counted, {max(counts, default=0)} at most a call"
    )
    if bad or strange:
        seen += f"; wrong: {bad}, of no call: {strange}"
    settled = n_once + n_unknown == len(calls)
    holds = not bad and not strange and settled and n_once > 0
    return Check("each side effect once, or may_have_run", holds, seen)


def _is_unknown(call: CallRecord) -> bool:
    match call.outcome:
        case Refused(verdict="may_have_run"):
            return True
        case _:
            return False


def _check_withdrawal(found: Findings) -> Check:
    slowest = max(found.withdrawn.values(), default=float("inf"))
    worked = found.answered_before > 0
    in_time = slowest <= MAX_WITHDRAWAL_SECONDS
    holds = worked and in_time and found.answered_after_refusal == 0
    seen = (
        f"{slowest:.2f} s until all {len(found.withdrawn)} hosts only refused it, "
        f"{found.answered_after_refusal} answered afterwards; before, each host had "
        f"answered {found.answered_before} or more"
    )
    return Check("withdrawn key refused", holds, seen)


def _check_stop(found: Findings) -> Check:
    n_whole = sum(isinstance(a.outcome, Answered) for a in found.long_streams)
    whole = n_whole == len(found.long_streams) > 0
    holds = found.stop_status == 0 and found.cut == 0 and whole
    seen = (
        f"{found.cut} answers cut, {n_whole} of {len(found.long_streams)} long streams "
        f"whole, exit {found.stop_status} after {found.stop_seconds:.1f} s"
    )
    return Check("graceful stop", holds, seen)

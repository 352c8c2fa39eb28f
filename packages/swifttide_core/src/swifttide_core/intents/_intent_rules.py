"""At most once for calls that may not be repeated.

A lease can't give this: a holder that was paused wakes up and dispatches although
another host took over. What gives it is the journal: only the attempt whose row was
inserted (or moved on from ``not_run``) by a conditional write may dispatch, and it
dispatches once. Everybody else answers from the row.
"""

from dataclasses import dataclass, replace

from swifttide_core.intents._intent_row import IntentRow, IntentState
from swifttide_core.verdicts import Reason, Refusal, Verdict


@dataclass(frozen=True, slots=True)
class WriteIntent:
    """Write this row, conditional on the version it was read at; then dispatch."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class ReplayStoredAnswer:
    """The call ran; this is its answer."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class RefuseIntent:
    """The call is not dispatched now."""

    refusal: Refusal


IntentDecision = WriteIntent | ReplayStoredAnswer | RefuseIntent


def decide_intent(known: IntentRow | None, wanted: IntentRow) -> IntentDecision:
    """Decide what becomes of a call, given the journal's row for its key.

    Parameters
    ----------
    known : IntentRow or None
        Row as read from the platform.
    wanted : IntentRow
        Row of the call at hand, with a fresh attempt id.

    Returns
    -------
    IntentDecision
        Write and dispatch, answer from the journal, or refuse.
    """
    if known is None:
        return WriteIntent(wanted)
    if known.body_hash != wanted.body_hash:
        return RefuseIntent(
            Refusal(
                Reason.KEY_REUSED,
                "the Idempotency-Key was used with another call; expected a new key",
            )
        )
    match known.state:
        case IntentState.DONE:
            return ReplayStoredAnswer(known)
        case IntentState.NOT_RUN:
            return WriteIntent(replace(wanted, version=known.version))
        case IntentState.INTENT:
            return RefuseIntent(unknown_outcome())


def unknown_outcome() -> Refusal:
    """Return the refusal of a call whose earlier attempt has no outcome."""
    return Refusal(
        Reason.CONFLICT,
        "an earlier attempt of this call was dispatched and its outcome is unknown; "
        "look at the service before placing a new order",
        verdict=Verdict.MAY_HAVE_RUN,
    )

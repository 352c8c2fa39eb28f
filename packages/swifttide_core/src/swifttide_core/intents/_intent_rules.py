"""Decides by the journal whether a non-repeatable call may be dispatched.

Such a call must run at most once. A lease can't guarantee this, since a paused holder
may resume and dispatch the call after another host has taken over. The journal does:
only the attempt whose conditional write inserted the row, or replaced a ``not_run``
row, may dispatch, and it does so once. Every other attempt is answered from the row.
"""

from dataclasses import dataclass, replace

from swifttide_core.intents._intent_row import IntentRow, IntentState
from swifttide_core.verdicts import Reason, Refusal, Verdict


@dataclass(frozen=True, slots=True)
class WriteIntent:
    """Write this row if its version is unchanged since it was read, then dispatch."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class ReplayStoredAnswer:
    """The call has run; its stored answer is returned."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class RefuseIntent:
    """The call is not dispatched now."""

    refusal: Refusal


IntentDecision = WriteIntent | ReplayStoredAnswer | RefuseIntent


def decide_intent(known: IntentRow | None, wanted: IntentRow) -> IntentDecision:
    """Decide whether a call is dispatched, given the journal's row with its key.

    Parameters
    ----------
    known : IntentRow or None
        Row as read from the journal; None if there is none.
    wanted : IntentRow
        Row of the current call, with a new attempt id.

    Returns
    -------
    IntentDecision
        Write the intent and dispatch, return the stored answer, or refuse.
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
    """Return the refusal of a call with an earlier attempt of unknown outcome."""
    return Refusal(
        Reason.CONFLICT,
        "an earlier attempt of this call was dispatched and its outcome is unknown; "
        "look at the service before placing a new order",
        verdict=Verdict.MAY_HAVE_RUN,
    )

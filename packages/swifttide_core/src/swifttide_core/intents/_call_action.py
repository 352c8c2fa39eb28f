"""Actions that the state machine of a non-repeatable call asks its runner to perform.

The runner reports the outcome of an action as an event.
"""

from dataclasses import dataclass

from swifttide_core.intents._intent_row import IntentRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the journal's row with this key."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row if the stored row still has the version `row.version`.

    Parameters
    ----------
    row : IntentRow
        The new row, with the version at which it was read.
    transaction : str
        Id of the transaction. Sending it again returns the first outcome, which
        resolves writes whose answer was lost.
    """

    row: IntentRow
    transaction: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to a target; happens at most once in each attempt."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the caller with the target's answer, which the row contains."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a refusal."""

    refusal: Refusal


CallAction = ReadRow | WriteRow | Dispatch | Reply | Refuse

"""What a call that may not be repeated asks of its surroundings."""

from dataclasses import dataclass

from swifttide_core.intents._intent_row import IntentRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the journal's row of this key."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row if it still has `row.version`.

    Parameters
    ----------
    row : IntentRow
        The new row; its version is the one that it was read at.
    transaction : str
        Id of the transaction; sent again it returns the first outcome, so that a
        lost answer is settled by sending the same write again.
    """

    row: IntentRow
    transaction: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to a target, once."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Reply:
    """Give the caller the target's answer."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a refusal."""

    refusal: Refusal


CallAction = ReadRow | WriteRow | Dispatch | Reply | Refuse

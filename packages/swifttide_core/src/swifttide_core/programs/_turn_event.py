"""Events that a turn's state machine receives from its runner."""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The turn's rows were read, in the order of the keys; None for absent rows."""

    rows: tuple[ProgramRow | None, ...]


@dataclass(frozen=True, slots=True)
class RowsWritten:
    """The last transaction took effect; one new version for each of its rows."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RowsConflict:
    """The last transaction will never take effect: a row has changed since its read."""


@dataclass(frozen=True, slots=True)
class SlotLost:
    """The last transaction will never take effect: another host has claimed the slot.

    A slot is a partition of the programs; one host at a time serves it.
    """


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform's store didn't answer; the last write may have taken effect."""


@dataclass(frozen=True, slots=True)
class ChunkStored:
    """The turn's chunk of the history is stored."""


@dataclass(frozen=True, slots=True)
class ModelAnswered:
    """The engine's answer is complete.

    Parameters
    ----------
    used : int
        Tokens that the turn adds to the history.
    target : str
        Engine that ran the turn and may hold the program's prompt cache.
    """

    used: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class ModelUnreached:
    """No byte of the turn reached an engine.

    Parameters
    ----------
    refusal : Refusal
        Reason, with the delay after which to retry.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ModelFailed:
    """An engine received the turn, and its answer is missing or incomplete."""


@dataclass(frozen=True, slots=True)
class TurnGivenUp:
    """The turn's deadline has passed, or its caller has disconnected.

    Parameters
    ----------
    refusal : Refusal
        Reason, worded for a turn that hasn't been dispatched.
    """

    refusal: Refusal


TurnEvent = (
    RowsRead
    | RowsWritten
    | RowsConflict
    | SlotLost
    | StoreFailed
    | ChunkStored
    | ModelAnswered
    | ModelUnreached
    | ModelFailed
    | TurnGivenUp
)

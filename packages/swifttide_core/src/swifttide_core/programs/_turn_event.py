"""What a turn is told by its surroundings."""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The rows of the turn's keys were read, in their order; None where absent."""

    rows: tuple[ProgramRow | None, ...]


@dataclass(frozen=True, slots=True)
class RowsWritten:
    """The last transaction took effect and made these versions, in its order."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RowsConflict:
    """The last transaction never takes effect: a row has changed since it was read."""


@dataclass(frozen=True, slots=True)
class SlotLost:
    """The last transaction never takes effect: another host has claimed the slot."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """No answer from the platform; the last write may have taken effect."""


@dataclass(frozen=True, slots=True)
class ChunkStored:
    """The turn's chunk of the history is stored."""


@dataclass(frozen=True, slots=True)
class ModelAnswered:
    """The engine's answer is whole.

    Parameters
    ----------
    used : int
        Tokens that the turn adds to the history.
    target : str
        Engine that ran it and may hold the program's cache.
    """

    used: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class ModelUnreached:
    """No byte of the turn reached an engine.

    Parameters
    ----------
    refusal : Refusal
        Why, with when to come back.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ModelFailed:
    """An engine got the turn and no whole answer came back."""


@dataclass(frozen=True, slots=True)
class TurnGivenUp:
    """The turn's time is up, or its caller is gone.

    Parameters
    ----------
    refusal : Refusal
        Why, as a refusal of a turn that hasn't been dispatched.
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

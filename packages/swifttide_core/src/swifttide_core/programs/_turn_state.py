"""States of a turn's state machine."""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.programs._turn import Turn
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class ReadingRows:
    """The program's rows are being read; the turn hasn't been dispatched."""

    turn: Turn


@dataclass(frozen=True, slots=True)
class Reserving:
    """The budget is being reserved; the turn hasn't been dispatched."""

    turn: Turn
    number: int
    program: ProgramRow
    root: ProgramRow


@dataclass(frozen=True, slots=True)
class Running:
    """An engine may be generating the turn."""

    turn: Turn
    number: int
    program: ProgramRow
    root: ProgramRow


@dataclass(frozen=True, slots=True)
class Storing:
    """The turn's chunk of the history is being stored."""

    turn: Turn
    number: int
    program: ProgramRow
    root: ProgramRow
    used_tokens: int
    target: str


@dataclass(frozen=True, slots=True)
class Committing:
    """The rows that refer to the chunk are being written.

    Parameters
    ----------
    stored : Storing
        State in which the chunk was stored.
    rows : tuple of ProgramRow
        Rows of the transaction in progress.
    ahead : int
        Tokens that the transaction reserves for the next turn.
    reading : bool
        Whether the rows are being read again after a conflict.
    """

    stored: Storing
    rows: tuple[ProgramRow, ...]
    ahead: int = 0
    is_rereading: bool = False


@dataclass(frozen=True, slots=True)
class Releasing:
    """The reservation of a turn that reached no engine is being released."""

    turn: Turn
    root: ProgramRow
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Settled:
    """The turn has ended: its answer or refusal has been passed to the runner."""


TurnState = (
    ReadingRows | Reserving | Running | Storing | Committing | Releasing | Settled
)

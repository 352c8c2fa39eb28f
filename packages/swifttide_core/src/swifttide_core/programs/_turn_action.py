"""Actions that the turn's state machine asks its runner to perform.

The runner reports the outcome of an action as an event.
"""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the rows with these keys."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WriteRows:
    """Write all rows in one transaction, if each still has the version it was read at.

    Parameters
    ----------
    rows : tuple of ProgramRow
        New rows, each with the version at which it was read.
    transaction : str
        Id of the transaction. Sending it again returns the first outcome.
    """

    rows: tuple[ProgramRow, ...]
    transaction: str


@dataclass(frozen=True, slots=True)
class RunModel:
    """Send the turn to an engine (model server), with the history before it.

    Parameters
    ----------
    number : int
        Number of the turn.
    chunks : tuple of str
        Object names of the turns before it, in order.
    """

    number: int
    chunks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutChunk:
    """Store the turn's chunk of the history under this name."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplyTurn:
    """Send the caller the final event of a committed turn.

    Parameters
    ----------
    number : int
        Number of the turn.
    chunk : str
        Object name of the turn's chunk.
    ahead : int
        Tokens that the commit left reserved for the next turn.
    term : int
        Term of the root's row under which `ahead` was reserved.
    """

    number: int
    chunk: str
    ahead: int = 0
    term: int = 0


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer the caller with a refusal."""

    refusal: Refusal


TurnAction = ReadRows | WriteRows | RunModel | PutChunk | ReplyTurn | RefuseRequest

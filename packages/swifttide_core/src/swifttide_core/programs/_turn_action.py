"""What a turn asks of its surroundings."""

from dataclasses import dataclass

from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read these rows."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WriteRows:
    """Write all rows if each still has its version.

    Parameters
    ----------
    rows : tuple of ProgramRow
        New rows; each carries the version that it was read at.
    transaction : str
        Id of the transaction; sent again it returns the first outcome.
    """

    rows: tuple[ProgramRow, ...]
    transaction: str


@dataclass(frozen=True, slots=True)
class RunModel:
    """Send the turn to an engine, after this history.

    Parameters
    ----------
    number : int
        Number of the turn.
    chunks : tuple of str
        Object names of the turns before it.
    """

    number: int
    chunks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutChunk:
    """Store the turn's chunk of the history under this name."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplyTurn:
    """Give the caller the final event; the turn is committed under this name.

    Parameters
    ----------
    number : int
        Number of the turn.
    chunk : str
        Object name of the turn.
    ahead : int
        Tokens that the commit left reserved for the next turn.
    term : int
        Term of the root's row under which it did.
    """

    number: int
    chunk: str
    ahead: int = 0
    term: int = 0


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Give the caller a refusal."""

    refusal: Refusal


TurnAction = ReadRows | WriteRows | RunModel | PutChunk | ReplyTurn | RefuseRequest

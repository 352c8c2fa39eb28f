"""A turn on its way through the scheduler."""

from dataclasses import dataclass

from swifttide_core.documents import Profile
from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.programs._turn_request import TurnRequest


@dataclass(frozen=True, slots=True)
class Turn:
    """One attempt at a turn.

    Parameters
    ----------
    attempt : str
        Unique id of this attempt; part of its chunk's name, so that two attempts
        never write the same object.
    holder : str
        Zone, slot and epoch under which it is served.
    zone : str
        Availability zone that serves it.
    request : TurnRequest
        What the caller sent.
    new_program, new_root : ProgramRow
        Rows to start from when the platform has none yet.
    profile : Profile
        Limits of the program.
    tokens : int
        Most tokens that the turn can add to the history.
    now : float
        Wall-clock seconds.
    calls : int
        Calls of plain services of the tree since its last commit.
    ahead : int
        Tokens that an earlier commit of this holder left reserved and that nobody
        else uses: a turn that they suffice for needs no write before it runs.
    ahead_term : int
        Term of the root's row under which they were left.
    """

    attempt: str
    holder: str
    zone: str
    request: TurnRequest
    new_program: ProgramRow
    new_root: ProgramRow
    profile: Profile
    tokens: int
    now: float = 0.0
    calls: int = 0
    ahead: int = 0
    ahead_term: int = 0

    @property
    def tokens_to_reserve(self) -> int:
        """Tokens that must be reserved besides those left by an earlier commit."""
        return max(0, self.tokens - self.ahead)

    @property
    def reserved_tokens(self) -> int:
        """Tokens that are reserved while the turn runs."""
        return max(self.tokens, self.ahead)

    @property
    def row_keys(self) -> tuple[str, ...]:
        """Keys of the rows that decide about it, the root's last."""
        if self.new_program.is_root:
            return (self.new_root.key,)
        return (self.new_program.key, self.new_root.key)

    def chunk_name(self, number: int) -> str:
        """Return the object name of its chunk of the history."""
        return f"{self.new_program.key}/{number:06d}-{self.attempt}"

"""One attempt at a turn, as it passes through the turn's state machine."""

from dataclasses import dataclass

from swifttide_core.documents import Profile
from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.programs._turn_request import TurnRequest


@dataclass(frozen=True, slots=True)
class Turn:
    """One attempt at a turn; its fields don't change while it runs.

    Parameters
    ----------
    attempt : str
        Unique id of this attempt. It is part of the chunk's name, so that two attempts
        never write the same object.
    holder : str
        Zone, slot and epoch under which this host serves the program.
    zone : str
        Availability zone that serves the turn.
    request : TurnRequest
        The turn as the caller sent it.
    new_program, new_root : ProgramRow
        Initial rows of the program and its root, for when none are stored yet.
    profile : Profile
        Limits of the program.
    tokens : int
        Most tokens that the turn can add to the history.
    now : float
        Wall-clock seconds.
    calls : int
        Calls to services other than models, by the root and its sub-agents, since the
        last commit of the root's row.
    ahead : int
        Tokens that an earlier commit of this holder left reserved for the next turn and
        that no other turn uses. If they suffice, the turn needs no write before it
        runs.
    ahead_term : int
        Term of the root's row under which `ahead` was reserved.
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
        """Tokens to be reserved in addition to those left by an earlier commit."""
        return max(0, self.tokens - self.ahead)

    @property
    def reserved_tokens(self) -> int:
        """Tokens that are reserved while the turn runs."""
        return max(self.tokens, self.ahead)

    @property
    def row_keys(self) -> tuple[str, ...]:
        """Keys of the rows that the turn depends on; the root's is the last."""
        if self.new_program.is_root:
            return (self.new_root.key,)
        return (self.new_program.key, self.new_root.key)

    def chunk_name(self, number: int) -> str:
        """Return the object name of this attempt's chunk of the history.

        Parameters
        ----------
        number : int
            Number of the turn.
        """
        return f"{self.new_program.key}/{number:06d}-{self.attempt}"

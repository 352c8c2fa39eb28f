"""Limits of a root program and its sub-agents together."""

from dataclasses import dataclass

from swifttide_core.documents import Profile

CALLS_PER_TURN = 8
"""Service calls per turn that a program may make on average. The brief's longest
programs have 84 turns; eight tools a turn is more than either site uses, and a
loop of calls that never takes a turn still ends."""

SECONDS_PER_DEADLINE = 12.0
"""Multiple of the wanted latency after which a program is taken for endless: tool
pauses of a night shift are long, but not hours for a program wanted in minutes."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What a root program may use, its sub-agents included.

    Parameters
    ----------
    max_tokens : int
        Tokens, prompt and answer.
    max_turns : int
        Chat turns.
    max_calls : int
        Calls of plain services.
    max_seconds : float
        Time since the first turn.
    """

    max_tokens: int
    max_turns: int
    max_calls: int
    max_seconds: float

    @classmethod
    def from_config(cls, profile: Profile) -> "BudgetLimits":
        """Return the limits that a profile sets."""
        return cls(
            profile.budget_tokens,
            profile.max_turns,
            profile.max_turns * CALLS_PER_TURN,
            profile.deadline_seconds * SECONDS_PER_DEADLINE,
        )

"""Reservation and settling of a root program's budget.

Without it a program that loops, or a sub-agent that starts sub-agents, spends without
end; and a host that dies in the middle of a turn would lose count of what that turn
used. What may be in flight is therefore reserved in the row BEFORE it is dispatched,
and a reservation whose outcome nobody knows stays spent.
"""

from dataclasses import replace

from expression import Error, Ok, Result

from swifttide_core.documents import Profile
from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Reason, Refusal


def check_limits(
    root: ProgramRow, profile: Profile, now: float, calls: int = 0
) -> Refusal | None:
    """Return why a program gets no further turn or call, or None.

    Tokens alone don't end a program that loops over cheap calls, or one whose tool
    never answers.

    Parameters
    ----------
    root : ProgramRow
        Row of the root.
    profile : Profile
        Limits of the program.
    now : float
        Wall-clock seconds.
    calls : int
        Calls of plain services since the root's last commit.
    """
    age = now - root.started_at
    if root.started_at and age > profile.max_program_seconds:
        limit = profile.max_program_seconds
        detail = f"the program is {age:.0f} s old, the profile allows {limit:.0f} s"
        return Refusal(Reason.BUDGET, detail)
    n_calls = root.root_calls + calls
    if n_calls >= profile.max_calls:
        detail = f"got {n_calls} calls, the profile allows {profile.max_calls}"
        return Refusal(Reason.BUDGET, detail)
    return None


def reserve(
    root: ProgramRow, profile: Profile, tokens: int
) -> Result[ProgramRow, Refusal]:
    """Return the root's row with `tokens` more reserved, or why not.

    Parameters
    ----------
    root : ProgramRow
        Row of the root, with every reservation of turns in flight.
    profile : Profile
        Limits of the program.
    tokens : int
        Most tokens that the turn can add to the history.
    """
    if root.root_turns >= profile.max_turns:
        return Error(
            Refusal(
                Reason.BUDGET,
                f"got {root.root_turns} turns, the profile allows {profile.max_turns}",
            )
        )
    spent = root.budget_used + root.budget_reserved
    if spent + tokens > profile.budget_tokens:
        return Error(
            Refusal(
                Reason.BUDGET,
                f"{spent} of {profile.budget_tokens} tokens are used or reserved, "
                f"the turn may need {tokens} more",
            )
        )
    return Ok(replace(root, budget_reserved=root.budget_reserved + tokens))


def settle(root: ProgramRow, reserved: int, used: int, turns: int = 1) -> ProgramRow:
    """Return the root's row after a turn that had `reserved` used `used` tokens."""
    return replace(
        root,
        budget_reserved=root.budget_reserved - reserved,
        budget_used=root.budget_used + used,
        root_turns=root.root_turns + turns,
    )


def count_unknown_as_spent(root: ProgramRow) -> ProgramRow:
    """Return the root's row as a new holder takes it over.

    Reservations of the former holder may have been used up; nobody can tell.
    """
    return replace(
        root,
        budget_reserved=0,
        budget_used=root.budget_used + root.budget_reserved,
    )

"""Reserves and settles the budget of a root program.

The budget limits the tokens, turns, calls and running time of a root program together
with its sub-agents. Without it, a program that loops, or a sub-agent that starts
sub-agents, could spend without limit. If only finished turns were counted, a host that
dies during a turn would lose count of the tokens that the turn used. The tokens that a
turn may use are therefore reserved in the root's row before the turn is dispatched, and
a reservation whose outcome is unknown counts as spent.
"""

from dataclasses import replace

from expression import Error, Ok, Result

from swifttide_core.documents import Profile
from swifttide_core.programs._program_row import ProgramRow
from swifttide_core.verdicts import Reason, Refusal


def check_limits(
    root: ProgramRow, profile: Profile, now: float, calls: int = 0
) -> Refusal | None:
    """Return the refusal of a program beyond its time or call limit, or None.

    These limits end a program that loops over cheap calls, or whose tool never answers.
    The token budget wouldn't.

    Parameters
    ----------
    root : ProgramRow
        Row of the root.
    profile : Profile
        Limits of the program.
    now : float
        Wall-clock seconds.
    calls : int
        Calls to services other than models since the last commit of the root's row.
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
    """Return the root's row with `tokens` more reserved, or the refusal.

    Parameters
    ----------
    root : ProgramRow
        Row of the root, including the reservations of all turns in flight.
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
    """Return the root's row after a turn.

    Parameters
    ----------
    root : ProgramRow
        Row of the root.
    reserved : int
        Tokens that were reserved for the turn.
    used : int
        Tokens that it used.
    turns : int
        Turns to add to the root's count; 0 if the turn didn't run.
    """
    return replace(
        root,
        budget_reserved=root.budget_reserved - reserved,
        budget_used=root.budget_used + used,
        root_turns=root.root_turns + turns,
    )


def count_unknown_as_spent(root: ProgramRow) -> ProgramRow:
    """Return the root's row with all reservations counted as spent.

    A new holder of the program applies this when it takes over. The turns of the former
    holder may have used their reservations, and their outcome can't be determined.
    """
    return replace(
        root,
        budget_reserved=0,
        budget_used=root.budget_used + root.budget_reserved,
    )

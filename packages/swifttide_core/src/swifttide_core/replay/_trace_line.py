"""Format of one line of a trace."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Outcome:
    """Expected outcome of a run, added to the trace by hand.

    Parameters
    ----------
    answer : str
        Type of the action that answered the caller: ``Reply`` or ``Refuse`` of a
        call, ``ReplyTurn`` or ``RefuseRequest`` of a turn.
    dispatched : int or None
        How often the run sent a request to a target; None if this isn't checked.
    """

    answer: str
    dispatched: int | None = None


@dataclass(frozen=True, slots=True)
class TraceLine:
    """Start of a run, one event of a run, or its expected outcome.

    A run is one call or one turn. Which of the three a line states depends on the
    fields that are set.

    Parameters
    ----------
    run : str
        Id of the run. Lines of different runs may interleave.
    machine : str
        Name of the state machine, ``call`` or ``turn``; set only at the start of a
        run.
    start : list or None
        Arguments that the state machine started with.
    event : dict or None
        Event that the state machine received; ``type`` names its class.
    actions : list of dict
        Actions that the state machine returned; ``type`` names the class of each.
    outcome : Outcome or None
        Expected outcome of the run.
    """

    run: str
    machine: str = ""
    start: list[Any] | None = None
    event: dict[str, Any] | None = None
    actions: tuple[dict[str, Any], ...] = ()
    outcome: Outcome | None = None

"""A line of a trace."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a person states of a run, besides its recorded actions.

    Parameters
    ----------
    answer : str
        Type of the action that answered the caller: ``Reply`` or ``Refuse`` of a
        call, ``ReplyTurn`` or ``RefuseRequest`` of a turn.
    dispatched : int or None
        How often the call went out to a target; None where nothing is stated.
    """

    answer: str
    dispatched: int | None = None


@dataclass(frozen=True, slots=True)
class TraceLine:
    """The start of a run, one event of it, or its stated outcome.

    Parameters
    ----------
    run : str
        Id of the run; runs of one trace may interleave.
    machine : str
        Name of the machine, at the start.
    start : list or None
        Arguments of the start.
    event : dict or None
        Event with its ``type``.
    actions : list of dict
        What the machine asked for, with their types.
    outcome : Outcome or None
        Stated outcome.
    """

    run: str
    machine: str = ""
    start: list[Any] | None = None
    event: dict[str, Any] | None = None
    actions: tuple[dict[str, Any], ...] = ()
    outcome: Outcome | None = None

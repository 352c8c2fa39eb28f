"""The state machines of the core that traces are recorded of."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, get_args

from swifttide_core.intents import (
    CallEvent,
    IntentRow,
    start_call,
    step_call,
)
from swifttide_core.programs import (
    ProgramRow,
    Turn,
    TurnEvent,
    start_turn,
    step_turn,
)


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine, and how its arguments and events are decoded.

    Parameters
    ----------
    name : str
        Name in traces.
    start, step : callable
        As the daemon calls them.
    start_types : tuple
        Types of the start's arguments.
    events : dict of str to type
        By the name of the type.
    """

    name: str
    start: Callable[..., Any]
    step: Callable[[Any, Any], Any]
    start_types: tuple[Any, ...]
    events: dict[str, type]


CALL = Machine(
    name="call",
    start=start_call,
    step=step_call,
    start_types=(IntentRow,),
    events={event.__name__: event for event in get_args(CallEvent)},
)
"""A call that may not be repeated."""

TURN = Machine(
    name="turn",
    start=start_turn,
    step=step_turn,
    start_types=(Turn, tuple[ProgramRow | None, ...] | None),
    events={event.__name__: event for event in get_args(TurnEvent)},
)
"""A turn of a program."""

MACHINES = {machine.name: machine for machine in (CALL, TURN)}

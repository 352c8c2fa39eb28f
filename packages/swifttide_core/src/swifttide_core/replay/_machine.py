"""The state machines of the core that traces are recorded of."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, get_args

from swifttide_core.intents import (
    CallAction,
    CallEvent,
    IntentRow,
    start_call,
    step_call,
)
from swifttide_core.programs import (
    ProgramRow,
    Turn,
    TurnAction,
    TurnEvent,
    start_turn,
    step_turn,
)


@dataclass(frozen=True, slots=True)
class StateMachine:
    """A machine, and how its arguments and events are decoded.

    Parameters
    ----------
    name : str
        Name in traces.
    start, step : callable
        As the daemon calls them.
    start_types : tuple
        Types of the start's arguments.
    events, actions : dict of str to type
        By the name of the type.
    """

    name: str
    start: Callable[..., Any]
    step: Callable[[Any, Any], Any]
    start_types: tuple[Any, ...]
    events: dict[str, type]
    actions: dict[str, type]


def _types_by_name(union: Any) -> dict[str, type]:
    return {kind.__name__: kind for kind in get_args(union)}


CALL_MACHINE = StateMachine(
    name="call",
    start=start_call,
    step=step_call,
    start_types=(IntentRow,),
    events=_types_by_name(CallEvent),
    actions=_types_by_name(CallAction),
)
"""A call that may not be repeated."""

TURN_MACHINE = StateMachine(
    name="turn",
    start=start_turn,
    step=step_turn,
    start_types=(Turn, tuple[ProgramRow | None, ...] | None),
    events=_types_by_name(TurnEvent),
    actions=_types_by_name(TurnAction),
)
"""A turn of a program."""

MACHINES = {machine.name: machine for machine in (CALL_MACHINE, TURN_MACHINE)}

"""State machines whose runs can be recorded and replayed."""

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
    """A state machine and the types that decode its arguments, events and actions.

    Parameters
    ----------
    name : str
        Name of the state machine in traces.
    start, step : callable
        Functions of the state machine. ``start`` takes the arguments of a run,
        ``step`` a state and an event. Both return the next state and the actions.
    start_types : tuple
        Types of the arguments of ``start``.
    events, actions : dict of str to type
        Classes of events and actions, by class name.
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
"""State machine of a call that must run at most once."""

TURN_MACHINE = StateMachine(
    name="turn",
    start=start_turn,
    step=step_turn,
    start_types=(Turn, tuple[ProgramRow | None, ...] | None),
    events=_types_by_name(TurnEvent),
    actions=_types_by_name(TurnAction),
)
"""State machine of a turn of a program."""

MACHINES = {machine.name: machine for machine in (CALL_MACHINE, TURN_MACHINE)}

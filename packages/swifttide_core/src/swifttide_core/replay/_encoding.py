"""Lines of a trace from what a machine was told and asked for."""

from typing import Any

import msgspec

from swifttide_core.replay._machine import StateMachine


def encode_start(
    machine: StateMachine,
    run: str,
    arguments: tuple[Any, ...],
    actions: tuple[Any, ...],
) -> bytes:
    """Return the line of a run's start."""
    line = {
        "run": run,
        "machine": machine.name,
        "start": arguments,
        "actions": [encode_with_type(action) for action in actions],
    }
    return msgspec.json.encode(line) + b"\n"


def encode_step(run: str, event: Any, actions: tuple[Any, ...]) -> bytes:
    """Return the line of one event."""
    line = {
        "run": run,
        "event": encode_with_type(event),
        "actions": [encode_with_type(action) for action in actions],
    }
    return msgspec.json.encode(line) + b"\n"


def encode_with_type(value: Any) -> dict[str, Any]:
    """Return a data class as JSON with the name of its type."""
    # Through JSON, so that what is compared is what a trace can hold.
    members = msgspec.json.decode(msgspec.json.encode(value))
    return {"type": type(value).__name__, **members}

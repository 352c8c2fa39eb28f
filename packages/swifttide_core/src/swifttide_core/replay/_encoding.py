"""Encodes starts and steps of state machines as lines of a trace."""

from typing import Any

import msgspec

from swifttide_core.replay._machine import StateMachine


def encode_start(
    machine: StateMachine,
    run: str,
    arguments: tuple[Any, ...],
    actions: tuple[Any, ...],
) -> bytes:
    """Return the line that records the start of a run."""
    line = {
        "run": run,
        "machine": machine.name,
        "start": arguments,
        "actions": [encode_with_type(action) for action in actions],
    }
    return msgspec.json.encode(line) + b"\n"


def encode_step(run: str, event: Any, actions: tuple[Any, ...]) -> bytes:
    """Return the line that records one event and the actions that followed."""
    line = {
        "run": run,
        "event": encode_with_type(event),
        "actions": [encode_with_type(action) for action in actions],
    }
    return msgspec.json.encode(line) + b"\n"


def encode_with_type(value: Any) -> dict[str, Any]:
    """Return a data class instance as decoded JSON, with its class name as ``type``."""
    # The round trip through JSON leaves only values that a trace can represent, so
    # that recorded and replayed actions compare equal.
    members = msgspec.json.decode(msgspec.json.encode(value))
    return {"type": type(value).__name__, **members}

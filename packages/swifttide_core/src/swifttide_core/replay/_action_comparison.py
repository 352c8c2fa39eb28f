"""Compares recorded actions with those of the installed version."""

from typing import Any

import msgspec

from swifttide_core.replay._encoding import encode_with_type
from swifttide_core.replay._machine import StateMachine


def actions_match(
    machine: StateMachine, stated: tuple[dict[str, Any], ...], got: tuple[Any, ...]
) -> bool:
    """Return whether the replayed actions match the recorded ones.

    Rows gain members over time, which alone changes no decision. A member that the
    recording version didn't have is therefore taken to have its default. A recorded
    member that the installed version no longer has is a difference.
    """
    if len(stated) != len(got):
        return False
    return all(
        _action_matches(machine, one, other)
        for one, other in zip(stated, got, strict=True)
    )


def _action_matches(machine: StateMachine, stated: dict[str, Any], got: Any) -> bool:
    kind = machine.actions.get(stated.get("type", ""))
    if kind is not type(got):
        return False
    members = {name: value for name, value in stated.items() if name != "type"}
    try:
        decoded = msgspec.convert(members, kind)
    except msgspec.ValidationError:
        return False
    return decoded == got and _contains_members(encode_with_type(got), stated)


def _contains_members(whole: Any, part: Any) -> bool:
    """Return whether `whole` has all members of `part`, compared recursively."""
    match whole, part:
        case dict(), dict():
            known = part.keys() <= whole.keys()
            return known and all(
                _contains_members(whole[name], part[name]) for name in part
            )
        case list(), list():
            if len(whole) != len(part):
                return False
            return all(
                _contains_members(w, p) for w, p in zip(whole, part, strict=True)
            )
        case _:
            return whole == part

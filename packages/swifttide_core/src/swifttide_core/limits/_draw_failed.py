"""A draw without an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrawFailed:
    """The holder was not reached, or is not known, or no longer holds the slot."""

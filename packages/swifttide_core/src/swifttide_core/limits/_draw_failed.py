"""Result of a draw that got no answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrawFailed:
    """The holder is unknown, not reachable, or no longer has the customer's slot."""

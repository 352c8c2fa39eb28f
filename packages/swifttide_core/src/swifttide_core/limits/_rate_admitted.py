"""A request that may go on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateAdmitted:
    """A token was spent on the request."""

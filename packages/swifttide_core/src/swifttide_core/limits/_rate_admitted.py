"""Result of a rate limit check that admits the request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateAdmitted:
    """The request is admitted; one token was spent on it."""

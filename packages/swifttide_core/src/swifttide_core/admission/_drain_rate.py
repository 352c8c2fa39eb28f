"""Estimate of the rate at which a target completes calls.

The rate decides how long a queued call is expected to wait and when a refused caller
should retry. The speed of targets is unknown and changes, so a fixed retry time is
wrong at every speed but one: if it is too short, refused callers return to the same
full queue; if too long, the target idles. An average over all time underestimates a
target that was idle, since it also counts the time without callers.

While calls wait, the drain rate is the number of releases over the elapsed time. While
none wait, it is estimated by Little's law as the concurrency limit over the mean
service time. The two are averaged, weighted by how long calls have waited within the
window, so that a target that hangs counts as slow although it releases nothing.
"""

import math

PRIOR_WEIGHT_SECONDS = 2.0
"""Weight of the estimate by Little's law, as seconds in which calls wait; about one
service time."""

NEWEST_CALL_WEIGHT = 0.1
"""Weight of the newest call in the mean service time and the mean size of calls."""


class DrainRate:
    """Calls and tokens per second that a target can complete.

    Parameters
    ----------
    window_seconds : float
        Time constant of the exponential decay of old measurements.
    service_seconds : float
        Service time assumed until the first release.
    """

    def __init__(self, window_seconds: float, service_seconds: float) -> None:
        self._window = window_seconds
        self._service_seconds = service_seconds
        self._tokens_per_call = None
        self._busy_seconds = 0.0
        self._busy_releases = 0.0
        self._updated_at = None
        self._measured = False

    @property
    def service_seconds(self) -> float:
        """Mean time from grant to release."""
        return self._service_seconds

    def observe(self, now: float, busy: bool) -> None:
        """Account for the time since the last call of this method.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        busy : bool
            Whether calls waited during that time.
        """
        if self._updated_at is None:
            self._updated_at = now
            return
        elapsed = max(0.0, now - self._updated_at)
        fade = math.exp(-elapsed / self._window)
        self._busy_seconds *= fade
        self._busy_releases *= fade
        if busy:
            self._busy_seconds += elapsed
        self._updated_at = now

    def observe_release(
        self, busy: bool, service_seconds: float, tokens: float
    ) -> None:
        """Account for one released call.

        Parameters
        ----------
        busy : bool
            Whether calls were waiting.
        service_seconds : float
            Time from grant to release.
        tokens : float
            Cost of the call, in the units of `call_cost`.
        """
        if busy:
            self._busy_releases += 1.0
        if self._tokens_per_call is None:
            self._tokens_per_call = tokens
        self._tokens_per_call += NEWEST_CALL_WEIGHT * (tokens - self._tokens_per_call)
        if not self._measured:
            self._service_seconds = service_seconds
            self._measured = True
            return
        self._service_seconds += NEWEST_CALL_WEIGHT * (
            service_seconds - self._service_seconds
        )

    def observe_entry(self, busy: bool) -> None:
        """Count the entry of a program, whose service time is set separately."""
        if busy:
            self._busy_releases += 1.0

    def set_service_seconds(self, seconds: float) -> None:
        """Set a service time that was measured elsewhere."""
        self._service_seconds = seconds

    def per_second(self, limit: float) -> float:
        """Return the releases per second at the given concurrency limit."""
        little = limit / max(self._service_seconds, 1e-3)
        releases = self._busy_releases + PRIOR_WEIGHT_SECONDS * little
        return releases / (self._busy_seconds + PRIOR_WEIGHT_SECONDS)

    def tokens_per_second(self, limit: float, expected_tokens: float) -> float:
        """Return the tokens per second, by the mean size of the released calls.

        Parameters
        ----------
        limit : float
            Concurrency limit, in calls.
        expected_tokens : float
            Size of a call that is assumed until one was released.
        """
        size = self._tokens_per_call
        if size is None:
            size = expected_tokens
        return self.per_second(limit) * max(size, 1.0)

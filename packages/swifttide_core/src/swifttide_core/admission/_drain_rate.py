"""Measured drain rate of a target.

Load pattern: a queue behind a target whose speed is unknown and changes. A fixed
time to come back is wrong at every speed but one: too short, and refused callers
return into the same full queue; too long, and the target idles. A rate counted over
all time understates a target that was idle, since it counts the lack of callers.

Grounds: while calls wait, releases over seconds are the drain rate itself. While
none wait, Little's law (limit over mean service time) gives what the target could
drain. The two are blended by how long calls have waited within the window, so a
target that hangs is seen as slow although it releases nothing.
"""

import math

PRIOR_WEIGHT_SECONDS = 2.0
"""Weight of Little's estimate, in seconds of busy time; about one service time."""

SERVICE_SMOOTHING = 0.1
"""Share of the newest call in the mean service time and size."""


class DrainRate:
    """Releases and tokens a second that a target can drain.

    Parameters
    ----------
    window_seconds : float
        Time constant over which old measurements fade.
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
        """Account for the time since the last event.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        busy : bool
            Whether calls waited since the last event.
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
        """Account for one release.

        Parameters
        ----------
        busy : bool
            Whether calls were waiting.
        service_seconds : float
            Time from grant to release.
        tokens : float
            Tokens computed.
        """
        if busy:
            self._busy_releases += 1.0
        if self._tokens_per_call is None:
            self._tokens_per_call = tokens
        self._tokens_per_call += SERVICE_SMOOTHING * (tokens - self._tokens_per_call)
        if not self._measured:
            self._service_seconds = service_seconds
            self._measured = True
            return
        self._service_seconds += SERVICE_SMOOTHING * (
            service_seconds - self._service_seconds
        )

    def observe_entry(self, busy: bool) -> None:
        """Account for an event without a service time of its own."""
        if busy:
            self._busy_releases += 1.0

    def set_service_seconds(self, seconds: float) -> None:
        """Take over a service time that was measured elsewhere."""
        self._service_seconds = seconds

    def per_second(self, limit: float) -> float:
        """Return releases a second at the given concurrency limit."""
        little = limit / max(self._service_seconds, 1e-3)
        releases = self._busy_releases + PRIOR_WEIGHT_SECONDS * little
        return releases / (self._busy_seconds + PRIOR_WEIGHT_SECONDS)

    def tokens_per_second(self, limit: float, expected_tokens: float) -> float:
        """Return tokens a second, by the mean size of the calls released so far.

        Parameters
        ----------
        limit : float
            Concurrency limit.
        expected_tokens : float
            Size of a call assumed until one was released.
        """
        size = self._tokens_per_call
        if size is None:
            size = expected_tokens
        return self.per_second(limit) * max(size, 1.0)

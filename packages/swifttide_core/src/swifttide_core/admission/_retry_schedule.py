"""Retry times of refused calls.

In a burst or an overload, hundreds of callers are refused within a second. If all got
the same retry time, they would return and be refused together again and again, while
the target idles in between.

Each refused call of a customer gets the next free time after those assigned before. The
times are spaced by the time in which the target completes one call of that customer, so
that callers return at the rate at which they can be served.
"""


class RetrySchedule:
    """Next free retry time of each customer.

    Parameters
    ----------
    shortest, longest : float
        Bounds of the time until the retry. At the upper bound several callers get the
        same time; none has to wait longer because others were refused before it.
    """

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._next_at: dict[str, float] = {}

    def reserve(
        self, now: float, customer: str, wait_seconds: float, spacing_seconds: float
    ) -> float:
        """Assign the next free retry time and return the seconds until then.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        customer : str
            Customer whose call was refused.
        wait_seconds : float
            Time until the target is expected to accept a call of this customer.
        spacing_seconds : float
            Time in which the target completes one such call of the customer.
        """
        earliest = now + max(self._min_seconds, wait_seconds)
        at = max(earliest, self._next_at.get(customer, 0.0))
        at = min(at, now + self._max_seconds)
        self._next_at[customer] = at + spacing_seconds
        return at - now

    def remove_expired(self, now: float) -> None:
        """Remove customers whose retry times have passed."""
        past = [name for name, at in self._next_at.items() if at <= now]
        for name in past:
            del self._next_at[name]

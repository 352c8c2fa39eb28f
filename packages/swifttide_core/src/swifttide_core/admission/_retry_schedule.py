"""When refused callers are told to come back.

Load pattern: a burst or an overload, in which hundreds of callers are refused within a
second. Told the same time, they come back together, are refused together and go
on so, while the target idles between their waves.

Each refusal of a customer takes the next free time after those promised before it,
at the distance in which the target drains one call of that customer, so callers
return at the pace at which they can be served.
"""


class RetrySchedule:
    """Next free time to come back, for each customer.

    Parameters
    ----------
    shortest, longest : float
        Bounds in seconds. At the upper bound promises bunch up; no caller is sent
        away for longer because others were refused before it.
    """

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._next_at: dict[str, float] = {}

    def reserve(
        self, now: float, customer: str, wait_seconds: float, spacing_seconds: float
    ) -> float:
        """Return seconds until the caller should come back.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        customer : str
            Whose call was refused.
        wait_seconds : float
            Time until the first place is expected to be free.
        spacing_seconds : float
            Time in which the target drains one such call of the customer.
        """
        earliest = now + max(self._min_seconds, wait_seconds)
        at = max(earliest, self._next_at.get(customer, 0.0))
        at = min(at, now + self._max_seconds)
        self._next_at[customer] = at + spacing_seconds
        return at - now

    def remove_expired(self, now: float) -> None:
        """Drop customers whose promises lie in the past."""
        past = [name for name, at in self._next_at.items() if at <= now]
        for name in past:
            del self._next_at[name]

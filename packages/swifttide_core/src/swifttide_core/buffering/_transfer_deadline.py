"""Time limit of an answer whose transfer may take long.

It serves large answers on narrow links, which may take longer than a small answer, and
senders that go on for ever with a few bytes at a time, which may not.
"""


class TransferDeadline:
    """Time by which the next bytes of an answer must have arrived.

    Parameters
    ----------
    now : float
        Time at which the call began, in seconds.
    seconds : float
        Time limit of a small answer.
    min_bytes_per_second : float
        Rate below which a longer transfer is given up.
    max_pause_seconds : float
        Longest pause between bytes beyond the time limit of a small answer.
    """

    def __init__(
        self,
        now: float,
        seconds: float,
        min_bytes_per_second: float,
        max_pause_seconds: float,
    ):
        self._first_at = now + seconds
        self._min_rate = min_bytes_per_second
        self._max_pause = max_pause_seconds
        self._n_bytes = 0

    def extend(self, now: float, n_bytes: int) -> float:
        """Count received bytes; return the new deadline in seconds."""
        self._n_bytes += n_bytes
        by_rate = self._first_at + self._n_bytes / self._min_rate
        return max(self._first_at, min(now + self._max_pause, by_rate))

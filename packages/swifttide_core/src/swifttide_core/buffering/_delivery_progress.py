"""Progress of a reader, by the bytes that its side has acknowledged.

It is updated about once a second for each connection that has bytes outstanding.
"""


class DeliveryProgress:
    """Tells a reader that is slow from one that takes nothing."""

    def __init__(self):
        self._n_acknowledged = 0
        self._since: float | None = None

    def update(self, now: float, n_written: int, n_outstanding: int) -> float:
        """Return for how long nothing was acknowledged while bytes were outstanding.

        Parameters
        ----------
        now : float
            Time in seconds.
        n_written : int
            Bytes written to the connection so far.
        n_outstanding : int
            Bytes among them that the reader's side hasn't acknowledged.

        Returns
        -------
        seconds : float
            Counted from the first update that saw this state; 0 after progress.
        """
        n_acknowledged = n_written - n_outstanding
        if not n_outstanding:
            self._since = None
        elif self._since is None or n_acknowledged != self._n_acknowledged:
            self._since = now
        self._n_acknowledged = n_acknowledged
        return 0.0 if self._since is None else now - self._since

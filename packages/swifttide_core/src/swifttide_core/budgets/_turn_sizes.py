"""How many tokens turns generate of late."""

GAIN = 0.05
"""Weight of the newest turn: the last twenty or so count."""

ROOM = 2.5
"""Times the mean that a turn rarely exceeds: one in twenty does with the sizes of
today, of 65 tokens on average and 286 at most."""


class TurnSizes:
    """Estimates what one turn takes.

    A turn names the most that it may generate, four times what it mostly does. While
    tokens are short, setting the most aside would stop programs that need a quarter.
    """

    def __init__(self):
        self._mean: float | None = None

    def note(self, tokens: int) -> None:
        """Take the size of a turn that has ended."""
        if self._mean is None:
            self._mean = float(tokens)
        else:
            self._mean += (tokens - self._mean) * GAIN

    def usual(self, most: int) -> int:
        """Return what to set aside for a turn while tokens are short."""
        if self._mean is None:
            return most
        return max(1, min(most, int(self._mean * ROOM)))

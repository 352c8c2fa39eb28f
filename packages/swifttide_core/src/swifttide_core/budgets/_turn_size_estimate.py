"""How many tokens turns generate of late."""

UPDATE_WEIGHT = 0.05
"""Weight of the newest turn: the last twenty or so count."""

RESERVATION_FACTOR = 2.5
"""Times the mean that a turn rarely exceeds: one in twenty does with the sizes of
today, of 65 tokens on average and 286 at most."""


class TurnSizeEstimate:
    """Estimates what one turn takes.

    A turn names the most that it may generate, four times what it mostly does. While
    tokens are short, setting the most aside would stop programs that need a quarter.
    """

    def __init__(self):
        self._mean: float | None = None

    def update(self, tokens: int) -> None:
        """Take the size of a turn that has ended."""
        if self._mean is None:
            self._mean = float(tokens)
        else:
            self._mean += (tokens - self._mean) * UPDATE_WEIGHT

    def reservation_size(self, max_tokens: int) -> int:
        """Return what to set aside for a turn while tokens are short."""
        if self._mean is None:
            return max_tokens
        return max(1, min(max_tokens, int(self._mean * RESERVATION_FACTOR)))

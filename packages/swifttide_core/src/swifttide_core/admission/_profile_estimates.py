"""Estimates of the tokens and time that programs of a profile need.

The estimates are learned from earlier programs of the same profile, because the number
and size of a program's turns are not known when it starts. Without an estimate, the
queue admits as many new programs as there are free places. Some turns later their
histories together exceed the engine's memory, and each program has its history computed
again at every turn.

The estimates are exponential moving averages with small weights: program lengths are
skewed, and one long program must not change what is expected of the next. Benchmark
figures with and without the estimates are in docs/measurements.md.
"""

OUTPUT_WEIGHT = 0.1
"""Weight of the newest answer; the estimate covers about the last ten answers."""

PROGRAM_WEIGHT = 0.05
"""Weight of the newest program; the estimate covers about the last twenty programs."""

DEFAULT_OUTPUT_TOKENS = 150.0
"""Expected length of an answer until one of the profile has been observed."""


class ProfileEstimates:
    """Exponential moving averages of token counts and durations, by profile.

    Notes
    -----
    Each host learns from the programs that it holds; hosts do not exchange estimates.
    """

    def __init__(self) -> None:
        self._output: dict[str, float] = {}
        self._context: dict[str, float] = {}
        self._seconds: dict[str, float] = {}

    def observe_output(self, profile: str, tokens: float) -> None:
        """Update the expected answer length with an answer of `tokens`."""
        _update_mean(self._output, profile, tokens, OUTPUT_WEIGHT)

    def observe_program(self, profile: str, tokens: float, seconds: float) -> None:
        """Update the estimates with a program that ended.

        Parameters
        ----------
        profile : str
        tokens : float
            Length of the program's history at its end.
        seconds : float
            Time from the program's first call to its end.
        """
        _update_mean(self._context, profile, tokens, PROGRAM_WEIGHT)
        _update_mean(self._seconds, profile, seconds, PROGRAM_WEIGHT)

    def output_tokens(self, profile: str) -> float:
        """Return the expected length of an answer, in tokens."""
        return self._output.get(profile, DEFAULT_OUTPUT_TOKENS)

    def context_tokens(self, profile: str) -> float:
        """Return the expected final length of a history in tokens; 0 when unknown."""
        return self._context.get(profile, 0.0)

    def program_seconds(self, profile: str) -> float:
        """Return the expected time from first call to end; 0 when unknown."""
        return self._seconds.get(profile, 0.0)


def _update_mean(
    means: dict[str, float], profile: str, value: float, weight: float
) -> None:
    seen = means.get(profile, value)
    means[profile] = seen + weight * (value - seen)

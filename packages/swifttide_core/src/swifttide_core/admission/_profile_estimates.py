"""What programs of a profile usually need, learned from those that were seen.

Load pattern: programs whose graph nobody knows ahead of time. Without an estimate the
queue takes in as many new programs as there are free places, and their histories
outgrow the engine's memory together some turns later; each then computes its
history again at every turn.

Grounds: moving means with small weights, since lengths of programs are skewed and one
long program must not change what is expected of the next. The bench's figures with
and without them are in docs/measurements.md.
"""

OUTPUT_WEIGHT = 0.1
"""Share of the newest answer; some ten answers make up the estimate."""

PROGRAM_WEIGHT = 0.05
"""Share of the newest program; some twenty programs make up the estimate."""

DEFAULT_OUTPUT_TOKENS = 150.0


class ProfileEstimates:
    """Moving means by profile.

    Notes
    -----
    Every host learns from the programs that it holds; nothing is exchanged.
    """

    def __init__(self) -> None:
        self._output: dict[str, float] = {}
        self._context: dict[str, float] = {}
        self._seconds: dict[str, float] = {}

    def observe_output(self, profile: str, tokens: float) -> None:
        """Learn from an answer of `tokens`."""
        _update_mean(self._output, profile, tokens, OUTPUT_WEIGHT)

    def observe_program(self, profile: str, tokens: float, seconds: float) -> None:
        """Learn from a program that ended with `tokens` of history after `seconds`."""
        _update_mean(self._context, profile, tokens, PROGRAM_WEIGHT)
        _update_mean(self._seconds, profile, seconds, PROGRAM_WEIGHT)

    def output_tokens(self, profile: str) -> float:
        """Return the tokens that an answer is expected to have."""
        return self._output.get(profile, DEFAULT_OUTPUT_TOKENS)

    def context_tokens(self, profile: str) -> float:
        """Return the length that a history reaches in the end; 0 when unknown."""
        return self._context.get(profile, 0.0)

    def program_seconds(self, profile: str) -> float:
        """Return the time from first call to end; 0 when unknown."""
        return self._seconds.get(profile, 0.0)


def _update_mean(
    means: dict[str, float], profile: str, value: float, weight: float
) -> None:
    seen = means.get(profile, value)
    means[profile] = seen + weight * (value - seen)

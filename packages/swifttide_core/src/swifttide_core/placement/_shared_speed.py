"""Speed that all targets of a service have in common.

Each value follows the observations of all targets. Steps are bounded, so that targets
in a transient slowdown and single outliers hardly move it.
"""

import math

from swifttide_core.placement._observation import TurnObservation

PRIOR_GAP_SECONDS = 0.05
"""Time between events of a turn alone, until observed; the median of the logs."""

PRIOR_FIRST_SECONDS = 0.03
"""Time to the first event of a turn alone, until observed; the median of the logs."""

PRIOR_SLOWDOWN = 0.07
"""Relative growth per other turn until learned: six turns take 0.072 s between events
where one takes 0.052 s."""

MAX_SLOWDOWN = 0.3
"""Upper bound of the learned growth per other turn."""

PRIOR_SECONDS_PER_TOKEN = 1 / 80_000
"""Prefill time of one token until learned."""

MIN_SECONDS_PER_TOKEN = 1e-6
MAX_SECONDS_PER_TOKEN = 1e-3
"""Bounds of the learned prefill time of one token."""

MIN_READ_TOKENS = 200
"""Tokens from which on prefill takes longer than the first event's jitter of about a
millisecond."""

FULL_WEIGHT_TOKENS = 1_000
"""Tokens from which on an observation has more than half its weight in the prefill
time; smaller prompts mostly measure the time to the first event."""

TOKEN_GAIN = 0.1
"""Weight of one observation in the prefill time of a token."""

SLOWDOWN_GAIN = 0.004
"""Weight of one observation in the growth per other turn. A few hundred turns change
it, which is a second of full load."""

MAX_SLOWDOWN_RESIDUAL = 0.3
"""Bound of the logarithmic deviation from which the growth is learned. Deviations
beyond it come from transient slowdowns."""

HALF_LIFE_SECONDS = 15.0
"""Time after which the weight of all earlier observations counts half."""

PRIOR_WEIGHT = 4.0
"""Weight of a prior time, in observations."""

MAX_WEIGHT = 20_000.0
"""Maximum weight accepted from another host, in observations; more than 500 turns per
second amount to. A forged weight could otherwise stop all learning."""

MAX_STEP = math.log(2.0)
"""Bound of the logarithmic deviation of one observation."""


class DecayingMean:
    """Mean of logarithms, weighted by age, with bounded deviations.

    Parameters
    ----------
    seconds : float
        Prior value.
    """

    def __init__(self, seconds: float) -> None:
        self.log = math.log(seconds)
        self.weight = PRIOR_WEIGHT
        self._updated_at = None

    def add(self, deviation: float, weight: float, now: float) -> None:
        """Add an observation, given as its logarithmic deviation from the mean."""
        if self._updated_at is not None:
            age = max(0.0, now - self._updated_at)
            self.weight = max(
                PRIOR_WEIGHT, self.weight * 0.5 ** (age / HALF_LIFE_SECONDS)
            )
        self._updated_at = now
        self.weight += weight
        step = max(-MAX_STEP, min(MAX_STEP, deviation))
        self.log += step * weight / self.weight


class SharedSpeed:
    """Usual times of a turn alone, growth per other turn and prefill time."""

    def __init__(self) -> None:
        self.gap = DecayingMean(PRIOR_GAP_SECONDS)
        self.first = DecayingMean(PRIOR_FIRST_SECONDS)
        self.slowdown = PRIOR_SLOWDOWN
        self.seconds_per_token = PRIOR_SECONDS_PER_TOKEN

    def growth(self, n_others: float) -> float:
        """Return the factor by which other turns at a target slow a turn."""
        return 1.0 + self.slowdown * n_others

    def learn_slowdown(self, residual: float, n_others: float, mean_others: float):
        """Learn the growth per other turn by one step of a robust regression.

        Parameters
        ----------
        residual : float
            Logarithm of the observed gap over the predicted one.
        n_others : float
            Other turns that ran at the target.
        mean_others : float
            Mean of `n_others` at this target. The target's ratio explains what is
            slow at its mean occupancy, so only deviations from it show the growth.
        """
        bounded = max(-MAX_SLOWDOWN_RESIDUAL, min(MAX_SLOWDOWN_RESIDUAL, residual))
        x = (n_others - mean_others) / self.growth(mean_others)
        step = SLOWDOWN_GAIN * bounded * x / (1.0 + x * x)
        self.slowdown = max(0.0, min(MAX_SLOWDOWN, self.slowdown + step))

    def learn_first(
        self, observation: TurnObservation, growth: float, ratio: float, now: float
    ) -> None:
        """Learn the time to the first event and the prefill time of a token.

        Parameters
        ----------
        observation : TurnObservation
            Of a turn that did not wait for a slot.
        growth : float
            Factor by which other turns slowed it.
        ratio : float
            Slowness of its target.
        now : float
            Monotonic seconds.
        """
        seconds = observation.first_seconds / ratio
        first = math.exp(self.first.log) * growth
        read = max(0, observation.read_tokens)
        read_seconds = read * self.seconds_per_token
        if read_seconds <= 0.5 * first:
            observed = max(0.1 * first, seconds - read_seconds)
            self.first.add(math.log(observed / first), 1.0, now)
        if read >= MIN_READ_TOKENS:
            bound = first + read_seconds
            error = max(-bound, min(bound, seconds - first - read_seconds))
            weight = read / (read * read + FULL_WEIGHT_TOKENS**2)
            self.seconds_per_token = min(
                MAX_SECONDS_PER_TOKEN,
                max(
                    MIN_SECONDS_PER_TOKEN,
                    self.seconds_per_token + TOKEN_GAIN * error * weight,
                ),
            )

    def values(self) -> list[float]:
        """Return the learned values, for `set_values` of another host."""
        return [
            self.gap.log,
            self.gap.weight,
            self.first.log,
            self.first.weight,
            self.slowdown,
            self.seconds_per_token,
        ]

    def set_values(self, values: list[float]) -> None:
        """Take over the values that another host learned, within their bounds."""
        gap, gap_weight, first, first_weight, slowdown, per_token = values
        self.gap.log = max(-12.0, min(6.0, gap))
        self.gap.weight = max(PRIOR_WEIGHT, min(MAX_WEIGHT, gap_weight))
        self.first.log = max(-12.0, min(6.0, first))
        self.first.weight = max(PRIOR_WEIGHT, min(MAX_WEIGHT, first_weight))
        self.slowdown = max(0.0, min(MAX_SLOWDOWN, slowdown))
        self.seconds_per_token = max(
            MIN_SECONDS_PER_TOKEN, min(MAX_SECONDS_PER_TOKEN, per_token)
        )

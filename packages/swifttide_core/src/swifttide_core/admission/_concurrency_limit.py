"""Adaptive limit on the number of concurrent calls at one target.

Engines admit every request on arrival, batch it with the others and report their load
seconds later. Without a limit outside of the engine, a burst waits inside it, where
calls are not ordered by customer or deadline and cannot be withdrawn. With a fixed
limit, a slow engine is overloaded and a fast one idles.

The limit starts at the upper bound that operators set. It is multiplied by a factor
below one on congestion (calls that wait inside the engine, or failures), and grows by
one per full round of calls while it is fully used. A cooldown separates two decreases,
because one congestion produces many signals that arrive late.

The reasons are in docs/design/admission.md. Two alternatives made whole programs
slower, because an engine with a small batch has less throughput: a limit that started
low and increased from there, and one that held the time to the first token at 0.76 s or
the gap between tokens at 0.072 s.
"""

from swifttide_core.admission._config import AdmissionConfig
from swifttide_core.admission._load_report import LoadReport
from swifttide_core.admission._outcome import Outcome, OutcomeStatus


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease (AIMD).

    Parameters
    ----------
    cfg : AdmissionConfig
        Lower bound, decrease factor and cooldown.
    max_limit : int
        Upper bound in calls, from the target's configuration document.
    """

    def __init__(self, cfg: AdmissionConfig, max_limit: int) -> None:
        self._cfg = cfg
        self._max = max(max_limit, cfg.min_limit)
        self._limit = float(self._max)
        self._decreased_at = float("-inf")
        self._growth_paused = False

    @property
    def value(self) -> int:
        """Number of calls that may be at the target at once."""
        return int(self._limit)

    def set_max(self, max_limit: int) -> None:
        """Set the upper bound; a limit that was at the old bound rises with it."""
        bound = max(max_limit, self._cfg.min_limit)
        if bound > self._max and self._limit == self._max:
            self._limit = float(bound)
        self._max = bound
        self._limit = min(self._limit, float(self._max))

    def observe_release(self, now: float, outcome: Outcome, saturated: bool) -> None:
        """Adapt the limit to the outcome of a call.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        outcome : Outcome
            How the call ended.
        saturated : bool
            Whether the limit was fully used. A limit that isn't used must not grow,
            since nothing shows that the target could sustain more calls.
        """
        match outcome.status:
            case OutcomeStatus.FAILED:
                self._decrease(now)
                return
            case OutcomeStatus.CANCELLED | OutcomeStatus.NOT_SENT:
                return
        if saturated and not self._growth_paused:
            self._increase()

    def observe_load(self, now: float, report: LoadReport) -> None:
        """Adapt the limit to a load report, which is seconds old when it arrives.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        report : LoadReport
            Load of the engine. A report measured before the last decrease reflects
            the old limit: it stops growth, but causes no further decrease.
        """
        self._growth_paused = report.waiting > 0
        if self._growth_paused and report.measured_at > self._decreased_at:
            self._decrease(now)

    def _increase(self) -> None:
        self._limit = min(float(self._max), self._limit + 1.0 / self._limit)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < self._cfg.cooldown_seconds:
            return
        self._decreased_at = now
        self._limit = max(
            float(self._cfg.min_limit), self._limit * self._cfg.decrease_factor
        )

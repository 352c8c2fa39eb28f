"""Adaptive limit of calls at once at one target.

Load pattern: engines admit every request as it arrives, batch it with the others and
report their load seconds later. Without a limit outside, a burst sits inside the
engine, where nothing orders it by customer or deadline and nothing can be taken
back; with a fixed limit, a slow engine is flooded and a fast one idles.

The limit starts at the operators' bound, shrinks by a factor on congestion (calls that
wait inside the engine, failures) and grows by one for a full round of calls while it is
used up. Two decreases are kept a cooldown apart, because the signs of one congestion
arrive late and many.

Grounds: docs/design/admission.md. A limit that started low and felt its way up, and one
that held the first token at 0.76 s or the token gap at 0.072 s, made whole programs
slower: a batch that is kept small serves less.
"""

from swifttide_core.admission._config import AdmissionConfig
from swifttide_core.admission._load_report import LoadReport
from swifttide_core.admission._outcome import Outcome, OutcomeStatus


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease by late load and failures.

    Parameters
    ----------
    cfg : AdmissionConfig
        Targets and factors.
    max_limit : int
        Upper bound, from the target's document.
    """

    def __init__(self, cfg: AdmissionConfig, max_limit: int) -> None:
        self._cfg = cfg
        self._max = max(max_limit, cfg.min_limit)
        self._limit = float(self._max)
        self._decreased_at = float("-inf")
        self._growth_paused = False

    @property
    def value(self) -> int:
        """Calls that may be at the target at once."""
        return int(self._limit)

    def set_max(self, max_limit: int) -> None:
        """Take over an edited upper bound."""
        bound = max(max_limit, self._cfg.min_limit)
        if bound > self._max and self._limit == self._max:
            self._limit = float(bound)
        self._max = bound
        self._limit = min(self._limit, float(self._max))

    def observe_release(self, now: float, outcome: Outcome, saturated: bool) -> None:
        """Learn from a call that ended.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        outcome : Outcome
            What was measured of the call.
        saturated : bool
            Whether the limit was used up; an unused limit must not grow, since
            nothing shows that the target could bear it.
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
        """Learn from a late load report.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        report : LoadReport
            Engine's load; one measured before the last decrease tells of the old
            limit and only holds growth back.
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

"""Refuse requests that crash each target that executes them.

Load pattern: a single request crashes its target, and its caller sends it again,
through any entry host and with any program id.

Without this module, one caller could crash the targets of a zone one after the other,
together with all the requests that they were executing.

A request is refused after two strikes. One strike is not sufficient, since a crash
affects all requests in the batch of the target and may be a coincidence; a harmless
request is cleared by the first target that completes it. A refusal lasts ten minutes,
which is long compared with the retries of a caller, and short enough to notice that a
new version of the engine handles the request.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from swifttide_core.strikes._strike import Strike
from swifttide_core.strikes._strike_status import Clear, Refused, Suspect

STRIKES_TO_REFUSE = 2
"""Number of crashes after which a request is refused."""

REFUSAL_SECONDS = 600.0
"""Duration of a refusal, counted from the last strike."""

STRIKE_RETENTION_SECONDS = 600.0
"""Maximum time between two strikes that count together."""

MAX_FINGERPRINTS = 4096
"""Maximum number of stored fingerprints, of about 400 bytes each."""

MAX_STRIKES_PER_FINGERPRINT = 4
"""Maximum number of strikes stored per fingerprint, and of completed runs counted."""

MAX_COMPLETED_FINGERPRINTS = 4096
"""Maximum number of fingerprints whose completed runs are counted, of about 200 bytes
each. Only frequent requests need to be remembered."""


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Strike in a form for another host, whose clock differs.

    Parameters
    ----------
    strike : Strike
        Strike with the crashed target.
    age_seconds : float
        Time since the strike was recorded.
    """

    strike: Strike
    age_seconds: float


class StrikeTracker:
    """Strikes of all fingerprints of one slot, managed by its holder.

    Parameters
    ----------
    max_fingerprints : int
        Maximum number of stored fingerprints.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self.max_fingerprints = max_fingerprints
        self._crash_times = {}
        self._completions: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def record_strike(self, now: float, strike: Strike) -> Clear | Suspect | Refused:
        """Record a crash and return the new status; repeated reports are ignored."""
        self._record(now, strike)
        return self.status_of(now, strike.fingerprint)

    def record_success(self, now: float, fingerprint: str) -> None:
        """Record that a target completed the request.

        That clears a single strike. One run doesn't clear a refused request, since a
        target may survive by chance or because it runs another version.
        """
        self.record_completions(
            now, fingerprint, self.n_completions(now, fingerprint) + 1
        )
        times = self._crash_times.get(fingerprint, ())
        if len(times) < STRIKES_TO_REFUSE:
            self._crash_times.pop(fingerprint, None)

    def record_completions(self, now: float, fingerprint: str, number: int) -> None:
        """Record that targets completed the request at least so many times.

        Parameters
        ----------
        now : float
        fingerprint : str
        number : int
            Completed runs in the last `STRIKE_RETENTION_SECONDS`, at one host.
        """
        known = self.n_completions(now, fingerprint)
        number = min(max(known, number), MAX_STRIKES_PER_FINGERPRINT)
        self._completions[fingerprint] = (number, now)
        self._completions.move_to_end(fingerprint)
        if len(self._completions) > MAX_COMPLETED_FINGERPRINTS:
            self._completions.popitem(last=False)

    def n_completions(self, now: float, fingerprint: str) -> int:
        """Return how often targets completed the request, as far as that counts."""
        number, at = self._completions.get(fingerprint, (0, now))
        return number if now - at < STRIKE_RETENTION_SECONDS else 0

    def status_of(self, now: float, fingerprint: str) -> Clear | Suspect | Refused:
        """Return the status of a request."""
        times = self._crash_times.get(fingerprint)
        if times is None:
            return Clear()
        last = max(times.values())
        if len(times) >= STRIKES_TO_REFUSE and now < last + REFUSAL_SECONDS:
            if len(times) <= self.n_completions(now, fingerprint):
                return Clear()
            return Refused(last + REFUSAL_SECONDS - now)
        if now < last + STRIKE_RETENTION_SECONDS and len(times) < STRIKES_TO_REFUSE:
            return Suspect()
        del self._crash_times[fingerprint]
        return Clear()

    def export(self, now: float) -> tuple[StrikeRecord, ...]:
        """Return all strikes, for the slot's next holder."""
        return tuple(
            StrikeRecord(Strike(fingerprint, target, incarnation), now - recorded_at)
            for fingerprint, times in self._crash_times.items()
            for (target, incarnation), recorded_at in times.items()
        )

    def merge(self, now: float, records: tuple[StrikeRecord, ...]) -> None:
        """Add the strikes of another tracker, in any order and possibly repeated."""
        for record in records:
            self._record(now - max(0.0, record.age_seconds), record.strike)

    def _record(self, recorded_at, strike):
        known = self._crash_times.get(strike.fingerprint, {})
        newest = max(recorded_at, *known.values()) if known else recorded_at
        # Two crashes a day apart are a coincidence. If the first were stored until the
        # next status lookup, the second could cause a refusal.
        times = {
            c: t for c, t in known.items() if newest - t < STRIKE_RETENTION_SECONDS
        }
        if newest - recorded_at < STRIKE_RETENTION_SECONDS:
            crash = (strike.target, strike.incarnation)
            times[crash] = min(recorded_at, times.get(crash, recorded_at))
        self._crash_times[strike.fingerprint] = times
        if len(times) > MAX_STRIKES_PER_FINGERPRINT:
            del times[min(times, key=lambda c: (times[c], c))]
        if len(self._crash_times) > self.max_fingerprints:
            self._evict()

    def _evict(self):
        """Evict a quarter of the fingerprints: those with few and old strikes first."""
        n_drop = max(1, self.max_fingerprints // 4)
        evicted = heapq.nsmallest(n_drop, self._crash_times.items(), key=_eviction_key)
        for fingerprint, _ in evicted:
            del self._crash_times[fingerprint]


def _eviction_key(item):
    _, times = item
    return (min(len(times), STRIKES_TO_REFUSE), max(times.values()))

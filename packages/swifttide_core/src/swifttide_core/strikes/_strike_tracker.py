"""Refuse requests that crash each target that executes them.

Load pattern: a single request crashes its target, and its caller sends it again,
through any entry host and with any program id.

Without this module, one caller could crash the targets of a zone one after the other,
together with all the requests that they were executing.

A request is refused after two strikes. One strike is not sufficient, since a crash
affects all requests in the batch of the target and may be a coincidence; a harmless
request is cleared by the first target that completes it. Equal requests may come all
the time, and some of them are at any target that crashes: a request isn't refused while
completed runs surround its strikes. A refusal lasts ten minutes, which is long compared
with the retries of a caller, and short enough to notice that a new version of the
engine handles the request.
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
"""Maximum number of strikes stored per fingerprint; more than two have no effect."""

COMPLETION_WINDOW_SECONDS = 10.0
"""Time before the last strike in which completed runs speak for a request. A crash is
noticed seconds after it, and a request that crashes targets from now on completes no
more."""

MAX_COMPLETED_FINGERPRINTS = 4096
"""Maximum number of fingerprints whose completed runs are stored, of about 200 bytes
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
        # Times of the last two completed runs, the earlier one first.
        self._completions: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def record_strike(self, now: float, strike: Strike) -> Clear | Suspect | Refused:
        """Record a crash and return the new status; repeated reports are ignored."""
        self._record(now, strike)
        return self.status_of(now, strike.fingerprint)

    def record_success(self, now: float, fingerprint: str) -> None:
        """Record that a target completed the request.

        That clears a single strike. One run doesn't clear a refused request, since a
        target may survive by chance or because it runs another version; two do.
        """
        _, last = self._completions.get(fingerprint, (0.0, float("-inf")))
        self._store_completions(fingerprint, last, now)
        times = self._crash_times.get(fingerprint, ())
        if len(times) < STRIKES_TO_REFUSE:
            self._crash_times.pop(fingerprint, None)

    def record_completions(self, at: float, fingerprint: str) -> None:
        """Record that targets completed the request twice since a time."""
        first, last = self._completions.get(fingerprint, (at, at))
        self._store_completions(fingerprint, max(first, at), max(last, at))

    def completed_twice_since(self, fingerprint: str) -> float | None:
        """Return the time since which two runs were completed; None without two."""
        first, _ = self._completions.get(fingerprint, (float("-inf"), 0.0))
        return first if first > float("-inf") else None

    def _store_completions(self, fingerprint, first, last):
        self._completions[fingerprint] = (first, last)
        self._completions.move_to_end(fingerprint)
        if len(self._completions) > MAX_COMPLETED_FINGERPRINTS:
            self._completions.popitem(last=False)

    def status_of(self, now: float, fingerprint: str) -> Clear | Suspect | Refused:
        """Return the status of a request."""
        times = self._crash_times.get(fingerprint)
        if times is None:
            return Clear()
        last = max(times.values())
        if len(times) >= STRIKES_TO_REFUSE and now < last + REFUSAL_SECONDS:
            completed_at = self.completed_twice_since(fingerprint)
            until = last - COMPLETION_WINDOW_SECONDS
            if completed_at is not None and completed_at >= until:
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

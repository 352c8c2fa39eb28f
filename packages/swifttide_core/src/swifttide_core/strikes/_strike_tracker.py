"""Refusing requests that crash each target that runs them.

Load pattern: a single request kills its target, and its caller sends it again,
through any entry host and under any program id.

Without it: one caller takes down the targets of a zone one after the other, and
with each of them all the requests that it was running.

Grounds: two strikes, because a target that dies takes a batch of innocent
requests along, and one crash may be chance; an innocent request is cleared by the
first target that runs it to its end. The refusal lasts ten minutes: long against
a caller's retries, short enough to see that a new version of the engine copes.
"""

import heapq
from dataclasses import dataclass

from swifttide_core.strikes._strike import Strike
from swifttide_core.strikes._strike_status import Clear, Refused, Suspect

STRIKES_TO_REFUSE = 2
"""Crashes after which a request is refused."""

REFUSAL_SECONDS = 600.0
"""How long a refusal lasts, counted from the last strike."""

STRIKE_RETENTION_SECONDS = 600.0
"""How long a strike counts for another one."""

MAX_FINGERPRINTS = 4096
"""Fingerprints kept by one book, some 400 bytes each."""

MAX_STRIKES_PER_FINGERPRINT = 4
"""Strikes kept per fingerprint; more than two change nothing."""


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """One strike on its way to another host, whose clock is another.

    Parameters
    ----------
    strike : Strike
        The crash.
    age_seconds : float
        How long ago it was noted.
    """

    strike: Strike
    age_seconds: float


class StrikeTracker:
    """Strikes of the fingerprints of one slot, at its holder.

    Parameters
    ----------
    max_fingerprints : int
        Bound of its memory.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self.max_fingerprints = max_fingerprints
        self._crash_times = {}

    def record_strike(self, now: float, strike: Strike) -> Clear | Suspect | Refused:
        """Note a crash; the same crash again changes nothing."""
        self._record(now, strike)
        return self.status_of(now, strike.fingerprint)

    def record_success(self, now: float, fingerprint: str) -> None:
        """Note that a target ran the request to its end.

        A request that is refused stays refused: a target may survive by chance,
        or by running another version.
        """
        if not isinstance(self.status_of(now, fingerprint), Refused):
            self._crash_times.pop(fingerprint, None)

    def status_of(self, now: float, fingerprint: str) -> Clear | Suspect | Refused:
        """Return what is held against a request."""
        times = self._crash_times.get(fingerprint)
        if times is None:
            return Clear()
        last = max(times.values())
        if len(times) >= STRIKES_TO_REFUSE and now < last + REFUSAL_SECONDS:
            return Refused(last + REFUSAL_SECONDS - now)
        if now < last + STRIKE_RETENTION_SECONDS and len(times) < STRIKES_TO_REFUSE:
            return Suspect()
        del self._crash_times[fingerprint]
        return Clear()

    def export(self, now: float) -> tuple[StrikeRecord, ...]:
        """Return all strikes, for the slot's next holder."""
        return tuple(
            StrikeRecord(Strike(fingerprint, target, incarnation), now - noted)
            for fingerprint, times in self._crash_times.items()
            for (target, incarnation), noted in times.items()
        )

    def merge(self, now: float, records: tuple[StrikeRecord, ...]) -> None:
        """Take in another book's strikes; the order and repeats don't matter."""
        for record in records:
            self._record(now - max(0.0, record.age_seconds), record.strike)

    def _record(self, noted, strike):
        known = self._crash_times.get(strike.fingerprint, {})
        newest = max(noted, *known.values()) if known else noted
        # Two crashes a day apart are chance. Kept until somebody happens to ask, the
        # first would make the second a refusal now and then.
        times = {
            c: t for c, t in known.items() if newest - t < STRIKE_RETENTION_SECONDS
        }
        if newest - noted < STRIKE_RETENTION_SECONDS:
            crash = (strike.target, strike.incarnation)
            times[crash] = min(noted, times.get(crash, noted))
        self._crash_times[strike.fingerprint] = times
        if len(times) > MAX_STRIKES_PER_FINGERPRINT:
            del times[min(times, key=lambda c: (times[c], c))]
        if len(self._crash_times) > self.max_fingerprints:
            self._evict()

    def _evict(self):
        """Drop the quarter that matters least: few strikes, long ago."""
        n_drop = max(1, self.max_fingerprints // 4)
        least = heapq.nsmallest(n_drop, self._crash_times.items(), key=_eviction_key)
        for fingerprint, _ in least:
            del self._crash_times[fingerprint]


def _eviction_key(item):
    _, times = item
    return (min(len(times), STRIKES_TO_REFUSE), max(times.values()))

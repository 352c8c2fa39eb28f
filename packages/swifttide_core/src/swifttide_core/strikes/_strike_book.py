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

from swifttide_core.strikes._standing import Clear, Refused, Suspect
from swifttide_core.strikes._strike import Strike

STRIKES_TO_REFUSE = 2
"""Crashes after which a request is refused."""

REFUSE_SECONDS = 600.0
"""How long a refusal lasts, counted from the last strike."""

MEMORY_SECONDS = 600.0
"""How long a strike counts for another one."""

MAX_FINGERPRINTS = 4096
"""Fingerprints kept by one book, some 400 bytes each."""

MAX_STRIKES = 4
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


class StrikeBook:
    """Strikes of the fingerprints of one slot, at its holder.

    Parameters
    ----------
    max_fingerprints : int
        Bound of its memory.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self.max_fingerprints = max_fingerprints
        self._times = {}

    def strike(self, now: float, strike: Strike) -> Clear | Suspect | Refused:
        """Note a crash; the same crash again changes nothing."""
        self._note(now, strike)
        return self.standing(now, strike.fingerprint)

    def ran(self, now: float, fingerprint: str) -> None:
        """Note that a target ran the request to its end.

        A request that is refused stays refused: a target may survive by chance,
        or by running another version.
        """
        if not isinstance(self.standing(now, fingerprint), Refused):
            self._times.pop(fingerprint, None)

    def standing(self, now: float, fingerprint: str) -> Clear | Suspect | Refused:
        """Return what is held against a request."""
        times = self._times.get(fingerprint)
        if times is None:
            return Clear()
        last = max(times.values())
        if len(times) >= STRIKES_TO_REFUSE and now < last + REFUSE_SECONDS:
            return Refused(last + REFUSE_SECONDS - now)
        if now < last + MEMORY_SECONDS and len(times) < STRIKES_TO_REFUSE:
            return Suspect()
        del self._times[fingerprint]
        return Clear()

    def export(self, now: float) -> tuple[StrikeRecord, ...]:
        """Return all strikes, for the slot's next holder."""
        return tuple(
            StrikeRecord(Strike(fingerprint, target, incarnation), now - noted)
            for fingerprint, times in self._times.items()
            for (target, incarnation), noted in times.items()
        )

    def merge(self, now: float, records: tuple[StrikeRecord, ...]) -> None:
        """Take in another book's strikes; the order and repeats don't matter."""
        for record in records:
            self._note(now - max(0.0, record.age_seconds), record.strike)

    def _note(self, noted, strike):
        known = self._times.get(strike.fingerprint, {})
        newest = max(noted, *known.values()) if known else noted
        # Two crashes a day apart are chance. Kept until somebody happens to ask, the
        # first would make the second a refusal now and then.
        times = {c: t for c, t in known.items() if newest - t < MEMORY_SECONDS}
        if newest - noted < MEMORY_SECONDS:
            crash = (strike.target, strike.incarnation)
            times[crash] = min(noted, times.get(crash, noted))
        self._times[strike.fingerprint] = times
        if len(times) > MAX_STRIKES:
            del times[min(times, key=lambda c: (times[c], c))]
        if len(self._times) > self.max_fingerprints:
            self._forget()

    def _forget(self):
        """Drop the quarter that matters least: few strikes, long ago."""
        n_drop = max(1, self.max_fingerprints // 4)
        least = heapq.nsmallest(n_drop, self._times.items(), key=_weight)
        for fingerprint, _ in least:
            del self._times[fingerprint]


def _weight(item):
    _, times = item
    return (min(len(times), STRIKES_TO_REFUSE), max(times.values()))

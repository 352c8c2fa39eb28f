"""Records requests that crash targets, and shares these records with all hosts.

A strike is held against a request that was running at a target when the target's
process ended. From broken connections, refused connections and the targets' entries
this module concludes which targets have crashed, and from the strikes and the completed
runs of all hosts whether a request has to be refused. Completed runs are told to other
hosts only once there is a strike against the request. A process that has just started
is told the strikes that are in force: it would let requests crash targets again.
"""

import asyncio
import random
from collections import deque

from swifttide_core.forwarding import TargetEntry
from swifttide_core.strikes import (
    Clear,
    CrashClassifier,
    Refused,
    Strike,
    StrikeRecord,
    StrikeTracker,
    Suspect,
)
from swifttide_daemon.telemetry import EventLog

STRIKE_BROADCAST_SECONDS = 2.0
"""Time for which a strike is sent in this host's beacons; ten beacons fit into it."""

MAX_TRACKED_TARGETS = 2_048
"""Maximum number of targets with broken requests that are remembered."""

UNKNOWN_INCARNATION = "gone"
"""Stands for the unknown next process of a target that refuses connections."""


class StrikeKeeper:
    """Distinguishes crashes from network partitions and records the requests involved.

    Parameters
    ----------
    log : EventLog
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._tracker = StrikeTracker()
        self._classifiers: dict[str, CrashClassifier] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._recent_strikes: deque[tuple[float, Strike]] = deque()
        self._struck_at: dict[str, float] = {}
        self._newcomers_until = float("-inf")

    def record_broken_request(self, fingerprint: str, target: TargetEntry) -> None:
        """Record a request whose connection broke while it was at the target."""
        classifier = self._classifiers.setdefault(target.id, CrashClassifier(target.id))
        classifier.record_broken_request(fingerprint, str(target.started_ms))
        if len(self._addresses) >= MAX_TRACKED_TARGETS:
            self._forget(next(iter(self._addresses)))
        self._addresses[target.id] = (target.ip, target.port)

    def record_refused_connection(self, target_id: str) -> None:
        """Record that nothing listens at a target's address any longer.

        A mere loss of contact is no evidence of a crash: a target beyond a network
        partition is unreachable and loses its entry too, and the requests that it was
        running are not at fault.
        """
        self._classify(target_id, UNKNOWN_INCARNATION)

    def record_entry(self, target: TargetEntry) -> None:
        """Record a target's entry; another start at its address means that it ended."""
        self._classify(target.id, str(target.started_ms))
        address = (target.ip, target.port)
        for other, known in list(self._addresses.items()):
            if known == address and other != target.id:
                self._classify(other, UNKNOWN_INCARNATION)
                self._forget(other)

    def _forget(self, target_id):
        self._classifiers.pop(target_id, None)
        self._addresses.pop(target_id, None)

    def record_success(self, fingerprint: str) -> None:
        """Record that a target has completed a request."""
        self._tracker.record_success(self._now(), fingerprint)

    def status_of(self, fingerprint: str) -> Clear | Suspect | Refused:
        """Return whether a request is clear, suspect or refused."""
        return self._tracker.status_of(self._now(), fingerprint)

    def add_remote_strikes(self, strikes: list[tuple[str, str, str]]) -> None:
        """Add the strikes that another host has sent."""
        now = self._now()
        for fingerprint, target, incarnation in strikes:
            self._tracker.record_strike(now, Strike(fingerprint, target, incarnation))
            self._struck_at[fingerprint] = now

    def welcome(self) -> None:
        """Tell all strikes in force for some time, as a process has just started."""
        self._newcomers_until = self._now() + STRIKE_BROADCAST_SECONDS

    def standing_strikes(self, most: int) -> list[tuple[str, str, str, float]]:
        """Return strikes in force, with their ages, while there are newcomers.

        Strikes of requests that are refused come first, in random order: over several
        beacons, all of them are told.
        """
        now = self._now()
        if now >= self._newcomers_until:
            return []
        records = [
            record
            for record in self._tracker.export(now)
            if self.status_of(record.strike.fingerprint) != Clear()
        ]
        random.shuffle(records)
        records.sort(key=lambda r: not self._is_refused(r.strike.fingerprint))
        return [
            (r.strike.fingerprint, r.strike.target, r.strike.incarnation, r.age_seconds)
            for r in records[:most]
        ]

    def add_standing_strikes(self, strikes: list[tuple[str, str, str, float]]) -> None:
        """Add strikes in force that another host has told newcomers."""
        records = tuple(StrikeRecord(Strike(*rest), age) for *rest, age in strikes)
        self._tracker.merge(self._now(), records)

    def _is_refused(self, fingerprint):
        return isinstance(self.status_of(fingerprint), Refused)

    def add_remote_completions(self, ages: dict[str, float]) -> None:
        """Add since when targets completed requests with strikes twice.

        Parameters
        ----------
        ages : dict of str to float
            Seconds since then, by fingerprint.
        """
        for fingerprint, age in ages.items():
            self._tracker.record_completions(self._now() - age, fingerprint)

    def completions_to_broadcast(self) -> dict[str, float]:
        """Return since how many seconds requests with recent strikes ran twice."""
        now = self._now()
        self._struck_at = {
            fingerprint: at
            for fingerprint, at in self._struck_at.items()
            if now - at <= STRIKE_BROADCAST_SECONDS
        }
        times = {f: self._tracker.completed_twice_since(f) for f in self._struck_at}
        return {f: max(0.0, now - at) for f, at in times.items() if at is not None}

    def strikes_to_broadcast(self) -> list[tuple[str, str, str]]:
        """Return the recent strikes of this host to send to other hosts."""
        now = self._now()
        while (
            self._recent_strikes
            and now - self._recent_strikes[0][0] > STRIKE_BROADCAST_SECONDS
        ):
            self._recent_strikes.popleft()
        return [
            (s.fingerprint, s.target, s.incarnation) for _, s in self._recent_strikes
        ]

    def _classify(self, target_id, incarnation):
        classifier = self._classifiers.get(target_id)
        if classifier is None:
            return
        for strike in classifier.classify(incarnation):
            self._add(strike)

    def _add(self, strike):
        now = self._now()
        self._tracker.record_strike(now, strike)
        self._recent_strikes.append((now, strike))
        self._struck_at[strike.fingerprint] = now
        self._log.warning(
            "strike", fingerprint=strike.fingerprint, target=strike.target
        )

    def _now(self):
        return asyncio.get_running_loop().time()

"""Which targets are cold, and how many requests each may get."""

import asyncio
from collections.abc import Sequence

from swifttide_core.admission import (
    ColdTargetLimits,
    ReadyTargets,
    SchedulerStanding,
    TargetRateLimiter,
)
from swifttide_core.forwarding import ServiceSpec, TargetEntry
from swifttide_daemon.telemetry import EventLog

MARGIN_SECONDS = 0.5
"""A target counts as cold for so much longer than it said: for the way of its entry,
and for work that was sent before its end."""

MAX_COLD_SECONDS = 60.0
"""A target that says more is believed for so long; each entry begins anew."""


class ColdTargets:
    """Remembers cold targets and what may be sent to them.

    Parameters
    ----------
    excess, extra : float
        A cold target may get this many times what it bears in a second, and so many
        requests more.
    log : EventLog
    """

    def __init__(self, excess: float, extra: float, log: EventLog):
        self._excess = excess
        self._extra = extra
        self._log = log
        self._until: dict[str, float] = {}
        self._odd: set[str] = set()
        self._pace = TargetRateLimiter()

    def terms(self, service: ServiceSpec) -> ColdTargetLimits:
        """Return what cold targets of a service bear."""
        bears = service.cold_requests_per_second
        return ColdTargetLimits(bears, bears * self._excess + self._extra)

    def is_cold(self, target_id: str) -> bool:
        """Whether a target is known to be cold."""
        return _now() < self._until.get(target_id, float("-inf"))

    def told(self, entry: TargetEntry, service: ServiceSpec, is_new: bool) -> bool:
        """Take a target's entry; return whether it turned cold.

        Parameters
        ----------
        entry : TargetEntry
        service : ServiceSpec
        is_new : bool
            Whether its process wasn't known before.
        """
        seconds = entry.cold_seconds
        if seconds is None or seconds > MAX_COLD_SECONDS:
            self._note_odd(entry)
            usual = service.cold_seconds if is_new else 0.0
            seconds = usual if seconds is None else MAX_COLD_SECONDS
        return self.mark(entry.id, seconds)

    def mark(self, target_id: str, seconds: float) -> bool:
        """Count a target as cold for some time; return whether it wasn't before."""
        if seconds <= 0.0:
            return False
        was_cold = self.is_cold(target_id)
        until = _now() + seconds + MARGIN_SECONDS
        self._until[target_id] = max(until, self._until.get(target_id, until))
        if not was_cold:
            self._log.info("target_cold", target=target_id, seconds=round(seconds, 3))
        return not was_cold

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left."""
        self._until.pop(target_id, None)
        self._odd.discard(target_id)
        self._pace.forget(target_id)

    def keeper_limits(
        self,
        service: ServiceSpec,
        targets: Sequence[TargetEntry],
        standing: SchedulerStanding,
        heard_part: float,
    ) -> dict[str, float] | None:
        """Return what a keeper may send to each target in a second.

        None where nothing binds. See `ColdTargetLimits.scheduler_limit` for the
        parameters.
        """
        terms = self.terms(service)
        if not terms.is_limited:
            return None
        return {
            t.id: terms.scheduler_limit(self.is_cold(t.id), standing, heard_part)
            for t in targets
        }

    def within_share(
        self, service: ServiceSpec, targets: Sequence[TargetEntry], n_hosts: int
    ) -> tuple[list[TargetEntry], float]:
        """Return the targets to which this host may send without a keeper.

        Cold ones come in question where no other is left.

        Returns
        -------
        targets : list of TargetEntry
        wait_seconds : float
            Until there is one, where there is none.
        """
        terms = self.terms(service)
        if not terms.is_limited:
            return list(targets), 0.0
        limit = terms.unscheduled_host_limit(n_hosts)
        paced = ReadyTargets.within_limits(
            self._pace, {t.id: limit for t in targets}, _now()
        )
        found = [t for t in targets if t.id in paced.targets]
        warm = [t for t in found if not self.is_cold(t.id)]
        return warm or found, paced.wait_seconds

    def sent_alone(self, target_id: str) -> None:
        """Count a request that is sent without a keeper."""
        self._pace.record(target_id, _now())

    def _note_odd(self, entry):
        if entry.id in self._odd:
            return
        self._odd.add(entry.id)
        self._log.warning(
            "target_cold_time_odd", target=entry.id, seconds=entry.cold_seconds
        )


def _now() -> float:
    return asyncio.get_running_loop().time()

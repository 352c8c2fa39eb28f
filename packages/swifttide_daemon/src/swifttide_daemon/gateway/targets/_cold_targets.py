"""Tracks cold targets and limits the rate of requests that each target gets.

A cold target can serve only a low rate; its entry says for how many more seconds. From
the entries and the service's settings this module decides which targets are cold and
how many requests per second each target may get, from the keeper of the order of turns
and from a host that sends without a keeper. Targets that are not known to be cold are
limited too, with a higher rate. Without the limits, cold targets crash when all hosts
send to them at once.
"""

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

COLD_MARGIN_SECONDS = 0.5
"""Time that is added to the cold time that a target reports. It covers the delay with
which the entry arrives and the work that was sent before the cold time ended."""

MAX_COLD_SECONDS = 60.0
"""Upper bound of a reported cold time. It applies to each entry anew."""


class ColdTargets:
    """Remembers until when targets are cold, and limits the requests sent to them.

    Parameters
    ----------
    excess, extra : float
        The limit of a cold target, in requests per second, is ``excess`` times the
        rate that it can serve, plus ``extra``.
    log : EventLog
    """

    def __init__(self, excess: float, extra: float, log: EventLog):
        self._excess = excess
        self._extra = extra
        self._log = log
        self._cold_until: dict[str, float] = {}
        self._warned_ids: set[str] = set()
        self._pace = TargetRateLimiter()

    def terms(self, service: ServiceSpec) -> ColdTargetLimits:
        """Return the limits for the cold targets of a service."""
        base_rate = service.cold_requests_per_second
        return ColdTargetLimits(base_rate, base_rate * self._excess + self._extra)

    def is_cold(self, target_id: str) -> bool:
        """Return whether a target is known to be cold."""
        return _now() < self._cold_until.get(target_id, float("-inf"))

    def update_from_entry(
        self, entry: TargetEntry, service: ServiceSpec, is_new: bool
    ) -> bool:
        """Update the cold time from a target's entry; return whether it turned cold.

        Parameters
        ----------
        entry : TargetEntry
        service : ServiceSpec
        is_new : bool
            Whether the entry belongs to a process that was not known before. Such a
            target counts as cold for its service's usual time if it reports none.
        """
        seconds = entry.cold_seconds
        if seconds is None or seconds > MAX_COLD_SECONDS:
            self._warn_invalid_cold_seconds(entry)
            usual = service.cold_seconds if is_new else 0.0
            seconds = usual if seconds is None else MAX_COLD_SECONDS
        return self.mark_cold(entry.id, seconds)

    def mark_cold(self, target_id: str, seconds: float) -> bool:
        """Treat a target as cold for a time; return whether it was not cold before."""
        if seconds <= 0.0:
            return False
        was_cold = self.is_cold(target_id)
        until = _now() + seconds + COLD_MARGIN_SECONDS
        self._cold_until[target_id] = max(until, self._cold_until.get(target_id, until))
        if not was_cold:
            self._log.info("target_cold", target=target_id, seconds=round(seconds, 3))
        return not was_cold

    def forget(self, target_id: str) -> None:
        """Remove the state of a target that has left."""
        self._cold_until.pop(target_id, None)
        self._warned_ids.discard(target_id)
        self._pace.forget(target_id)

    def keeper_limits(
        self,
        service: ServiceSpec,
        targets: Sequence[TargetEntry],
        standing: SchedulerStanding,
        heard_fraction: float,
    ) -> dict[str, float] | None:
        """Return how many requests per second a keeper may send to each target.

        The result is None if the service sets no limit. See
        `ColdTargetLimits.scheduler_limit` for the parameters.
        """
        terms = self.terms(service)
        if not terms.is_limited:
            return None
        return {
            t.id: terms.scheduler_limit(self.is_cold(t.id), standing, heard_fraction)
            for t in targets
        }

    def targets_within_share(
        self, service: ServiceSpec, targets: Sequence[TargetEntry], n_hosts: int
    ) -> tuple[list[TargetEntry], float]:
        """Return the targets to which this host may send without a keeper.

        Without an answer of the keeper, each host keeps to its own share of the limit.
        Cold targets are returned only if no other target is within its limit.

        Returns
        -------
        targets : list of TargetEntry
        wait_seconds : float
            Time until a target is within its limit, if the list is empty.
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

    def record_unkept_request(self, target_id: str) -> None:
        """Count a request that this host sends without a keeper's placement."""
        self._pace.record(target_id, _now())

    def _warn_invalid_cold_seconds(self, entry):
        if entry.id in self._warned_ids:
            return
        self._warned_ids.add(entry.id)
        self._log.warning(
            "target_cold_time_odd", target=entry.id, seconds=entry.cold_seconds
        )


def _now() -> float:
    return asyncio.get_running_loop().time()

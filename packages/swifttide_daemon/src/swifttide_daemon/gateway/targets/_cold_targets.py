"""Which targets are cold, and how many requests each may get."""

import asyncio
from collections.abc import Sequence

from swifttide_core.admission import ColdTerms, KeeperStanding, Paced, TargetPace
from swifttide_core.forwarding import ServiceSpec, TargetEntry
from swifttide_daemon.telemetry import EventLog

COLD_MARGIN_SECONDS = 0.5
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
        self._cold_until: dict[str, float] = {}
        self._warned_ids: set[str] = set()
        self._pace = TargetPace()

    def terms(self, service: ServiceSpec) -> ColdTerms:
        """Return what cold targets of a service bear."""
        bears = service.cold_requests_per_second
        return ColdTerms(bears, bears * self._excess + self._extra)

    def is_cold(self, target_id: str) -> bool:
        """Whether a target is known to be cold."""
        return _now() < self._cold_until.get(target_id, float("-inf"))

    def update_from_entry(
        self, entry: TargetEntry, service: ServiceSpec, is_new: bool
    ) -> bool:
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
            self._warn_invalid_cold_seconds(entry)
            usual = service.cold_seconds if is_new else 0.0
            seconds = usual if seconds is None else MAX_COLD_SECONDS
        return self.mark_cold(entry.id, seconds)

    def mark_cold(self, target_id: str, seconds: float) -> bool:
        """Count a target as cold for some time; return whether it wasn't before."""
        if seconds <= 0.0:
            return False
        was_cold = self.is_cold(target_id)
        until = _now() + seconds + COLD_MARGIN_SECONDS
        self._cold_until[target_id] = max(until, self._cold_until.get(target_id, until))
        if not was_cold:
            self._log.info("target_cold", target=target_id, seconds=round(seconds, 3))
        return not was_cold

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left."""
        self._cold_until.pop(target_id, None)
        self._warned_ids.discard(target_id)
        self._pace.forget(target_id)

    def keeper_limits(
        self,
        service: ServiceSpec,
        targets: Sequence[TargetEntry],
        standing: KeeperStanding,
        heard_fraction: float,
    ) -> dict[str, float] | None:
        """Return what a keeper may send to each target in a second.

        None where nothing binds. See `ColdTerms.keeper_limit` for the parameters.
        """
        terms = self.terms(service)
        if not terms.binds:
            return None
        return {
            t.id: terms.keeper_limit(self.is_cold(t.id), standing, heard_fraction)
            for t in targets
        }

    def targets_within_share(
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
        if not terms.binds:
            return list(targets), 0.0
        limit = terms.host_limit(n_hosts)
        paced = Paced.of(self._pace, {t.id: limit for t in targets}, _now())
        found = [t for t in targets if t.id in paced.targets]
        warm = [t for t in found if not self.is_cold(t.id)]
        return warm or found, paced.wait_seconds

    def record_unkept_request(self, target_id: str) -> None:
        """Count a request that is sent without a keeper."""
        self._pace.note(target_id, _now())

    def _warn_invalid_cold_seconds(self, entry):
        if entry.id in self._warned_ids:
            return
        self._warned_ids.add(entry.id)
        self._log.warning(
            "target_cold_time_odd", target=entry.id, seconds=entry.cold_seconds
        )


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Keeps the host's view of the configuration and of the targets, its *beliefs*.

The view is built from rows of the shared store, and may be outdated.
"""

import asyncio
from collections.abc import Callable, Set
from dataclasses import replace

from swifttide_core.forwarding import (
    AllowedRegions,
    RegionMap,
    RequestLimits,
    RoutingConfig,
    ServiceSpec,
    TargetEntry,
    ZoneRules,
    exclusion_reason,
)
from swifttide_core.resumption import ServiceVersions, VersionHistory, VersionsSeen
from swifttide_daemon.gateway.targets._cold_targets import ColdTargets
from swifttide_daemon.telemetry import EventLog

ENTRY_RETURN_TIMEOUT_SECONDS = 2.5
"""Time after the end of a store outage until targets without an entry are removed.
Targets renew entries that expired in the outage within two seconds of its end; half a
second is added for the transfer."""


class Beliefs:
    """Current configuration and targets in service, as this host knows them.

    Parameters
    ----------
    on_left : callable
        Takes the id of each target that is permanently removed.
    log : EventLog
    regions : RegionMap
        Maps availability zones to regions.
    cold : ColdTargets
        Records targets that may be cold, i.e. have reduced capacity after idle time or
        a start.

    Attributes
    ----------
    config : RoutingConfig or None
        Current configuration; None before the first one is known.
    targets : dict of str to TargetEntry
        Targets by id.
    targets_known : bool
        Whether the list of targets has been read at least once.
    """

    def __init__(
        self,
        on_left: Callable[[str], None],
        log: EventLog,
        regions: RegionMap | None = None,
        cold: ColdTargets | None = None,
    ):
        self._on_left = on_left
        self._log = log
        self.config: RoutingConfig | None = None
        self.targets: dict[str, TargetEntry] = {}
        self.targets_known = False
        self._zones = ZoneRules(regions or RegionMap())
        self.cold = cold or ColdTargets(1.0, 0.0, log)
        self._store_back_at = float("-inf")
        self._is_store_unavailable = False
        self._lapsing: dict[str, float] = {}
        self._versions = VersionHistory()
        self._longest_timeouts: dict[str, float] = {}

    @property
    def emptied_zones(self) -> Set[str]:
        """Availability zones that are drained: their targets get no new requests."""
        return self._zones.emptied

    @property
    def is_complete(self) -> bool:
        """Whether configuration and targets are known, as needed to serve requests."""
        return self.config is not None and self.targets_known

    @property
    def limits(self) -> RequestLimits:
        """Limits on callers' requests; defaults while no configuration is known."""
        return self.config.limits if self.config else RequestLimits()

    def apply_config(self, cfg: RoutingConfig, source: str) -> bool:
        """Apply a configuration unless the current one is the same or newer.

        Returns whether it was applied. Without the version check, a stale read from the
        store or a late message of another host would revert a configuration that the
        operator was told to be in effect.
        """
        if self.config is not None and cfg.version <= self.config.version:
            return False
        before = self.config.version if self.config else 0
        self.config = cfg
        for route in cfg.routes:
            for weighted in route.services:
                self._note_timeout(weighted.service, route.timeout_seconds)
        self._log.info(
            "configuration_taken", version=cfg.version, before=before, source=source
        )
        return True

    def replace_emptied_zones(self, zones: Set[str]) -> None:
        """Set the drained availability zones; all other zones are in use."""
        for zone in self.emptied_zones - zones:
            self.set_zone_emptied(zone, False)
        for zone in zones:
            self.set_zone_emptied(zone, True)

    def set_zone_emptied(self, zone: str, is_emptied: bool) -> bool:
        """Set whether a zone is drained; return whether that is a change."""
        if is_emptied == (zone in self.emptied_zones):
            return False
        emptied = self.emptied_zones ^ {zone}
        self._zones = ZoneRules(self._zones.regions, frozenset(emptied))
        targets = [t for t in self.targets.values() if t.zone == zone]
        event = "zone_emptied" if is_emptied else "zone_taken_back"
        self._log.info(event, target_zone=zone, n_targets=len(targets))
        if not is_emptied:
            # Idle targets may have become cold since their last status report.
            for target in targets:
                self.cold.mark_cold(target.id, self._spec_of(target).cold_seconds)
        return True

    def store_lost(self) -> None:
        """Record that the store does not answer: targets cannot renew their entries."""
        self._is_store_unavailable = True

    def store_returned(self) -> None:
        """Record that the store answers again.

        Targets have `ENTRY_RETURN_TIMEOUT_SECONDS` from now on to renew their entries.
        """
        self._is_store_unavailable = False
        self._store_back_at = asyncio.get_running_loop().time()
        until = self._store_back_at + ENTRY_RETURN_TIMEOUT_SECONDS
        self._lapsing = dict.fromkeys(self._lapsing, until)

    def replace_targets(self, entries: dict[str, TargetEntry]) -> None:
        """Apply the full list of targets; targets that are not in it are removed."""
        self._versions.restart(asyncio.get_running_loop().time())
        for target_id in set(self.targets) - set(entries):
            self.remove_target(target_id)
        for entry in entries.values():
            self.put_target(entry)
        self.targets_known = True

    def put_target(self, entry: TargetEntry) -> bool:
        """Apply a target's entry; return whether it changed this host's view."""
        self._lapsing.pop(entry.id, None)
        known = self.targets.get(entry.id)
        is_new = known is None or known.started_ms != entry.started_ms
        turned_cold = self.cold.update_from_entry(entry, self._spec_of(entry), is_new)
        if known == entry:
            return turned_cold
        if known is not None:
            self._versions.record_left(known, asyncio.get_running_loop().time())
        self.targets[entry.id] = entry
        self._log.info(
            "target_seen",
            target=entry.id,
            service=entry.service,
            zone=entry.zone,
            draining=entry.draining,
            cold_seconds=entry.cold_seconds,
            software_version=entry.software_version,
            started_ms=entry.started_ms,
            restarted=known is not None and known.started_ms != entry.started_ms,
        )
        return True

    def remove_target(self, target_id: str) -> bool:
        """Remove a target, after a delay if its entry may only have expired.

        Returns whether that is a change.

        While the store is unavailable no target can renew its entry. With immediate
        removal, all targets of a service would be gone right after an outage, and
        requests would be refused needlessly.
        """
        now = asyncio.get_running_loop().time()
        if target_id not in self.targets:
            return False
        until = self._store_back_at + ENTRY_RETURN_TIMEOUT_SECONDS
        if now < until:
            self._lapsing.setdefault(target_id, until)
            return True
        return self._drop(target_id, "left")

    def forget_unseen_target(self) -> None:
        """Record that a target came and went unseen, with a version that is unknown."""
        self._versions.restart(asyncio.get_running_loop().time())

    def drop_lapsed(self) -> None:
        """Remove targets whose expired entries were not renewed in time."""
        if self._is_store_unavailable:
            return
        now = asyncio.get_running_loop().time()
        for target_id, until in list(self._lapsing.items()):
            if now >= until:
                del self._lapsing[target_id]
                self._drop(target_id, "not_back")

    def targets_of(
        self, service: str, homes: AllowedRegions = None
    ) -> list[TargetEntry]:
        """Return the targets of a service that accept new requests.

        Parameters
        ----------
        service : str
        homes : frozenset of str or None
            Regions in which the request may be processed. None allows all regions.
        """
        return [
            target
            for target in self.targets.values()
            if target.service == service and self.may_use(target, homes)
        ]

    def may_use(self, target: TargetEntry, homes: AllowedRegions = None) -> bool:
        """Whether a target accepts new requests restricted to these regions."""
        return exclusion_reason(target, self._zones, homes) is None

    @property
    def n_version_restarts(self) -> int:
        """Number of times that the history of versions has begun anew."""
        return self._versions.n_restarts

    def serving_versions(self, service: str) -> frozenset[str]:
        """Return the software versions of the targets that a service has."""
        targets = self.targets.values()
        return frozenset(t.software_version for t in targets if t.service == service)

    def longest_timeout(self, service: str) -> float:
        """Return the longest time-out, in seconds, of a route to a service so far.

        A configuration may shorten it while older requests are under way.
        """
        return self._longest_timeouts.get(service, 0.0)

    def add_noted_versions(
        self, service: str, noted: ServiceVersions, now_ms: int
    ) -> None:
        """Add the versions of a service that all hosts have noted.

        Parameters
        ----------
        service : str
        noted : ServiceVersions
        now_ms : int
            Current time of the store.
        """
        self._note_timeout(service, noted.timeout_seconds)
        now = asyncio.get_running_loop().time()
        self._versions.add_noted(service, noted, now_ms, now)

    def _note_timeout(self, service, seconds):
        longest = max(seconds, self.longest_timeout(service))
        self._longest_timeouts[service] = longest

    def versions_within(self, service: str, seconds: float) -> VersionsSeen:
        """Return the software versions that a service has had lately.

        Parameters
        ----------
        service : str
        seconds : float
            Length of the period that ends now. While the store doesn't answer, other
            hosts may know targets that this one doesn't.
        """
        now = asyncio.get_running_loop().time()
        seen = self._versions.versions_within(
            service, seconds, self.targets.values(), now
        )
        return replace(seen, is_complete=False) if self._is_store_unavailable else seen

    def _spec_of(self, target) -> ServiceSpec:
        if self.config is None:
            return ServiceSpec(target.service)
        return self.config.service(target.service)

    def _drop(self, target_id, reason) -> bool:
        target = self.targets.pop(target_id, None)
        if target is None:
            return False
        self._versions.record_left(target, asyncio.get_running_loop().time())
        self.cold.forget(target_id)
        self._on_left(target_id)
        self._log.info("target_left", target=target_id, reason=reason)
        return True

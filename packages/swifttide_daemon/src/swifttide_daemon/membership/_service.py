"""Membership of this host in its zone, and the assignment of slots to hosts.

One thread monitors the leases of neighbouring hosts, deposes hosts whose lease has
expired, claims free slots and hands over slots to the hosts that should hold them. Two
more keep the lease of this host: one renews it, the other one extends it without the
platform. A platform that doesn't answer may hold up reading and renewing for as long
as a lease lasts. Other threads read from the cached views which host decides for a key.
Keys are hashed to the slots of a zone.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from swifttide_core.membership import (
    HostRow,
    HostState,
    LeaseMonitor,
    LeaseTimes,
    SlotRow,
    assign_slots,
    depose_delay_seconds,
    plan_claims,
    plan_handovers,
    ring_successors,
)
from swifttide_core.slots import SlotKind, slot_of
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.membership._lease_keeper import LeaseKeeper
from swifttide_daemon.membership._moved_slots import MovedSlots
from swifttide_daemon.membership._other_zones import OtherZones
from swifttide_daemon.membership._outage_service import OutageService
from swifttide_daemon.membership._rows import (
    HOSTS,
    SLOTS,
    ZONE_HEADS,
    host_value,
    slot_key,
    slot_value,
)
from swifttide_daemon.membership._zone_reader import ZoneReader
from swifttide_daemon.membership._zone_view import ZoneView
from swifttide_daemon.settings import Settings
from swifttide_daemon.store import (
    Check,
    Committed,
    PlatformClient,
    Transaction,
    Write,
)

log = logging.getLogger(__name__)

EXTENSION_INTERVAL_SECONDS = 0.25
"""Interval of the attempts to extend a lease that is not renewed."""

FULL_READ_INTERVAL_SECONDS = 30.0
"""Interval of full reads of the zone while its head row seems unchanged."""


class MembershipService:
    """Maintains the lease, the slots and the zone view of this host.

    Parameters
    ----------
    keeper : LeaseKeeper
        Lease of this host.
    reader : ZoneReader
    platform : PlatformClient
    times : LeaseTimes
        Durations of the lease and of its renewal interval.
    n_slots : int
        Number of slots of each zone.
    outages : OutageService
        Extends the lease while the platform is unavailable.
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        reader: ZoneReader,
        platform: PlatformClient,
        times: LeaseTimes,
        n_slots: int,
        outages: OutageService,
    ) -> None:
        self.outages = outages
        self.keeper = keeper
        self.reader = reader
        self.platform = platform
        self.times = times
        self.n_slots = n_slots
        self.lease_monitor = LeaseMonitor.from_times(times)
        self.view = ZoneView()
        self.others = OtherZones(reader)
        self._known_head = 0
        self._known_zones: set[str] = set()
        self._held: dict[int, int] = {}
        self._held_incarnation = ""
        self._held_since: dict[int, float] = {}
        self._released_epochs: dict[int, int] = {}
        self._moved_listeners: list[Callable[[MovedSlots], None]] = []
        self._lock = threading.Lock()
        self._leaving = False
        self._logged_holds = False
        self._next_monitor_read_at = 0.0
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._must_renew = threading.Event()
        self._threads = [
            threading.Thread(target=self._repeat, args=args, daemon=True)
            for args in (
                (self._keep_lease, self._must_renew, self.times.renew_seconds),
                (self._refresh, self._wake, self.times.renew_seconds / 2),
                (self._extend, self._stop, EXTENSION_INTERVAL_SECONDS),
            )
        ]

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: PlatformClient,
        keeper: LeaseKeeper,
        outages: OutageService,
    ) -> "MembershipService":
        """Return a service that hasn't been started."""
        return cls(
            keeper=keeper,
            reader=ZoneReader(platform, settings.n_slots),
            platform=platform,
            times=keeper.lease.times,
            n_slots=settings.n_slots,
            outages=outages,
        )

    @property
    def me(self) -> HostRow:
        """Lease row of this host."""
        return self.keeper.row

    def start(self) -> None:
        """Start the threads; the first one registers this host."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; the lease then expires."""
        for event in (self._stop, self._wake, self._must_renew):
            event.set()
        for thread in self._threads:
            thread.join(timeout=self.times.lease_seconds)

    def slot(self, kind: SlotKind, key: str) -> int:
        """Return the slot number that a key hashes to."""
        return slot_of(kind, key, self.n_slots)

    def epoch(self, kind: SlotKind, key: str) -> int | None:
        """Return the epoch of a key's slot, or None if this host doesn't hold it."""
        if not self.keeper.holds():
            return None
        with self._lock:
            if self._held_incarnation != self.me.incarnation:
                # This host was deposed and has registered again.
                return None
            return self._held.get(self.slot(kind, key))

    def fence(self, kind: SlotKind, key: str, epoch: int) -> Check | None:
        """Return a check that fails a write once the key's slot has changed hands.

        Returns None if the slot's epoch in this host's view isn't `epoch`.
        """
        slot = self.slot(kind, key)
        rows = self.view.slots
        if slot >= len(rows) or rows[slot].epoch != epoch:
            return None
        return Check(SLOTS, slot_key(self.me.zone, slot), rows[slot].version)

    def held_since(self, kind: SlotKind, key: str) -> float | None:
        """Return the monotonic time at which this host got a key's slot, or None."""
        with self._lock:
            return self._held_since.get(self.slot(kind, key))

    def on_moved(self, listener: Callable[[MovedSlots], None]) -> None:
        """Register a callback for slots released in a planned handover."""
        self._moved_listeners.append(listener)

    def lease_remaining(self) -> float:
        """Return the seconds for which this host's lease is still valid."""
        return self.keeper.lease.remaining_seconds(elapsed_seconds())

    def holder(self, kind: SlotKind, key: str, zone: str = "") -> HostRow | None:
        """Return the host that holds a key's slot in a zone, or None if no host does.

        An empty `zone` stands for the zone of this host.
        """
        zone = zone or self.me.zone
        slot = self.slot(kind, key)
        found = self._view_of(zone).holder(slot)
        if found is None and zone != self.me.zone:
            found = self.others.reread_view(zone).holder(slot)
        return found

    def has_holders(self) -> bool:
        """Return whether any slot of this host's zone is known to have a holder."""
        view = self.view
        return any(view.holder(slot) is not None for slot in range(len(view.slots)))

    def zone_hosts(self) -> list[HostRow]:
        """Return the hosts of this host's zone that aren't dead, this host included."""
        rows = self.view.hosts.values()
        return [row for row in rows if row.state is not HostState.DEAD]

    def zones(self) -> list[str]:
        """Return this host's zone and the zones added by `add_known_zones`, sorted."""
        return sorted({self.me.zone, *self._known_zones})

    def add_known_zones(self, zones: Iterable[str]) -> None:
        """Add zones, named by the configuration documents of targets."""
        self._known_zones.update(zones)

    def neighbours(self) -> list[HostRow]:
        """Return the hosts whose leases this host monitors."""
        hosts = {row.host: row for row in self.zone_hosts()}
        return [hosts[h] for h in ring_successors(self.me.host, hosts)]

    def random_hosts_of_other_zones(self) -> list[HostRow]:
        """Return one random live host of each other zone."""
        return self.others.random_live_hosts()

    def invalidate_views(self) -> None:
        """Have all zones read again soon.

        Called when a host that holds a slot by the view didn't turn out to hold it.
        """
        self.others.invalidate()
        with self._lock:
            self.view = replace(self.view, outdated=True)
        self._wake.set()

    def newer_views(self, heads: Mapping[str, int]) -> dict[str, ZoneView]:
        """Return the views that are newer than those of a peer.

        Parameters
        ----------
        heads : mapping of str to int
            Head versions of the peer's views by zone; a missing zone isn't sent.
        """
        views = self.others.known_views() | {self.me.zone: self.view}
        return {
            zone: views[zone]
            for zone, head in heads.items()
            if zone in views and views[zone].head_version > head
        }

    def known_heads(self) -> dict[str, int]:
        """Return the head versions of this host's views of all known zones."""
        views = self.others.known_views() | {self.me.zone: self.view}
        return {z: views.get(z, ZoneView()).head_version for z in self.zones()}

    def adopt_views(self, views: Mapping[str, ZoneView]) -> list[str]:
        """Replace views by newer ones of a peer; return their zones.

        Needed while the platform is unavailable. A view that was read just before a
        slot moved would otherwise name no holder, or a wrong one, until its end.
        """
        adopted = []
        for zone, view in views.items():
            fresh = replace(view, read_at=elapsed_seconds())
            is_own = zone == self.me.zone
            if self._adopt(fresh) if is_own else self.others.adopt(zone, fresh):
                adopted.append(zone)
        return adopted

    def random_hosts_of_own_zone(self, n_hosts: int) -> list[HostRow]:
        """Return up to `n_hosts` other hosts of this host's zone, chosen at random."""
        rows = [row for row in self.zone_hosts() if row.host != self.me.host]
        return random.sample(rows, min(n_hosts, len(rows)))

    def hand_over(self) -> bool:
        """Request the release of this host's slots; return whether none is held."""
        self._leaving = True
        self._wake.set()
        with self._lock:
            return not self._held

    def held(self) -> dict[int, int]:
        """Return the epochs of the slots that this host holds, by slot number."""
        with self._lock:
            return dict(self._held)

    def _view_of(self, zone: str) -> ZoneView:
        return self.view if zone == self.me.zone else self.others.view(zone)

    def _repeat(
        self, step: Callable[[], None], wake: threading.Event, interval_seconds: float
    ) -> None:
        """Run a step at an interval, and at once when `wake` is set."""
        while not self._stop.is_set():
            next_at = elapsed_seconds() + interval_seconds
            try:
                step()
            except Exception:
                # A malformed row must not end the thread.
                log.exception("membership update failed")
            wake.wait(max(0.0, next_at - elapsed_seconds()))
            if wake is not self._stop:
                wake.clear()

    def _keep_lease(self) -> None:
        self.keeper.keep(self._known_head)
        with self._lock:
            if self._held_incarnation != self.me.incarnation:
                self._held.clear()
                self._held_since.clear()

    def _extend(self) -> None:
        """Extend the lease without the platform if its renewal is late.

        A lease has `spare_seconds` left when its renewal is due. Half of them are left
        to a slow renewal, unless the last request to the platform has failed.
        """
        spare_seconds = self.times.spare_seconds
        min_remaining = spare_seconds if self.platform.failing else spare_seconds / 2
        if 0.0 < self.lease_remaining() < min_remaining:
            others = [r for r in self.zone_hosts() if r.host != self.me.host]
            self.outages.extend(others)

    def _must_publish_head(self) -> bool:
        """Return whether the lease row must be written before the next renewal.

        That is the case once this host has read the zone at or after its own
        registration and its lease row doesn't show that yet.
        """
        joined = self.keeper.registered_head
        return self.me.knows_head < joined <= self._known_head

    def _log_lease_change(self) -> None:
        holds = self.keeper.holds()
        if holds == self._logged_holds:
            return
        self._logged_holds = holds
        if holds:
            log.info("lease valid", extra={"slots": len(self.held())})
        else:
            log.warning("lease expired", extra={"slots": len(self.held())})

    def _refresh(self) -> None:
        self._log_lease_change()
        if not self.platform.available:
            return
        if self._leaving and self.me.state is HostState.LIVE:
            self.keeper.write_state(HostState.LEAVING)
        head = self.reader.head_version(self.me.zone)
        if head.is_error():
            return
        age = elapsed_seconds() - self.view.read_at
        is_changed = self.view.outdated or head.ok != self.view.head_version
        if is_changed or age > FULL_READ_INTERVAL_SECONDS:
            self._read_zone()
        if elapsed_seconds() >= self._next_monitor_read_at:
            # Lease rows change once per renewal interval, and this loop runs twice as
            # often; more frequent reads give no information.
            self._next_monitor_read_at = elapsed_seconds() + self.times.renew_seconds
            self._monitor_neighbours()
        if self.keeper.holds():
            is_known = self.me.knows_head >= self.keeper.registered_head
            if is_known and self.outages.may_depose():
                self._claim_slots()
            self._hand_over_slots()
        if self._must_publish_head():
            self._must_renew.set()
        self.others.refresh(set(self.zones()) - {self.me.zone})

    def _read_zone(self) -> None:
        read = self.reader.read(self.me.zone)
        if read.is_ok():
            self._adopt(read.ok)

    def _adopt(self, view: ZoneView) -> bool:
        """Replace the view of the own zone; return False if it was newer."""
        with self._lock:
            me = self.me
            mine = {
                row.slot: row.epoch
                for row in view.slots
                if row.host == me.host and row.incarnation == me.incarnation
            }
            if view.head_version < self._known_head:
                return False
            self.view = view
            self._known_head = view.head_version
            self._held_incarnation = me.incarnation
            self._held = {
                s: e for s, e in mine.items() if e > self._released_epochs.get(s, -1)
            }
            now = elapsed_seconds()
            since = self._held_since
            self._held_since = {s: since.get(s, now) for s in self._held}
            n_held = len(self._held)
        log.debug(
            "new view of the zone", extra={"head": view.head_version, "held": n_held}
        )
        return True

    def _monitor_neighbours(self) -> None:
        neighbours = self.neighbours()
        self.lease_monitor.retain_hosts(row.host for row in neighbours)
        for row in neighbours:
            found = self.platform.read(HOSTS, row.key)
            if found.is_ok() and found.ok is not None:
                self.lease_monitor.observe(
                    elapsed_seconds(), row.host, found.ok.version
                )
        if not self.outages.may_depose():
            return
        waits = {row.host: self._depose_delay(row) for row in neighbours}
        for host, version in self.lease_monitor.expired_leases(
            elapsed_seconds(), waits
        ).items():
            self._depose(self.view.hosts[host], version)

    def _depose_delay(self, row: HostRow) -> float:
        return depose_delay_seconds(
            self.times,
            self.outages.times,
            row.knows_head,
            self.keeper.registered_head,
        )

    def _depose(self, row: HostRow, version: int) -> None:
        """Mark the lease row of a host whose lease has expired as dead.

        The write is conditional on the row version that has stayed unchanged. It fails
        if the host has renewed in the meantime; if it succeeds, the deposed host's next
        renewal fails. The write is also conditional on this host's own lease row, so
        that a host that was itself deposed while suspended can't depose others.
        """
        dead = replace(row, state=HostState.DEAD)
        own = Check(HOSTS, self.me.key, self.keeper.lease.row_version)
        tx = Transaction(
            (Check(HOSTS, row.key, version), own),
            (
                Write(HOSTS, row.key, host_value(dead)),
                Write(ZONE_HEADS, row.zone, {"by": self.me.host}),
            ),
        )
        outcome = self.platform.commit(tx)
        if outcome.is_ok() and isinstance(outcome.ok, Committed):
            log.warning(
                "deposed a host whose lease has expired", extra={"peer": row.host}
            )
            self._read_zone()

    def _claim_slots(self) -> None:
        wanted = plan_claims(
            self.me.host, self.view.slots, self.view.hosts, self._released_epochs
        )
        if not wanted:
            return
        me = self.me
        claimed = [
            replace(row, host=me.host, incarnation=me.incarnation, epoch=row.epoch + 1)
            for row in wanted
        ]
        written = self._write_slots(claimed)
        log.info(
            "claimed slots", extra={"slots": _numbers(claimed), "written": written}
        )
        self._read_zone()

    def _hand_over_slots(self) -> None:
        view, me = self.view, self.me.host
        planned = plan_handovers(me, view.slots, view.hosts)
        assigned = assign_slots(me, planned, view.hosts)
        if not assigned:
            return
        moving = [view.slots[row.slot] for row in assigned]
        # This host stops acting for the slots before it writes the rows. In the
        # opposite order, two hosts would briefly grant the rate of one customer.
        with self._lock:
            for row in moving:
                self._held.pop(row.slot, None)
                self._held_since.pop(row.slot, None)
                self._released_epochs[row.slot] = row.epoch
        written = self._write_slots(assigned)
        log.info(
            "handed over slots", extra={"slots": _numbers(assigned), "written": written}
        )
        if written:
            moved = MovedSlots.from_rows(moving, view.hosts)
            for listener in self._moved_listeners:
                listener(moved)
        self._read_zone()

    def _write_slots(self, rows: list[SlotRow]) -> bool:
        zone = self.me.zone
        checks = [Check(SLOTS, slot_key(zone, r.slot), r.version) for r in rows]
        checks.append(Check(HOSTS, self.me.key, self.keeper.lease.row_version))
        writes = [Write(SLOTS, slot_key(zone, r.slot), slot_value(r)) for r in rows]
        writes.append(Write(ZONE_HEADS, zone, {"by": self.me.host}))
        outcome = self.platform.commit(Transaction(tuple(checks), tuple(writes)))
        return outcome.is_ok() and isinstance(outcome.ok, Committed)


def _numbers(rows: list[SlotRow]) -> list[int]:
    return [row.slot for row in rows]

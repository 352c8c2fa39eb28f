"""Who is in the zone, which slots this host holds, and who holds the others."""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from swifttide_core.membership import (
    HostRow,
    HostState,
    LeaseMonitor,
    LeaseTimes,
    SlotRow,
    depose_delay_seconds,
    plan_claims,
    plan_handovers,
    ring_successors,
)
from swifttide_core.slots import SlotKind, slot_of
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

FULL_READ_INTERVAL_SECONDS = 30.0
"""The zone is read whole this often even when its head seems unchanged."""


class MembershipService:
    """Lease, slots and neighbours of this host, kept on one thread.

    Parameters
    ----------
    keeper : LeaseKeeper
    reader : ZoneReader
    platform : PlatformClient
    times : LeaseTimes
    n_slots : int
    outages : OutageService
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
        self._held_since: dict[int, float] = {}
        self._released_slots: set[int] = set()
        self._moved_listeners: list[Callable[[MovedSlots], None]] = []
        self._lock = threading.Lock()
        self._leaving = False
        self._next_monitor_read_at = 0.0
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: PlatformClient,
        keeper: LeaseKeeper,
        outages: OutageService,
    ) -> "MembershipService":
        """Return a service that isn't started yet."""
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
        """Row of this host."""
        return self.keeper.row

    def start(self) -> None:
        """Register and keep the lease from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing."""
        self._stop.set()
        self._wake.set()
        self._thread.join(timeout=self.times.lease_seconds)

    def slot(self, kind: SlotKind, key: str) -> int:
        """Return the slot of a key."""
        return slot_of(kind, key, self.n_slots)

    def epoch(self, kind: SlotKind, key: str) -> int | None:
        """Return the epoch under which this host decides for a key, or None."""
        if not self.keeper.holds():
            return None
        with self._lock:
            return self._held.get(self.slot(kind, key))

    def fence(self, kind: SlotKind, key: str, epoch: int) -> Check | None:
        """Return the condition that a write of a key's holder is fenced by.

        None when the slot isn't known to be held here under `epoch`.
        """
        slot = self.slot(kind, key)
        rows = self.view.slots
        if slot >= len(rows) or rows[slot].epoch != epoch:
            return None
        return Check(SLOTS, slot_key(self.me.zone, slot), rows[slot].version)

    def held_since(self, kind: SlotKind, key: str) -> float | None:
        """Return since when this host has held a key's slot without a break."""
        with self._lock:
            return self._held_since.get(self.slot(kind, key))

    def on_moved(self, listener: Callable[[MovedSlots], None]) -> None:
        """Call `listener` after slots were given up in a planned way."""
        self._moved_listeners.append(listener)

    def lease_remaining(self) -> float:
        """Return the seconds for which this host may still act as a holder."""
        return self.keeper.lease.remaining_seconds(time.monotonic())

    def holder(self, kind: SlotKind, key: str, zone: str = "") -> HostRow | None:
        """Return the host that decides for a key, or None while nobody does."""
        zone = zone or self.me.zone
        slot = self.slot(kind, key)
        found = self._view_of(zone).holder(slot)
        if found is None and zone != self.me.zone:
            found = self.others.reread_view(zone).holder(slot)
        return found

    def zone_hosts(self) -> list[HostRow]:
        """Return the hosts of the own zone that aren't dead."""
        rows = self.view.hosts.values()
        return [row for row in rows if row.state is not HostState.DEAD]

    def zones(self) -> list[str]:
        """Return the zones that targets or hosts are known to stand in."""
        return sorted({self.me.zone, *self._known_zones})

    def add_known_zones(self, zones: Iterable[str]) -> None:
        """Learn of zones from the documents of targets."""
        self._known_zones.update(zones)

    def neighbours(self) -> list[HostRow]:
        """Return the hosts that this one watches."""
        hosts = {row.host: row for row in self.zone_hosts()}
        return [hosts[h] for h in ring_successors(self.me.host, hosts)]

    def random_hosts_of_other_zones(self) -> list[HostRow]:
        """Return one live host of each other zone."""
        return self.others.random_live_hosts()

    def invalidate_views(self) -> None:
        """Read the zone soon: a holder wasn't where the view has it."""
        self.others.invalidate()
        self.view = replace(self.view, head_version=-1)
        self._wake.set()

    def hand_over(self) -> bool:
        """Ask for this host's slots to be given up; return whether they are."""
        self._leaving = True
        self._wake.set()
        with self._lock:
            return not self._held

    def held(self) -> dict[int, int]:
        """Return the epochs of the slots that this host holds, by slot."""
        with self._lock:
            return dict(self._held)

    def _view_of(self, zone: str) -> ZoneView:
        return self.view if zone == self.me.zone else self.others.view(zone)

    def _run(self) -> None:
        renew_at = 0.0
        while not self._stop.is_set():
            try:
                if time.monotonic() >= renew_at or self._must_publish_head():
                    renew_at = time.monotonic() + self.times.renew_seconds
                    self._keep_lease()
                self._refresh()
            except Exception:
                # An odd row must not end the thread that keeps the lease.
                log.exception("membership step failed")
            self._wake.wait(self.times.renew_seconds / 2)
            self._wake.clear()

    def _must_publish_head(self) -> bool:
        """Return whether the own row doesn't tell yet that the own join was seen."""
        joined = self.keeper.registered_head
        return self.me.knows_head < joined <= self._known_head

    def _keep_lease(self) -> None:
        incarnation = self.me.incarnation
        # Not the view's head, which is forgotten when the zone must be read again: a
        # host that dies with too old a head in its row isn't deposed for an hour.
        confirmed = self.keeper.keep(self._known_head)
        if not confirmed and self.platform.failing:
            others = [r for r in self.zone_hosts() if r.host != self.me.host]
            self.outages.extend(others)
        if self.me.incarnation != incarnation:
            with self._lock:
                self._held.clear()
                self._held_since.clear()

    def _refresh(self) -> None:
        if not self.platform.available:
            return
        if self._leaving and self.me.state is HostState.LIVE:
            self.keeper.write_state(HostState.LEAVING)
        head = self.reader.head_version(self.me.zone)
        if head.is_error():
            return
        age = time.monotonic() - self.view.read_at
        if head.ok != self.view.head_version or age > FULL_READ_INTERVAL_SECONDS:
            self._read_zone()
        if time.monotonic() >= self._next_monitor_read_at:
            # Rows change once a renewal; reading them twice as often tells nothing.
            self._next_monitor_read_at = time.monotonic() + self.times.renew_seconds
            self._monitor_neighbours()
        if self.keeper.holds():
            is_known = self.me.knows_head >= self.keeper.registered_head
            if is_known and self.outages.may_depose():
                self._claim_slots()
            self._hand_over_slots()
        self.others.refresh(set(self.zones()) - {self.me.zone})

    def _read_zone(self) -> None:
        read = self.reader.read(self.me.zone)
        if read.is_error():
            return
        self.view = read.ok
        self._known_head = read.ok.head_version
        mine = {
            row.slot: row.epoch
            for row in read.ok.slots
            if row.host == self.me.host and row.incarnation == self.me.incarnation
        }
        with self._lock:
            self._held = {
                s: e for s, e in mine.items() if s not in self._released_slots
            }
            now = time.monotonic()
            since = self._held_since
            self._held_since = {s: since.get(s, now) for s in self._held}

    def _monitor_neighbours(self) -> None:
        neighbours = self.neighbours()
        self.lease_monitor.retain_hosts(row.host for row in neighbours)
        for row in neighbours:
            found = self.platform.read(HOSTS, row.key)
            if found.is_ok() and found.ok is not None:
                self.lease_monitor.observe(time.monotonic(), row.host, found.ok.version)
        if not self.outages.may_depose():
            return
        waits = {row.host: self._depose_delay(row) for row in neighbours}
        for host, version in self.lease_monitor.expired_leases(
            time.monotonic(), waits
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
        """End an incarnation whose lease lapsed.

        Conditional on the version that stood still: a renewal in the meantime wins,
        and after the write the deposed host's own renewal fails. Conditional on the
        own row too: a host that was deposed itself and wakes up deposes nobody.
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
            log.warning("deposed a host whose lease lapsed", extra={"peer": row.host})
            self._read_zone()

    def _claim_slots(self) -> None:
        wanted = plan_claims(self.me.host, self.view.slots, self.view.hosts)
        if not wanted:
            return
        me = self.me
        claimed = [
            replace(row, host=me.host, incarnation=me.incarnation, epoch=row.epoch + 1)
            for row in wanted
        ]
        if self._write_slots(claimed):
            with self._lock:
                self._released_slots.difference_update(row.slot for row in claimed)
        self._read_zone()

    def _hand_over_slots(self) -> None:
        moving = plan_handovers(self.me.host, self.view.slots, self.view.hosts)
        if not moving:
            return
        # This host stops deciding BEFORE the row says so; the other way round two
        # hosts would hand out one customer's rate for a moment.
        with self._lock:
            for row in moving:
                self._held.pop(row.slot, None)
                self._held_since.pop(row.slot, None)
                self._released_slots.add(row.slot)
        freed = [replace(row, host="", incarnation="") for row in moving]
        if self._write_slots(freed):
            moved = MovedSlots.from_rows(freed, self.view.hosts)
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

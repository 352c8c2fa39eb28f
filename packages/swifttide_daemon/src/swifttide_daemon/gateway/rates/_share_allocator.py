"""Allocation of shares of customers' rates and of program slots to hosts.

Decides which share of all customers' rates this host uses and which slots of programs
it owns, from the entries of all hosts in one row of the shared store and from the hosts
that are alive. A host changes only its own entry, on condition that the row's version
is unchanged, and never to more than the other entries leave. A host applies a lower
share before the write and a higher one after it, so that the shares in use never add up
to more than one. Slots are released and acquired in the same way, in the same write.

It serves a load in which hundreds of hosts start at the same moment, while each write
of the row occupies its partition of the store for some milliseconds. If every host
wrote the row, nearly all writes would conflict, and the hosts that are to hold shares
would rarely succeed. In a large fleet, therefore, only hosts with a share or slots have
an entry, and only the next candidates in order try to get one.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Annotated

import msgspec

from swifttide_core.budgets import N_SLOTS, plan_slots
from swifttide_core.checks import JsonDecoder
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import FLEET_TABLE, Fleet
from swifttide_daemon.gateway.rates._rate_limiter import RateLimiter
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Conflict,
    Put,
    RowKey,
    Rows,
    SharedStore,
    StoredRow,
    Transaction,
)
from swifttide_daemon.gateway.store._unusable_rows import log_unusable_row
from swifttide_daemon.telemetry import EventLog

KEY = "shares"

MEMBERSHIP_SETTLE_SECONDS = 0.5
"""Time without a newly discovered host after which a starting host considers the fleet
known. A host that knows no other one would take all shares."""

MAX_MEMBERSHIP_SETTLE_SECONDS = 2.0

LEASE_MS = 60_000
"""Time without renewal after which an entry expires. It is long compared to outages of
the store, because a partitioned host continues to use its share until then. One unused
share in ten or more is covered by the headroom in customers' rates."""

EXPIRY_MARGIN_MS = 3_000
"""Time before the expiry of its entry from which a host doesn't use its share: two
checks, and the time that the answer to its last renewal took."""

SLOT_RETENTION_MS = 7_200_000
"""Time after the expiry of an entry for which its slots remain reserved. Tokens that
the host lent from them during an outage of the store may be valid for as long."""

RENEW_MS = 20_000
"""Mean age at which an entry is renewed; two renewals may fail before it expires."""

RENEW_SPREAD_FRACTION = 0.2
"""Fraction by which the age varies. Hosts that start together would otherwise renew
together for good, and their writes would conflict each time."""

CHECK_INTERVAL_SECONDS = 1.0
"""Mean interval between checks of the shares."""

WRITE_SPREAD_SECONDS = 0.03
"""Time over which first writes are spread when a fleet starts, per writing host. A
transaction takes 5 ms, and each conflicting one costs another attempt."""

MAX_HOLDERS = 12
"""Largest number of hosts with a share of the rates; in larger fleets they are divided
evenly among the zones. With fewer, the loss of one costs customers a larger part of
their rates for a minute. Each further one sends a message to every owner host, five
times per second."""

READ_RETRY_SECONDS = 0.2
"""Delay before the row is read again while the store is unavailable."""

SHARE_TOLERANCE = 1e-6


class _Entry(msgspec.Struct, array_like=True):
    share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
    renewed_ms: Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
    slots: list[Annotated[int, msgspec.Meta(ge=0, lt=N_SLOTS)]] = []


_rows = JsonDecoder(dict[str, _Entry])


class ShareAllocator:
    """Maintains this host's entry in the row of shares.

    Parameters
    ----------
    store : SharedStore
    fleet : Fleet
        A process that restarts at this host's address takes over the entry of its
        predecessor, because two processes cannot run at one address.
    rates : RateLimiter
    log : EventLog
    may_release_slots : callable
        Returns whether no tokens are lent from this host's slots.
    """

    def __init__(
        self,
        store: SharedStore,
        fleet: Fleet,
        rates: RateLimiter,
        log: EventLog,
        may_release_slots: Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._fleet = fleet
        self._ip = fleet.own.ip
        self._rates = rates
        self._log = log
        self._entries: dict[str, _Entry] = {}
        self._holders: tuple[str, ...] = ()
        self._version = 0
        self._clock_ahead_ms = 0
        self._may_release_slots = may_release_slots
        self._released_slots: frozenset[int] = frozenset()
        self._has_lapsed = False
        self._renew_age_ms = _draw_renew_age_ms()

    @property
    def slots(self) -> frozenset[int]:
        """Slots that this host may use; empty once its entry has expired."""
        own = self._entries.get(self._ip)
        if own is None or self._now_ms - own.renewed_ms >= LEASE_MS:
            return frozenset()
        return frozenset(own.slots) - self._released_slots

    def holders(self) -> tuple[str, ...]:
        """Return the addresses of the hosts that hold a share of the rates."""
        return self._holders

    def owner_of(self, slot: int) -> str | None:
        """Return the IP of the host that owns a slot by the last known row, or None."""
        owners = (ip for ip, entry in self._entries.items() if slot in entry.slots)
        return next(owners, None)

    def apply_row(self, row: StoredRow) -> None:
        """Apply the row of shares, unless it is older than the known version."""
        if row.version < self._version:
            return
        self._apply_entries(self._decode(row), row.version)
        self._clear_released_slots()
        own = self._entries.get(self._ip)
        if own is not None and not self._rates.share and not self._has_lapsed:
            self._set_share(own.share)

    def _decode(self, row) -> dict[str, _Entry]:
        """Return the entries of a row; an unreadable row counts as empty."""
        if row.value is None:
            return {}
        try:
            return _rows.decode(row.value)
        except ValueError as exc:
            log_unusable_row(self._log, row, str(exc))
            return {}

    def _apply_entries(self, entries, version):
        self._entries, self._version = entries, version
        holders = (ip for ip, entry in entries.items() if entry.share > 0.0)
        self._holders = tuple(sorted(holders))

    async def run(self) -> None:
        """Maintain the entry until cancelled."""
        await self._read()
        # Hosts of a fleet start simultaneously; random delays reduce write conflicts.
        if self._ip not in self._entries:
            await self._wait_for_membership()
            await self._pause_randomly()
        while True:
            for _ in range(4):
                self._drop_expired_share()
                if await self._update_entry():
                    break
                await self._pause_randomly()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS * random.uniform(0.8, 1.2))

    async def _wait_for_membership(self):
        """Wait until the other hosts of a starting fleet are known."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_MEMBERSHIP_SETTLE_SECONDS
        known = -1
        while len(self._fleet.all()) != known and loop.time() < until:
            known = len(self._fleet.all())
            await asyncio.sleep(MEMBERSHIP_SETTLE_SECONDS)

    async def _pause_randomly(self):
        n_writers = min(MAX_HOLDERS, len(self._fleet.all())) + 1
        spread = WRITE_SPREAD_SECONDS * n_writers
        await asyncio.sleep(random.uniform(0.0, spread))

    async def _read(self):
        while True:
            match await self._store.read(FLEET_TABLE, "", KEY, KEY + "\0"):
                case Rows(rows, _, now_ms):
                    self._set_clock(now_ms)
                    for row in rows:
                        self.apply_row(row)
                    return
            await asyncio.sleep(READ_RETRY_SECONDS)

    def _set_clock(self, now_ms):
        own_ms = int(elapsed_seconds() * 1000)
        self._clock_ahead_ms = now_ms - own_ms

    @property
    def _now_ms(self):
        """Estimate of the store's clock, in milliseconds."""
        return int(elapsed_seconds() * 1000) + self._clock_ahead_ms

    async def give_up(self) -> None:
        """Stop using the share and remove the entry, before this host leaves."""
        self._set_share(0.0)
        entries = dict(self._entries)
        if entries.pop(self._ip, None) is not None:
            await self._write(entries)

    def _drop_expired_share(self):
        """Stop using the share once other hosts may have taken it.

        In an outage of the store nobody can take it: all hosts are heard, but for those
        that were lost long before, and none of them reaches the store.
        """
        own = self._entries.get(self._ip)
        if own is None or self._now_ms - own.renewed_ms < LEASE_MS - EXPIRY_MARGIN_MS:
            return
        fleet = self._fleet
        alive = {peer.ip for peer in fleet.alive()}
        recent = {
            peer.ip
            for peer in fleet.all()
            if fleet.was_heard_within(peer.ip, 2 * LEASE_MS / 1000.0)
        }
        if recent <= alive and not fleet.peers_reaching_store():
            return
        self._has_lapsed = True
        self._set_share(0.0)

    async def _update_entry(self) -> bool:
        """Update the own entry if necessary; return whether it is up to date."""
        entries = self._retained_entries()
        own = entries.get(self._ip)
        present = self._live_entries(entries)
        others = sum(e.share for ip, e in entries.items() if ip != self._ip)
        # Hosts of a starting fleet are heard from before they have entries.
        n_heard = len(self._fleet.alive()) + 1
        n_hosts = max(len(present) + (own is None), n_heard)
        fair = 1.0 / min(n_hosts, MAX_HOLDERS)
        wanted = 0.0
        may_hold = n_hosts <= MAX_HOLDERS or self._may_hold(present)
        if may_hold:
            wanted = min(fair, max(0.0, 1.0 - others))
        has_some = own is not None and (own.share > 0.0 or own.slots)
        if not (may_hold or has_some):
            # The share may have expired, and been taken, while this host was cut off.
            self._set_share(0.0)
            return True
        slots = self._plan_slots(entries, own, min(n_hosts, MAX_HOLDERS))
        if own is not None:
            if own.share > fair and not self._is_any_below_fair_share(present, fair):
                wanted = own.share
            due = self._now_ms - own.renewed_ms >= self._renew_age_ms
            same_slots = slots == frozenset(own.slots)
            if not due and same_slots and abs(wanted - own.share) <= SHARE_TOLERANCE:
                return True
            # Released slots are unused from here on, whether or not the write succeeds.
            self._released_slots |= frozenset(own.slots) - slots
        if wanted < self._rates.share:
            self._set_share(wanted)
        entries[self._ip] = _Entry(wanted, self._now_ms, sorted(slots))
        if not await self._write(entries):
            return False
        self._has_lapsed = False
        self._set_share(wanted)
        self._renew_age_ms = _draw_renew_age_ms()
        return True

    def _may_hold(self, present) -> bool:
        """Return whether this host may hold a share in a fleet where only some do.

        A host without a share may get one if it is among the first candidates of its
        zone for the free places.
        """
        zone = self._fleet.own.zone
        peers = {peer.ip: peer.zone for peer in self._fleet.all()}
        zones = {zone, *peers.values()}
        holders = {ip for ip, e in present.items() if e.share > 0.0} - {self._ip}
        near = sum(peers.get(ip) == zone for ip in holders)
        n_free = min(MAX_HOLDERS - len(holders), -(-MAX_HOLDERS // len(zones)) - near)
        own = present.get(self._ip)
        if own is not None and own.share > 0.0:
            return n_free > 0
        others = (p.ip for p in self._fleet.own_zone_hosts() if p.ip not in holders)
        return self._ip in itertools.islice(others, max(0, n_free))

    def _is_any_below_fair_share(self, present, fair) -> bool:
        """Return whether a host that may hold a share has less than a fair one."""
        shares = [e.share for e in present.values()]
        n_fair = sum(share >= fair - SHARE_TOLERANCE for share in shares)
        return n_fair < min(len(shares), MAX_HOLDERS)

    def _plan_slots(self, entries, own, n_hosts) -> frozenset[int]:
        others = [frozenset(e.slots) for ip, e in entries.items() if ip != self._ip]
        held = frozenset(own.slots if own else ())
        return plan_slots(held, others, n_hosts, self._may_release_slots())

    def _live_entries(self, entries):
        """Return this host's entry and all others that have not expired."""
        return {ip: entry for ip, entry in entries.items() if self._is_live(ip, entry)}

    def _is_live(self, ip, entry) -> bool:
        return ip == self._ip or self._now_ms - entry.renewed_ms < LEASE_MS

    def _retained_entries(self):
        """Return the entries that are still in effect, by the store's clock.

        Expired entries retain only their slots, which no host uses, until the tokens
        lent from them are no longer valid.
        """
        found = {}
        for ip, entry in self._entries.items():
            age = self._now_ms - entry.renewed_ms
            if self._is_live(ip, entry):
                found[ip] = entry
            elif entry.slots and age < LEASE_MS + SLOT_RETENTION_MS:
                found[ip] = _Entry(0.0, entry.renewed_ms, entry.slots)
        return found

    async def _write(self, entries) -> bool:
        place = RowKey(FLEET_TABLE, "", KEY)
        tx = Transaction(
            conditions=(Condition(place, self._version),),
            puts=(Put(place, msgspec.json.encode(entries)),),
        )
        match await self._store.commit(tx):
            case Applied(version, now_ms):
                self._apply_entries(entries, version)
                self._set_clock(now_ms)
                self._clear_released_slots()
                return True
            case Conflict(rows):
                for row in rows:
                    self.apply_row(row)
        return False

    def _clear_released_slots(self):
        """Clear released slots that the row no longer assigns to this host.

        This host may acquire them again later.
        """
        own = self._entries.get(self._ip)
        self._released_slots &= frozenset(own.slots if own else ())

    def _set_share(self, share):
        if share != self._rates.share:
            self._log.info("rate_share", share=round(share, 4), version=self._version)
            self._rates.share = share


def _draw_renew_age_ms():
    spread = RENEW_SPREAD_FRACTION
    return RENEW_MS * random.uniform(1.0 - spread, 1.0 + spread)

"""The share that one host has of all customers' rates, and its slots of programs.

The shares of all hosts stand in one row. A host changes only its own entry, under the
row's version, and never to more than what the others leave. One that lowers its share
does so before it writes, one that raises it afterwards: the shares in use never add up
to more than one. Slots are given up and taken in the same way, in the same write.

Load pattern: hundreds of hosts start at the same moment, and each write of the one row
takes its part of the store some milliseconds.

Without it: every host writes the row, nearly all of them in vain, and those that are to
hold shares don't get a word in. In a large fleet only hosts that hold something have an
entry, and only those next in order try to get one.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec

from swifttide_core.budgets import plan_slots
from swifttide_daemon.gateway.peers._fleet import FLEET_TABLE, Fleet
from swifttide_daemon.gateway.rates._rate_keeper import RateKeeper
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
from swifttide_daemon.telemetry import EventLog

KEY = "shares"

SETTLE_SECONDS = 0.5
"""A host that starts waits until no other one was new to it for so long: whoever knows
nobody takes everything."""

MAX_SETTLE_SECONDS = 2.0

LEASE_MS = 60_000
"""An entry that isn't renewed for so long is free again. Long against outages of the
store: whoever is cut off goes on with its share, and one share in ten or more that
nobody uses is borne by the room that customers' rates have."""

FORGET_MS = 7_200_000
"""Slots of a host that has vanished stay its own for so long after its lease: what it
lent while the store was away may count as long."""

RENEW_MS = 20_000
"""An entry is renewed when it is so old: two renewals may fail."""

CHECK_SECONDS = 1.0
"""Between looks at the shares."""

SPREAD_SECONDS = 0.03
"""For each host that writes as a fleet starts: over so long, times their number, they
write their first entries. A transaction takes 5 ms, and each one that comes between
costs another try."""

MAX_HOLDERS = 12
"""Hosts that hold shares of the rates, in larger fleets as many in each zone. With
fewer, one that is lost costs customers more of their rates for a minute; each more is
a message to every keeper, five times a second."""

READ_RETRY_SECONDS = 0.2
"""Pause before the row is read again while the store is away."""

TOLERANCE = 1e-6


class _Entry(msgspec.Struct, array_like=True):
    share: float
    renewed_ms: int
    slots: list[int] = []


class ShareKeeper:
    """Keeps this host's entry.

    Parameters
    ----------
    store : SharedStore
    fleet : Fleet
        A process that starts again at this host's address takes over its
        predecessor's entry: two can't run at one address.
    rates : RateKeeper
    log : EventLog
    may_give_up : callable
        Tells whether nothing was lent from this host's slots.
    """

    def __init__(
        self,
        store: SharedStore,
        fleet: Fleet,
        rates: RateKeeper,
        log: EventLog,
        may_give_up: Callable[[], bool] = lambda: True,
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
        self._may_give_up = may_give_up
        self._giving_up: frozenset[int] = frozenset()

    @property
    def slots(self) -> frozenset[int]:
        """The slots that this host may use."""
        own = self._entries.get(self._ip)
        if own is None or self._now_ms - own.renewed_ms >= LEASE_MS:
            return frozenset()
        return frozenset(own.slots) - self._giving_up

    def holders(self) -> tuple[str, ...]:
        """Return the addresses of the hosts that hold a share of the rates."""
        return self._holders

    def owner_of(self, slot: int) -> str | None:
        """Return the IP of the host that owns a slot, as far as is known."""
        owners = (ip for ip, entry in self._entries.items() if slot in entry.slots)
        return next(owners, None)

    def take_row(self, row: StoredRow) -> None:
        """Take the row of shares."""
        if row.version < self._version:
            return
        self._take(_decode(row.value), row.version)
        self._note_given_up()
        own = self._entries.get(self._ip)
        if own is not None and not self._rates.share:
            self._use(own.share)

    def _take(self, entries, version):
        self._entries, self._version = entries, version
        holders = (ip for ip, entry in entries.items() if entry.share > 0.0)
        self._holders = tuple(sorted(holders))

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        await self._read()
        # All hosts of a fleet start together: spread out, they conflict less.
        if self._ip not in self._entries:
            await self._settle()
            await self._pause()
        while True:
            for _ in range(4):
                if await self._adjust():
                    break
                await self._pause()
            await asyncio.sleep(CHECK_SECONDS * random.uniform(0.8, 1.2))

    async def _settle(self):
        """Wait until the other hosts of a fleet that starts are known."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_SETTLE_SECONDS
        known = -1
        while len(self._fleet.all()) != known and loop.time() < until:
            known = len(self._fleet.all())
            await asyncio.sleep(SETTLE_SECONDS)

    async def _pause(self):
        n_writers = min(MAX_HOLDERS, len(self._fleet.all())) + 1
        spread = SPREAD_SECONDS * n_writers
        await asyncio.sleep(random.uniform(0.0, spread))

    async def _read(self):
        while True:
            match await self._store.read(FLEET_TABLE, "", KEY, KEY + "\0"):
                case Rows(rows, _, now_ms):
                    self._set_clock(now_ms)
                    for row in rows:
                        self.take_row(row)
                    return
            await asyncio.sleep(READ_RETRY_SECONDS)

    def _set_clock(self, now_ms):
        own_ms = int(asyncio.get_running_loop().time() * 1000)
        self._clock_ahead_ms = now_ms - own_ms

    @property
    def _now_ms(self):
        """The store's clock, as far as this host can tell."""
        return int(asyncio.get_running_loop().time() * 1000) + self._clock_ahead_ms

    async def give_up(self) -> None:
        """Remove the entry of a host that leaves."""
        self._use(0.0)
        entries = dict(self._entries)
        if entries.pop(self._ip, None) is not None:
            await self._write(entries)

    async def _adjust(self) -> bool:
        """Change or renew the own entry if need be; return whether all is done."""
        entries = self._current()
        own = entries.get(self._ip)
        present = self._present(entries)
        others = sum(e.share for ip, e in entries.items() if ip != self._ip)
        # Hosts of a fleet that starts are heard before they have entries.
        n_heard = len(self._fleet.alive()) + 1
        n_hosts = max(len(present) + (own is None), n_heard)
        fair = 1.0 / min(n_hosts, MAX_HOLDERS)
        wanted = 0.0
        may_hold = n_hosts <= MAX_HOLDERS or self._may_hold(present)
        if may_hold:
            wanted = min(fair, max(0.0, 1.0 - others))
        has_some = own is not None and (own.share > 0.0 or own.slots)
        if not (may_hold or has_some):
            # Others may have taken what lapsed while this host was cut off.
            self._use(0.0)
            return True
        slots = self._plan_slots(entries, own, min(n_hosts, MAX_HOLDERS))
        if own is not None:
            if own.share > fair and not self._is_any_short(present, fair):
                wanted = own.share
            due = self._now_ms - own.renewed_ms >= RENEW_MS
            same_slots = slots == frozenset(own.slots)
            if not due and same_slots and abs(wanted - own.share) <= TOLERANCE:
                return True
            # No longer used from here on, whatever becomes of the write.
            self._giving_up |= frozenset(own.slots) - slots
        if wanted < self._rates.share:
            self._use(wanted)
        entries[self._ip] = _Entry(wanted, self._now_ms, sorted(slots))
        if not await self._write(entries):
            return False
        self._use(wanted)
        return True

    def _may_hold(self, present) -> bool:
        """Whether this host may hold a share in a fleet where only some do.

        One that has none may if it is next in its zone for a place that is free.
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

    def _is_any_short(self, present, fair) -> bool:
        """Whether a host that may hold a share has less than a fair one."""
        shares = [e.share for e in present.values()]
        n_fair = sum(share >= fair - TOLERANCE for share in shares)
        return n_fair < min(len(shares), MAX_HOLDERS)

    def _plan_slots(self, entries, own, n_hosts) -> frozenset[int]:
        others = [frozenset(e.slots) for ip, e in entries.items() if ip != self._ip]
        held = frozenset(own.slots if own else ())
        return plan_slots(held, others, n_hosts, self._may_give_up())

    def _present(self, entries):
        """Return the entries of hosts that are there."""
        return {ip: entry for ip, entry in entries.items() if self._holds(ip, entry)}

    def _holds(self, ip, entry) -> bool:
        return ip == self._ip or self._now_ms - entry.renewed_ms < LEASE_MS

    def _current(self):
        """Return the entries that hold, by the store's clock.

        Of hosts that have vanished only the slots remain, without an owner that uses
        them, until what they lent has been forgotten.
        """
        found = {}
        for ip, entry in self._entries.items():
            age = self._now_ms - entry.renewed_ms
            if self._holds(ip, entry):
                found[ip] = entry
            elif entry.slots and age < LEASE_MS + FORGET_MS:
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
                self._take(entries, version)
                self._set_clock(now_ms)
                self._note_given_up()
                return True
            case Conflict(rows):
                for row in rows:
                    self.take_row(row)
        return False

    def _note_given_up(self):
        """Forget slots that the row no longer has as ours: they may come back."""
        own = self._entries.get(self._ip)
        self._giving_up &= frozenset(own.slots if own else ())

    def _use(self, share):
        if share != self._rates.share:
            self._log.info("rate_share", share=round(share, 4), version=self._version)
            self._rates.share = share


def _decode(value) -> dict[str, _Entry]:
    try:
        return msgspec.json.decode(value or b"{}", type=dict[str, _Entry])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return {}

"""The share that one host has of all customers' rates.

The shares of all hosts stand in one row. A host changes only its own entry, under the
row's version, and never to more than what the others leave. One that lowers its share
does so before it writes, one that raises it afterwards: the shares in use never add up
to more than one.
"""

import asyncio
import random

import msgspec

from swifttide_daemon.gateway._fleet import TABLE
from swifttide_daemon.gateway._rate_keeper import RateKeeper
from swifttide_daemon.gateway._shared_store import (
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

LEASE_MS = 60_000
"""An entry that isn't renewed for so long is free again. Long against outages of the
store: whoever is cut off goes on with its share, and one share in ten or more that
nobody uses is borne by the room that customers' rates have."""

RENEW_MS = 20_000
"""An entry is renewed when it is so old: two renewals may fail."""

CHECK_SECONDS = 1.0
"""Between looks at the shares."""

SPREAD_SECONDS = 0.3
"""Over which the hosts of a fleet that starts write their first entries."""

READ_RETRY_SECONDS = 0.2
"""Pause before the row is read again while the store is away."""

TOLERANCE = 1e-6


class _Entry(msgspec.Struct, array_like=True):
    share: float
    renewed_ms: int


class ShareKeeper:
    """Keeps this host's entry.

    Parameters
    ----------
    store : SharedStore
    own_ip : str
        A process that starts again at the address takes over its predecessor's entry:
        two can't run at one address.
    rates : RateKeeper
    log : EventLog
    """

    def __init__(
        self, store: SharedStore, own_ip: str, rates: RateKeeper, log: EventLog
    ):
        self._store = store
        self._ip = own_ip
        self._rates = rates
        self._log = log
        self._entries: dict[str, _Entry] = {}
        self._version = 0
        self._clock_ahead_ms = 0

    def take_row(self, row: StoredRow) -> None:
        """Take the row of shares."""
        if row.version < self._version:
            return
        self._entries = _decode(row.value)
        self._version = row.version
        own = self._entries.get(self._ip)
        if own is not None and not self._rates.share:
            self._use(own.share)

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        await self._read()
        # All hosts of a fleet start together: spread out, they conflict less.
        if self._ip not in self._entries:
            await asyncio.sleep(random.uniform(0.0, SPREAD_SECONDS))
        while True:
            for _ in range(4):
                if await self._adjust():
                    break
            await asyncio.sleep(CHECK_SECONDS * random.uniform(0.8, 1.2))

    async def _read(self):
        while True:
            match await self._store.read(TABLE, "", KEY, KEY + "\0"):
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
        others = sum(e.share for ip, e in entries.items() if ip != self._ip)
        n_hosts = len(entries) + (own is None)
        fair = 1.0 / n_hosts
        wanted = min(fair, max(0.0, 1.0 - others))
        if own is not None:
            short = any(e.share < fair - TOLERANCE for e in entries.values())
            if own.share > fair and not short:
                wanted = own.share
            due = self._now_ms - own.renewed_ms >= RENEW_MS
            if not due and abs(wanted - own.share) <= TOLERANCE:
                return True
        if wanted < self._rates.share:
            self._use(wanted)
        entries[self._ip] = _Entry(wanted, self._now_ms)
        if not await self._write(entries):
            return False
        self._use(wanted)
        return True

    def _current(self):
        """Return the entries that hold, by the store's clock."""
        return {
            ip: entry
            for ip, entry in self._entries.items()
            if self._now_ms - entry.renewed_ms < LEASE_MS or ip == self._ip
        }

    async def _write(self, entries) -> bool:
        place = RowKey(TABLE, "", KEY)
        tx = Transaction(
            conditions=(Condition(place, self._version),),
            puts=(Put(place, msgspec.json.encode(entries)),),
        )
        match await self._store.commit(tx):
            case Applied(version, now_ms):
                self._entries, self._version = entries, version
                self._set_clock(now_ms)
                return True
            case Conflict(rows):
                for row in rows:
                    self.take_row(row)
        return False

    def _use(self, share):
        if share != self._rates.share:
            self._log.info("rate_share", share=round(share, 4), version=self._version)
            self._rates.share = share


def _decode(value) -> dict[str, _Entry]:
    try:
        return msgspec.json.decode(value or b"{}", type=dict[str, _Entry])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return {}

"""A record of whether this host may have lent tokens that no row has."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from swifttide_core.budgets import MIN_LENDING_DELAY_MS, LendingState
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
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

TABLE = "lending"

PERIOD_SECONDS = 0.3
"""Between records at least: a write each, 37 a second for eleven hosts."""

PART_OF_WRITES = 0.05
"""Of what the store takes, for the records of all hosts: with more hosts, or a smaller
store, each writes more rarely."""

WAIT_PERIODS = 4.0
"""A host lends when it has written no record for so many periods: one that was killed
is back sooner."""

MAX_RELEASED = 500
"""Programs listed in a record, 35 bytes each; with more, a successor doesn't lend."""

RETRY_SECONDS = 0.2
"""Pause before the record is read again while the store is away."""


def record_period(n_hosts: int, writes_per_second: float) -> float:
    """Return the seconds between records of each host.

    Parameters
    ----------
    n_hosts : int
    writes_per_second : float
        That the store takes from all hosts together.
    """
    return max(PERIOD_SECONDS, n_hosts / (PART_OF_WRITES * writes_per_second))


class LendingRecord:
    """Keeps the record, and tells whether this host may lend.

    Parameters
    ----------
    store : SharedStore
    own_ip : str
        A process that starts again at the address succeeds its predecessor.
    is_reachable : callable
        Tells whether the store can be reached, as far as is known.
    lender : callable
        Returns what lends tokens at this host.
    owns_slots : callable
        Tells whether this host owns slots of programs. Without any it lends nothing,
        and keeps no record.
    period : callable
        Returns the seconds between records.
    log : EventLog
    """

    def __init__(
        self,
        store: SharedStore,
        own_ip: str,
        is_reachable: Callable[[], bool],
        lender: Callable[[], TokenLender],
        owns_slots: Callable[[], bool],
        period: Callable[[], float],
        log: EventLog,
    ):
        self._store = store
        self._is_reachable = is_reachable
        self._lender = lender
        self._owns_slots = owns_slots
        self._period = period
        self._wait_ms = 0
        # A part for each host: one part takes few transactions a second.
        self._place = RowKey(TABLE, own_ip, own_ip)
        self._log = log
        self._version = 0
        self._is_known = False
        self._told_ms: int | None = None
        self._barred_until_ms = 0
        self._closed = False
        self._writing = asyncio.Lock()
        self._clock_ahead_ms = 0

    def lends_in(self) -> float | None:
        """Return the seconds until tokens may be lent; None if that isn't foreseen."""
        if self._told_ms is None or self._closed or not self.is_certain():
            return None
        return max(0, self._told_ms + self._wait_ms - self._now_ms) / 1000

    def may_give_up(self) -> bool:
        """Whether nothing can have been lent here, by a predecessor neither."""
        lender = self._lender()
        return self.is_certain() and not (lender.has_open() or lender.released())

    def is_certain(self) -> bool:
        """Whether no predecessor can have served anything that no row has."""
        return self._is_known and self._now_ms >= self._barred_until_ms

    def is_in_doubt(self) -> bool:
        """Whether a predecessor may have served something that no row has."""
        return self._is_known and self._now_ms < self._barred_until_ms

    async def run(self) -> None:
        """Keep the record until cancelled."""
        await self._take_over()
        while True:
            # A record that is sent may take effect: from then on the wait begins anew.
            if self._is_reachable():
                await self._keep()
            await asyncio.sleep(self._period() * random.uniform(0.9, 1.1))

    async def _keep(self):
        if self._owns_slots():
            await self.tell()
        elif self._told_ms is not None and await self.tell():
            # Others own what was this host's, and its record says so.
            self._told_ms = None

    async def close(self) -> None:
        """Record that nothing will be lent any more."""
        self._closed = True
        if self._told_ms is not None:
            await self.tell()

    async def _take_over(self):
        # Earlier releases kept all records in the empty part.
        for part in ("", self._place.part):
            found = await self._read(part)
            self._set_clock(found.now_ms)
            self._version = 0
            for row in found.rows:
                self._version = row.version
                before = _decode(row)
                barred = before.successor_barred_until(found.now_ms)
                self._barred_until_ms = max(self._barred_until_ms, barred)
                self._lender().remember(before.released)
        self._is_known = True
        if self._barred_until_ms > self._now_ms:
            self._log.warning("lending_barred", until_ms=self._barred_until_ms)

    async def _read(self, part) -> Rows:
        key = self._place.key
        while True:
            found = await self._store.read(TABLE, part, key, key + "\0")
            if isinstance(found, Rows):
                return found
            await asyncio.sleep(RETRY_SECONDS)

    async def tell(self) -> bool:
        """Write the record as it is now; return whether that is known to stand."""
        async with self._writing:
            told_ms = self._now_ms
            # Noted before it is sent: it may take effect though its answer is lost.
            self._told_ms = told_ms
            self._wait_ms = max(
                MIN_LENDING_DELAY_MS, int(1000 * WAIT_PERIODS * self._period())
            )
            tx = Transaction(
                conditions=(Condition(self._place, self._version),),
                puts=(Put(self._place, msgspec.json.encode(self._state(told_ms))),),
            )
            match await self._store.commit(tx):
                case Applied(version, now_ms):
                    self._version = version
                    self._set_clock(now_ms)
                    return True
                case Conflict(rows):
                    # An earlier write of this host took effect late.
                    self._version = max((row.version for row in rows), default=0)
            return False

    def _state(self, told_ms) -> LendingState:
        lender = self._lender()
        released = lender.released()
        barred = self._barred_until_ms
        if lender.has_open() or len(released) > MAX_RELEASED:
            barred = LendingState(0).successor_barred_until(told_ms)
        closed = self._closed or not (self._owns_slots() or lender.has_open())
        return LendingState(
            told_ms, self._wait_ms, barred, closed, released[:MAX_RELEASED]
        )

    def _set_clock(self, now_ms):
        self._clock_ahead_ms = now_ms - _own_ms()

    @property
    def _now_ms(self):
        """The store's clock, as far as this host can tell; never ahead of it."""
        return _own_ms() + self._clock_ahead_ms


def _own_ms():
    return int(asyncio.get_running_loop().time() * 1000)


def _decode(row: StoredRow) -> LendingState:
    try:
        return msgspec.json.decode(row.value or b"", type=LendingState)
    except (msgspec.DecodeError, msgspec.ValidationError):
        # Unknown: as if long ago, so that lending is barred.
        return LendingState(0)

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

MIN_RECORD_INTERVAL_SECONDS = 0.3
"""Between records at least: a write each, 37 a second for eleven hosts."""

RECORD_WRITES_FRACTION = 0.05
"""Of what the store takes, for the records of all hosts: with more hosts, or a smaller
store, each writes more rarely."""

LENDING_DELAY_INTERVALS = 4.0
"""A host lends when it has written no record for so many periods: one that was killed
is back sooner."""

MAX_RECORDED_PROGRAMS = 500
"""Programs listed in a record, 35 bytes each; with more, a successor doesn't lend."""

READ_RETRY_SECONDS = 0.2
"""Pause before the record is read again while the store is away."""


def record_interval_seconds(n_hosts: int, writes_per_second: float) -> float:
    """Return the seconds between records of each host.

    Parameters
    ----------
    n_hosts : int
    writes_per_second : float
        That the store takes from all hosts together.
    """
    return max(
        MIN_RECORD_INTERVAL_SECONDS,
        n_hosts / (RECORD_WRITES_FRACTION * writes_per_second),
    )


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
        interval_seconds: Callable[[], float],
        log: EventLog,
    ):
        self._store = store
        self._is_reachable = is_reachable
        self._lender = lender
        self._owns_slots = owns_slots
        self._interval_seconds = interval_seconds
        self._lending_delay_ms = 0
        # A part for each host: one part takes few transactions a second.
        self._row_key = RowKey(TABLE, own_ip, own_ip)
        self._log = log
        self._version = 0
        self._has_read_predecessor = False
        self._last_write_ms: int | None = None
        self._barred_until_ms = 0
        self._closed = False
        self._writing = asyncio.Lock()
        self._store_clock_offset_ms = 0

    def seconds_until_lending(self) -> float | None:
        """Return the seconds until tokens may be lent; None if that isn't foreseen."""
        if (
            self._last_write_ms is None
            or self._closed
            or not self.has_no_unknown_loans()
        ):
            return None
        return (
            max(0, self._last_write_ms + self._lending_delay_ms - self._store_now_ms)
            / 1000
        )

    def may_release_slots(self) -> bool:
        """Whether nothing can have been lent here, by a predecessor neither."""
        lender = self._lender()
        return self.has_no_unknown_loans() and not (
            lender.has_uncharged_loans() or lender.released_programs()
        )

    def has_no_unknown_loans(self) -> bool:
        """Whether no predecessor can have served anything that no row has."""
        return (
            self._has_read_predecessor and self._store_now_ms >= self._barred_until_ms
        )

    def may_have_unknown_loans(self) -> bool:
        """Whether a predecessor may have served something that no row has."""
        return self._has_read_predecessor and self._store_now_ms < self._barred_until_ms

    async def run(self) -> None:
        """Keep the record until cancelled."""
        await self._read_predecessor_record()
        while True:
            # A record that is sent may take effect: from then on the wait begins anew.
            if self._is_reachable():
                await self._renew()
            await asyncio.sleep(self._interval_seconds() * random.uniform(0.9, 1.1))

    async def _renew(self):
        if self._owns_slots():
            await self.write()
        elif self._last_write_ms is not None and await self.write():
            # Others own what was this host's, and its record says so.
            self._last_write_ms = None

    async def close(self) -> None:
        """Record that nothing will be lent any more."""
        self._closed = True
        if self._last_write_ms is not None:
            await self.write()

    async def _read_predecessor_record(self):
        # Earlier releases kept all records in the empty part.
        for part in ("", self._row_key.part):
            found = await self._read(part)
            self._set_clock(found.now_ms)
            self._version = 0
            for row in found.rows:
                self._version = row.version
                before = _decode(row)
                barred = before.successor_barred_until(found.now_ms)
                self._barred_until_ms = max(self._barred_until_ms, barred)
                self._lender().restore_released_programs(before.released)
        self._has_read_predecessor = True
        if self._barred_until_ms > self._store_now_ms:
            self._log.warning("lending_barred", until_ms=self._barred_until_ms)

    async def _read(self, part) -> Rows:
        key = self._row_key.key
        while True:
            found = await self._store.read(TABLE, part, key, key + "\0")
            if isinstance(found, Rows):
                return found
            await asyncio.sleep(READ_RETRY_SECONDS)

    async def write(self) -> bool:
        """Write the record as it is now; return whether that is known to stand."""
        async with self._writing:
            told_ms = self._store_now_ms
            # Noted before it is sent: it may take effect though its answer is lost.
            self._last_write_ms = told_ms
            self._lending_delay_ms = max(
                MIN_LENDING_DELAY_MS,
                int(1000 * LENDING_DELAY_INTERVALS * self._interval_seconds()),
            )
            tx = Transaction(
                conditions=(Condition(self._row_key, self._version),),
                puts=(Put(self._row_key, msgspec.json.encode(self._state(told_ms))),),
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

    def _state(self, now_ms) -> LendingState:
        lender = self._lender()
        released = lender.released_programs()
        barred = self._barred_until_ms
        if lender.has_uncharged_loans() or len(released) > MAX_RECORDED_PROGRAMS:
            barred = LendingState(0).successor_barred_until(now_ms)
        closed = self._closed or not (
            self._owns_slots() or lender.has_uncharged_loans()
        )
        return LendingState(
            now_ms,
            self._lending_delay_ms,
            barred,
            closed,
            released[:MAX_RECORDED_PROGRAMS],
        )

    def _set_clock(self, now_ms):
        self._store_clock_offset_ms = now_ms - _monotonic_ms()

    @property
    def _store_now_ms(self):
        """The store's clock, as far as this host can tell; never ahead of it."""
        return _monotonic_ms() + self._store_clock_offset_ms


def _monotonic_ms():
    return int(asyncio.get_running_loop().time() * 1000)


def _decode(row: StoredRow) -> LendingState:
    try:
        return msgspec.json.decode(row.value or b"", type=LendingState)
    except (msgspec.DecodeError, msgspec.ValidationError):
        # Unknown: as if long ago, so that lending is barred.
        return LendingState(0)

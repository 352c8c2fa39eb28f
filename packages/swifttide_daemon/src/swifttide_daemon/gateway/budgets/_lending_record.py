"""Record in the store that shows whether a host may have lent uncharged tokens.

Each host that owns program slots writes a record periodically, which states how long
after it the host starts to lend tokens. Loans are made only while the store is
unavailable, and are kept in memory until they are charged to the accounts. After a
restart, the next process at the same address reads the record of its predecessor. It
may lend only if the predecessor cannot have made loans that were lost with its memory;
otherwise, the same tokens could be lent twice.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from swifttide_core.budgets import MIN_LENDING_DELAY_MS, LendingState
from swifttide_core.checks import JsonDecoder
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
from swifttide_daemon.gateway.store._unusable_rows import log_unusable_row
from swifttide_daemon.telemetry import EventLog

TABLE = "lending"

MIN_RECORD_INTERVAL_SECONDS = 0.3
"""Shortest time between two records of a host. Each is one write: 37 per second for
eleven hosts."""

RECORD_WRITES_FRACTION = 0.05
"""Fraction of the store's write capacity that the records of all hosts may use. With
more hosts or a smaller store, each host writes its record less often."""

LENDING_DELAY_INTERVALS = 4.0
"""Number of record intervals without a record after which a host lends. A killed
process restarts within a shorter time."""

MAX_RECORDED_PROGRAMS = 500
"""Largest number of overdrawn programs listed in a record, 35 bytes each. If there are
more, the next process at the address is barred from lending."""

READ_RETRY_SECONDS = 0.2
"""Pause between attempts to read the record while the store is unavailable."""

_records = JsonDecoder(LendingState)


def record_interval_seconds(n_hosts: int, writes_per_second: float) -> float:
    """Return the time between two records of a host, in seconds.

    Parameters
    ----------
    n_hosts : int
    writes_per_second : float
        Write capacity of the store for all hosts together.
    """
    return max(
        MIN_RECORD_INTERVAL_SECONDS,
        n_hosts / (RECORD_WRITES_FRACTION * writes_per_second),
    )


class LendingRecord:
    """Writes the lending record of this host, and decides whether the host may lend.

    Parameters
    ----------
    store : SharedStore
    own_ip : str
        Address of this host. A new process at the same address takes over the record.
    is_reachable : callable
        Returns whether the store can be reached, as far as is known.
    lender : callable
        Returns the `TokenLender` of this host.
    owns_slots : callable
        Returns whether this host owns slots of programs. A host without slots lends
        nothing and writes no record.
    interval_seconds : callable
        Returns the time between two records, in seconds.
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
        # Each host has its own partition, because a partition executes only a limited
        # number of transactions per second.
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
        """Return the seconds until this host may lend tokens.

        None if this cannot be foreseen, because no record was written, the record is
        closed, or a predecessor may have lent.
        """
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
        """Whether this host may give up its program slots.

        This requires that neither this process nor a predecessor has loans that are not
        charged, or programs to which nothing may be lent.
        """
        lender = self._lender()
        return self.has_no_unknown_loans() and not (
            lender.has_uncharged_loans() or lender.overdrawn_programs()
        )

    def has_no_unknown_loans(self) -> bool:
        """Whether no predecessor can have made a loan that is not charged."""
        return (
            self._has_read_predecessor and self._store_now_ms >= self._barred_until_ms
        )

    async def run(self) -> None:
        """Read the record of the predecessor, then renew the record until cancelled."""
        if not self._has_read_predecessor:
            await self._read_predecessor_record()
        while True:
            # Each record that is sent restarts the delay before lending, because it
            # may take effect. None is sent while the store is known to be unreachable.
            if self._is_reachable():
                await self._renew()
            await asyncio.sleep(self._interval_seconds() * random.uniform(0.9, 1.1))

    async def _renew(self):
        if self._owns_slots():
            await self.write()
        elif self._last_write_ms is not None and await self.write():
            # This host owns no slots any more, and its record states so.
            self._last_write_ms = None

    async def close(self) -> None:
        """Write a last record, which states that this host lends no more tokens."""
        self._closed = True
        if self._last_write_ms is not None:
            await self.write()

    async def _read_predecessor_record(self):
        # Earlier releases wrote all records to the partition with the empty name.
        for part in ("", self._row_key.part):
            found = await self._read(part)
            self._set_clock(found.now_ms)
            self._version = 0
            for row in found.rows:
                self._version = row.version
                before = self._decode(row)
                barred = before.successor_barred_until(found.now_ms)
                self._barred_until_ms = max(self._barred_until_ms, barred)
                self._lender().restore_overdrawn_programs(before.overdrawn)
        self._has_read_predecessor = True
        if self._barred_until_ms > self._store_now_ms:
            self._log.warning("lending_barred", until_ms=self._barred_until_ms)

    def _decode(self, row: StoredRow) -> LendingState:
        """Return a record; an unreadable one counts as old, which bars lending."""
        try:
            return _records.decode(row.value or b"")
        except ValueError as exc:
            log_unusable_row(self._log, row, str(exc))
            return LendingState(0)

    async def _read(self, part) -> Rows:
        key = self._row_key.key
        while True:
            found = await self._store.read(TABLE, part, key, key + "\0")
            if isinstance(found, Rows):
                return found
            await asyncio.sleep(READ_RETRY_SECONDS)

    async def write(self) -> bool:
        """Write the current record; return whether the store confirmed it."""
        async with self._writing:
            written_ms = self._store_now_ms
            # Set before the record is sent, because the record may take effect even if
            # the answer is lost.
            self._last_write_ms = written_ms
            self._lending_delay_ms = max(
                MIN_LENDING_DELAY_MS,
                int(1000 * LENDING_DELAY_INTERVALS * self._interval_seconds()),
            )
            tx = Transaction(
                conditions=(Condition(self._row_key, self._version),),
                puts=(
                    Put(self._row_key, msgspec.json.encode(self._state(written_ms))),
                ),
            )
            match await self._store.commit(tx):
                case Applied(version, now_ms):
                    self._version = version
                    self._set_clock(now_ms)
                    return True
                case Conflict(rows):
                    # An earlier write of this host took effect late. The next record is
                    # written on condition of the new version.
                    self._version = max((row.version for row in rows), default=0)
            return False

    def _state(self, now_ms) -> LendingState:
        lender = self._lender()
        overdrawn = lender.overdrawn_programs()
        barred = self._barred_until_ms
        if lender.has_uncharged_loans() or len(overdrawn) > MAX_RECORDED_PROGRAMS:
            barred = LendingState(0).successor_barred_until(now_ms)
        closed = self._closed or not (
            self._owns_slots() or lender.has_uncharged_loans()
        )
        return LendingState(
            now_ms,
            self._lending_delay_ms,
            barred,
            closed,
            overdrawn[:MAX_RECORDED_PROGRAMS],
        )

    def _set_clock(self, now_ms):
        self._store_clock_offset_ms = now_ms - _monotonic_ms()

    @property
    def _store_now_ms(self):
        """Estimated time of the store's clock, in milliseconds; never ahead of it.

        The offset was computed when an answer arrived, so that the estimate lags by the
        time that the answer took.
        """
        return _monotonic_ms() + self._store_clock_offset_ms


def _monotonic_ms():
    return int(asyncio.get_running_loop().time() * 1000)

"""Registration and renewal of this host's lease row."""

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from swifttide_core.membership import (
    ExtensionRound,
    ExtensionTimes,
    HostLease,
    HostRow,
    HostState,
    LeaseTimes,
)
from swifttide_daemon.membership._rows import (
    HOSTS,
    ZONE_HEADS,
    host_row_of,
    host_value,
)
from swifttide_daemon.store import (
    Check,
    Committed,
    Conflict,
    PlatformClient,
    Transaction,
    Write,
    new_id,
)

log = logging.getLogger(__name__)


class LeaseKeeper:
    """The lease row of this host and what it entitles to.

    Parameters
    ----------
    platform : PlatformClient
    row : HostRow
        Row of this incarnation.
    times : LeaseTimes
    config_version : callable
        Returns the configuration version in force here; it goes into the row, so
        that operators see how far an edit has come without further messages.

    Attributes
    ----------
    registered_head : int
        Version of the zone's head row that this host's registration made.
    """

    def __init__(
        self,
        platform: PlatformClient,
        row: HostRow,
        times: LeaseTimes,
        config_version: Callable[[], int],
    ) -> None:
        self.platform = platform
        self.row = row
        self.lease = HostLease.from_times(times)
        self.config_version = config_version
        self.registered_head = 0
        self._lock = threading.RLock()

    def set_urls(self, caller_url: str, peer_url: str) -> None:
        """Set where this host is reached, known once its ports are bound."""
        self.row = replace(self.row, caller_url=caller_url, peer_url=peer_url)

    def holds(self) -> bool:
        """Return whether this host may act as a holder right now."""
        return self.lease.is_valid(time.monotonic())

    def keep(self, knows_head: int) -> bool:
        """Register or renew; return whether the lease is confirmed now.

        Parameters
        ----------
        knows_head : int
            Version of the zone's head row that this host has read the zone at.
        """
        with self._lock:
            self.row = replace(self.row, knows_head=max(0, knows_head))
            if self.lease.row_version == 0:
                return self._register()
            return self._write(self.renewal())

    def write_state(self, state: HostState) -> bool:
        """Write a new state of this host and tell the zone to look."""
        with self._lock:
            self.row = replace(self.row, state=state)
            return self._write(self._transaction(announce=True))

    def renewal(self) -> Transaction:
        """Return the transaction that renews the lease."""
        self.row = replace(self.row, renewal=self.row.renewal + 1)
        return self._transaction(announce=False)

    def record_relayed_renewal(self, sent_at: float, row_version: int) -> None:
        """Note a renewal that a peer has sent on this host's behalf."""
        with self._lock:
            self.lease = self.lease.with_renewal(sent_at, row_version)

    def extend(self, answers: ExtensionRound, times: ExtensionTimes) -> None:
        """Let the lease stand as far as the zone's hosts have promised."""
        with self._lock:
            self.lease = answers.extend(self.lease, time.monotonic(), times)

    def _register(self) -> bool:
        found = self.platform.read(HOSTS, self.row.key)
        if found.is_error():
            return False
        version = found.ok.version if found.ok else 0
        # A new incarnation: slots of the former one must not pass for ours.
        self.row = replace(self.row, incarnation=new_id(), state=HostState.LIVE)
        tx = self._transaction(announce=True, base_version=version)
        return self._write(tx)

    def _transaction(
        self, announce: bool, base_version: int | None = None
    ) -> Transaction:
        base = self.lease.row_version if base_version is None else base_version
        value = {**host_value(self.row), "config_version": self.config_version()}
        writes = [Write(HOSTS, self.row.key, value)]
        if announce:
            writes.append(Write(ZONE_HEADS, self.row.zone, {"by": self.row.host}))
        return Transaction((Check(HOSTS, self.row.key, base),), tuple(writes))

    def _write(self, tx: Transaction) -> bool:
        sent_at = time.monotonic()
        # One try: a renewal that waits for its retries outlives the lease.
        outcome = self.platform.commit(tx, tries=1)
        if outcome.is_error():
            return False
        match outcome.ok:
            case Committed(versions=versions):
                self.lease = self.lease.with_renewal(sent_at, versions[0])
                if len(versions) > 1 and not self.registered_head:
                    self.registered_head = versions[1]
                return True
            case Conflict():
                self._resolve_version_conflict()
                return False

    def _resolve_version_conflict(self) -> None:
        """Find out why a renewal met another version.

        An earlier renewal may have taken effect though its answer was lost. Taken for
        a deposition, one lost answer would cost this host all its slots.
        """
        found = self.platform.read(HOSTS, self.row.key)
        if found.is_error():
            return
        row = host_row_of(found.ok) if found.ok else None
        if row is not None and _is_same_incarnation(row, self.row):
            self.lease = replace(self.lease, row_version=found.ok.version)
            return
        log.warning("lease lost: another host deposed this incarnation")
        self.registered_head = 0
        self.lease = self.lease.without_registration()


def _is_same_incarnation(row: HostRow, own: HostRow) -> bool:
    return row.incarnation == own.incarnation and row.state is not HostState.DEAD

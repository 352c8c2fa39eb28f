"""Registration and renewal of this host's lease.

The lease is a row in the platform's ``hosts`` table. Every write of the row is
conditional on the version that this host last knew. Other hosts depose a host whose
row stops changing by marking the row as dead.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

import msgspec

from swifttide_core.membership import (
    ExtensionRound,
    ExtensionTimes,
    HostLease,
    HostRow,
    HostState,
    LeaseTimes,
)
from swifttide_daemon._elapsed_clock import elapsed_seconds
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
    Row,
    Transaction,
    Write,
    new_id,
)

log = logging.getLogger(__name__)


class LeaseKeeper:
    """Writes this host's lease row and tracks how long the lease is valid.

    Parameters
    ----------
    platform : PlatformClient
    row : HostRow
        Initial lease row of this host.
    times : LeaseTimes
    config_version : callable
        Returns the configuration version in force on this host. It is written into
        the lease row, so that operators can see which hosts have applied an edit
        without further requests.

    Attributes
    ----------
    registered_head : int
        Version of the zone's head row after this host's registration; 0 while this
        host isn't registered.
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
        self._announced_head = 0
        # Serializes writes to the platform. The lease may be extended meanwhile, so
        # that a platform that doesn't answer can't delay its extension.
        self._write_lock = threading.RLock()
        self._lock = threading.Lock()

    def set_urls(self, caller_url: str, peer_url: str) -> None:
        """Set the URLs of this host, which are known once its ports are bound."""
        self.row = replace(self.row, caller_url=caller_url, peer_url=peer_url)

    def holds(self) -> bool:
        """Return whether the lease is valid, so that this host may use its slots."""
        return self.lease.is_valid(elapsed_seconds())

    def keep(self, knows_head: int) -> bool:
        """Register this host or renew its lease; return whether the platform confirmed.

        Parameters
        ----------
        knows_head : int
            Version of the zone's head row at this host's last read of the zone.
        """
        with self._write_lock:
            self._update_row(knows_head=max(0, knows_head))
            if self.lease.row_version == 0:
                return self._register()
            if not self._has_news(knows_head):
                return self._write(self.renewal())
            confirmed = self._write(self.renewal(announce=True))
            if confirmed:
                self._announced_head = knows_head
            return confirmed

    def _has_news(self, knows_head: int) -> bool:
        """Return whether the other hosts must learn that this host has joined.

        They hand over slots to it only after it has read the zone.
        """
        return self._announced_head < self.registered_head <= knows_head

    def write_state(self, state: HostState) -> bool:
        """Write a new state of this host and update the zone's head row.

        The newer version of the head row makes the other hosts read the zone again.
        """
        with self._write_lock:
            self._update_row(state=state)
            return self._write(self._transaction(announce=True))

    def renewal(self, announce: bool = False) -> Transaction:
        """Increment the renewal counter and return the transaction to commit."""
        with self._lock:
            self.row = replace(self.row, renewal=self.row.renewal + 1)
        return self._transaction(announce)

    def _update_row(self, **changes: object) -> None:
        with self._lock:
            self.row = replace(self.row, **changes)

    def record_relayed_renewal(self, sent_at: float, row_version: int) -> None:
        """Record a renewal that a peer has committed on this host's behalf.

        Parameters
        ----------
        sent_at : float
            Monotonic seconds before the request was sent to the peer.
        row_version : int
            Version of the lease row after the renewal.
        """
        with self._lock:
            self.lease = self.lease.with_renewal(sent_at, row_version)

    def extend(self, answers: ExtensionRound, times: ExtensionTimes) -> None:
        """Extend the lease, if it is valid, as far as the hosts' promises allow."""
        with self._lock:
            self.lease = answers.extend(self.lease, elapsed_seconds(), times)

    def _register(self) -> bool:
        found = self.platform.read(HOSTS, self.row.key)
        if found.is_error():
            return False
        version = found.ok.version if found.ok else 0
        # Each registration starts a new incarnation, so that slots claimed by the
        # previous one don't count as held.
        self._update_row(incarnation=new_id(), state=HostState.LIVE)
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
        sent_at = elapsed_seconds()
        # No retries: a renewal that waits for retries may outlast the lease.
        outcome = self.platform.commit(tx, tries=1)
        if outcome.is_error():
            return False
        match outcome.ok:
            case Committed(versions=versions):
                with self._lock:
                    self.lease = self.lease.with_renewal(sent_at, versions[0])
                if len(versions) > 1 and not self.registered_head:
                    self.registered_head = versions[1]
                return True
            case Conflict():
                self._resolve_version_conflict()
                return False

    def _resolve_version_conflict(self) -> None:
        """Read the lease row to find out why a write met an unexpected version.

        An earlier renewal may have been committed although its response was lost. In
        that case this host adopts the row's version. If it assumed a deposition
        instead, one lost response would cost this host all its slots.
        """
        found = self.platform.read(HOSTS, self.row.key)
        if found.is_error():
            return
        row = _usable_row(found.ok)
        if row is not None and _is_same_incarnation(row, self.row):
            with self._lock:
                self.lease = replace(self.lease, row_version=found.ok.version)
            return
        log.warning("lease lost: another host deposed this incarnation")
        self.registered_head = 0
        with self._lock:
            self.lease = self.lease.without_registration()


def _usable_row(found: Row | None) -> HostRow | None:
    """Decode a lease row; None if there is none, or another writer replaced it."""
    try:
        return host_row_of(found) if found else None
    except (msgspec.MsgspecError, RecursionError):
        log.warning("the lease row of this host can't be used")
        return None


def _is_same_incarnation(row: HostRow, own: HostRow) -> bool:
    return row.incarnation == own.incarnation and row.state is not HostState.DEAD

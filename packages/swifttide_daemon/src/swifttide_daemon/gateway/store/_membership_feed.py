"""Applies rows of targets and hosts to this host's view of the fleet."""

from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import HOST_KEY_PREFIX, Fleet
from swifttide_daemon.gateway.rates._share_allocator import KEY as SHARES_KEY
from swifttide_daemon.gateway.rates._share_allocator import ShareAllocator
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._shared_store import StoredRow
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.telemetry import EventLog

RowsTuple = tuple[StoredRow, ...]


class MembershipFeed:
    """Applies rows of targets and hosts.

    Parameters
    ----------
    decoders : Decoders
    beliefs : Beliefs
        This host's view of the targets, which is updated.
    strikes : StrikeKeeper
        Records crashes of targets; it is told of each target entry.
    fleet : Fleet
    shares : ShareAllocator
        Gets the row with the shares of the customers' rate limits.
    log : EventLog
    """

    def __init__(
        self,
        decoders: Decoders,
        beliefs: Beliefs,
        strikes: StrikeKeeper,
        fleet: Fleet,
        shares: ShareAllocator,
        log: EventLog,
    ):
        self._decoders = decoders
        self._beliefs = beliefs
        self._strikes = strikes
        self._fleet = fleet
        self._shares = shares
        self._log = log
        self._store_up = True

    def set_store_state(self, up: bool) -> None:
        """Record whether the last call to the store was answered."""
        if up and not self._store_up:
            self._beliefs.store_returned()
        elif not up and self._store_up:
            self._beliefs.store_lost()
        self._store_up = up

    def replace_targets(self, rows: RowsTuple) -> None:
        """Apply a full read of the table of targets."""
        entries = {}
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                entries[entry.id] = entry
                self._strikes.record_entry(entry)
        self._beliefs.replace_targets(entries)

    def apply_target_changes(self, rows: RowsTuple) -> int:
        """Apply target entries that were written or removed.

        Returns the newest version among the entries that changed this host's view, or
        0.
        """
        newest = 0
        for row in rows:
            entry = self._decode_target(row)
            if entry is None:
                is_news = self._beliefs.remove_target(row.key.key)
            else:
                self._strikes.record_entry(entry)
                is_news = self._beliefs.put_target(entry)
            if is_news:
                newest = max(newest, row.version)
        return newest

    def replace_hosts(self, rows: RowsTuple) -> None:
        """Apply a full read of the fleet table."""
        hosts = tuple(r for r in rows if r.key.key.startswith(HOST_KEY_PREFIX))
        self._fleet.take_all(hosts)
        self.apply_host_changes(rows)

    def apply_host_changes(self, rows: RowsTuple) -> int:
        """Apply changed rows of the fleet table; return the newest version, or 0."""
        for row in rows:
            if row.key.key.startswith(HOST_KEY_PREFIX):
                self._fleet.take_row(row)
            elif row.key.key == SHARES_KEY:
                self._shares.apply_row(row)
        return max((row.version for row in rows), default=0)

    def _decode_target(self, row):
        if row.key.part:
            return None
        entry = self._decoders.target(row.key.key, row.value)
        if entry is None and row.value is not None:
            self._log.warning("target_entry_unreadable", target=row.key.key)
        return entry

"""Applies rows of targets and hosts to this host's view of the fleet."""

from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import HOST_KEY_PREFIX, Fleet
from swifttide_daemon.gateway.rates._share_allocator import KEY as SHARES_KEY
from swifttide_daemon.gateway.rates._share_allocator import ShareAllocator
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._shared_store import StoredRow
from swifttide_daemon.gateway.store._unusable_rows import UnusableRows
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper

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
    unusable : UnusableRows
    """

    def __init__(
        self,
        decoders: Decoders,
        beliefs: Beliefs,
        strikes: StrikeKeeper,
        fleet: Fleet,
        shares: ShareAllocator,
        unusable: UnusableRows,
    ):
        self._decoders = decoders
        self._beliefs = beliefs
        self._strikes = strikes
        self._fleet = fleet
        self._shares = shares
        self._unusable = unusable
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
            with self._unusable.skip(row):
                entry = self._decode_target(row)
                if entry is not None:
                    self._strikes.record_entry(entry)
                    entries[entry.id] = entry
        self._beliefs.replace_targets(entries)

    def apply_target_changes(self, rows: RowsTuple) -> int:
        """Apply target entries that were written or removed.

        Returns the newest version among the entries that changed this host's view, or
        0.
        """
        newest = 0
        for row in rows:
            if self._apply_target(row):
                newest = max(newest, row.version)
        return newest

    def _apply_target(self, row) -> bool:
        """Apply one entry; return whether it changed this host's view.

        An entry that can't be used names no target, also where its id had one before.
        """
        entry = None
        with self._unusable.skip(row):
            entry = self._decode_target(row)
            if entry is not None:
                self._strikes.record_entry(entry)
        if entry is None:
            if row.deleted and row.key.key not in self._beliefs.targets:
                self._beliefs.forget_unseen_target()
            return self._beliefs.remove_target(row.key.key)
        return self._beliefs.put_target(entry)

    def replace_hosts(self, rows: RowsTuple) -> None:
        """Apply a full read of the fleet table."""
        self._fleet.keep_only(_host_ip(r) for r in rows if _is_host(r))
        self.apply_host_changes(rows)

    def apply_host_changes(self, rows: RowsTuple) -> int:
        """Apply changed rows of the fleet table; return the newest version, or 0."""
        for row in rows:
            with self._unusable.skip(row):
                if _is_host(row):
                    self._fleet.take_row(row)
                elif row.key.key == SHARES_KEY:
                    self._shares.apply_row(row)
        return max((row.version for row in rows), default=0)

    def _decode_target(self, row):
        if row.key.part or row.deleted:
            return None
        if row.value is None:
            raise ValueError("got a value that isn't base64")
        return self._decoders.target(row.key.key, row.value)


def _is_host(row) -> bool:
    return row.key.key.startswith(HOST_KEY_PREFIX)


def _host_ip(row) -> str:
    return row.key.key.removeprefix(HOST_KEY_PREFIX)

"""Turning rows of targets and hosts into beliefs."""

from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import HOST_KEY_PREFIX, Fleet
from swifttide_daemon.gateway.rates._share_keeper import KEY as SHARES_KEY
from swifttide_daemon.gateway.rates._share_keeper import ShareKeeper
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._shared_store import StoredRow
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.telemetry import EventLog

RowsTuple = tuple[StoredRow, ...]


class MembershipFeed:
    """Takes rows of targets and hosts.

    Parameters
    ----------
    decoders : Decoders
    beliefs : Beliefs
    strikes : StrikeKeeper
    fleet : Fleet
    shares : ShareKeeper
    log : EventLog
    """

    def __init__(
        self,
        decoders: Decoders,
        beliefs: Beliefs,
        strikes: StrikeKeeper,
        fleet: Fleet,
        shares: ShareKeeper,
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
        """Note whether the store answered."""
        if up and not self._store_up:
            self._beliefs.store_returned()
        elif not up and self._store_up:
            self._beliefs.store_lost()
        self._store_up = up

    def replace_targets(self, rows: RowsTuple) -> None:
        """Take all entries of targets."""
        entries = {}
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                entries[entry.id] = entry
                self._strikes.seen(entry)
        self._beliefs.replace_targets(entries)

    def apply_target_changes(self, rows: RowsTuple) -> int:
        """Take entries that were written or removed; return the version of the news."""
        newest = 0
        for row in rows:
            entry = self._decode_target(row)
            if entry is None:
                is_news = self._beliefs.remove_target(row.key.key)
            else:
                self._strikes.seen(entry)
                is_news = self._beliefs.put_target(entry)
            if is_news:
                newest = max(newest, row.version)
        return newest

    def replace_hosts(self, rows: RowsTuple) -> None:
        """Take all rows of the fleet's table."""
        hosts = tuple(r for r in rows if r.key.key.startswith(HOST_KEY_PREFIX))
        self._fleet.take_all(hosts)
        self.apply_host_changes(rows)

    def apply_host_changes(self, rows: RowsTuple) -> int:
        """Take rows of the fleet's table; return the version of the newest."""
        for row in rows:
            if row.key.key.startswith(HOST_KEY_PREFIX):
                self._fleet.take_row(row)
            elif row.key.key == SHARES_KEY:
                self._shares.take_row(row)
        return max((row.version for row in rows), default=0)

    def _decode_target(self, row):
        if row.key.part:
            return None
        entry = self._decoders.target(row.key.key, row.value)
        if entry is None and row.value is not None:
            self._log.warning("target_entry_unreadable", target=row.key.key)
        return entry

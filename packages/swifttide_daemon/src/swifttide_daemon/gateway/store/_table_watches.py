"""The tables that a host follows."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from swifttide_daemon.gateway.peers._fleet import FLEET_TABLE
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._membership_feed import MembershipFeed
from swifttide_daemon.gateway.store._operator_feed import OperatorFeed
from swifttide_daemon.gateway.store._peer_fed_store import PeerFedStore
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._shared_store import Rows
from swifttide_daemon.gateway.store._table_watch import (
    BUSY_TABLE_POLL_PAUSE_SECONDS,
    TableWatch,
)
from swifttide_daemon.telemetry import EventLog


@dataclass(frozen=True, slots=True)
class TableWatches:
    """What follows configuration, targets and hosts.

    Parameters
    ----------
    config, targets, hosts : TableWatch
    tables : dict of str to TableWatch
        The same by the names of their tables.
    """

    config: TableWatch
    targets: TableWatch
    hosts: TableWatch
    by_table: dict[str, TableWatch]

    @classmethod
    def build(
        cls,
        store: RelayedStore,
        peer_fed_store: PeerFedStore,
        decoders: Decoders,
        operator_feed: OperatorFeed,
        membership_feed: MembershipFeed,
        find_copy: Callable[[str], Awaitable[Rows | None]],
        log: EventLog,
    ) -> "TableWatches":
        """Return the feeds of one host.

        Parameters
        ----------
        store : RelayedStore
            Where the configuration is read by each host: a large one would fill the
            link of a host that passes it on.
        passed : PassedFeed
            Where targets and hosts are followed: rows that are renewed all the time.
        decoders : Decoders
        operator_feed : OperatorFeed
            Takes the operator's rows.
        feed : RowFeed
            Takes the others.
        find_copy : callable
            Returns the rows of a table that another host knows, or None.
        log : EventLog
        """
        config = TableWatch(
            store,
            decoders.config_table,
            operator_feed.replace_rows,
            operator_feed.apply_changes,
            _ignore_state,
            find_copy,
            log,
        )
        targets = TableWatch(
            peer_fed_store,
            decoders.targets_table,
            membership_feed.replace_targets,
            membership_feed.apply_target_changes,
            membership_feed.set_store_state,
            find_copy,
            log,
            BUSY_TABLE_POLL_PAUSE_SECONDS,
        )
        hosts = TableWatch(
            peer_fed_store,
            FLEET_TABLE,
            membership_feed.replace_hosts,
            membership_feed.apply_host_changes,
            _ignore_state,
            find_copy,
            log,
            BUSY_TABLE_POLL_PAUSE_SECONDS,
        )
        tables = {
            decoders.config_table: config,
            decoders.targets_table: targets,
            FLEET_TABLE: hosts,
        }
        return cls(config, targets, hosts, tables)

    def all(self) -> tuple[TableWatch, ...]:
        """Return all that has to run."""
        return self.config, self.targets, self.hosts

    def watch_of(self, table: str) -> TableWatch | None:
        """Return what follows a table, None where nothing does."""
        return self.by_table.get(table)


def _ignore_state(up: bool) -> None:
    """Take whether the store answered, where that is of no use."""

"""Sets up the watches for the store tables that each host follows."""

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
    """Watches of the tables with configuration, targets and hosts.

    Parameters
    ----------
    config, targets, hosts : TableWatch
    by_table : dict of str to TableWatch
        The same watches by table name, each of which has to be run as a task.
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
        """Return the watches of one host.

        Parameters
        ----------
        store : RelayedStore
            Used for the configuration. Each host reads it from the store, because a
            large configuration would saturate the link of a host that forwards it.
        peer_fed_store : PeerFedStore
            Used for targets and hosts, whose rows are renewed all the time.
        decoders : Decoders
        operator_feed : OperatorFeed
            Gets the rows of the operator's table.
        membership_feed : MembershipFeed
            Gets the rows of targets and hosts.
        find_copy : callable
            Takes a table name; returns the copy of its rows from another host, or None.
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

    def watch_of(self, table: str) -> TableWatch | None:
        """Return the watch of a table, or None if the table is not followed."""
        return self.by_table.get(table)


def _ignore_state(up: bool) -> None:
    """Ignore the state of the store: one watch is enough to report it."""

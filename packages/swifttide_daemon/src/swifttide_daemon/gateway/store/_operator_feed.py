"""Applies rows of the operator's table to this host's view of the configuration."""

from collections.abc import Callable

from swifttide_core.forwarding import RoutingConfig
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._shared_store import StoredRow
from swifttide_daemon.gateway.store._unusable_rows import UnusableRows


class OperatorFeed:
    """Applies rows of the operator's table: the configuration, and zones to drain.

    Parameters
    ----------
    decoders : Decoders
    beliefs : Beliefs
        This host's view of configuration and targets, which is updated.
    on_config : callable
        Takes each configuration that takes effect.
    unusable : UnusableRows
    """

    def __init__(
        self,
        decoders: Decoders,
        beliefs: Beliefs,
        on_config: Callable[[RoutingConfig], None],
        unusable: UnusableRows,
    ):
        self._decoders = decoders
        self._beliefs = beliefs
        self._on_config = on_config
        self._unusable = unusable

    def replace_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply a full read of the table; zones without a row are no longer drained."""
        zones = (self._decoders.emptied_zone(r.key.key) for r in rows)
        self._beliefs.replace_emptied_zones({z for z in zones if z is not None})
        for row in rows:
            self._apply_config(row)

    def apply_changes(self, rows: tuple[StoredRow, ...]) -> int:
        """Apply rows that were written or removed.

        Returns the newest version among the rows that changed this host's view, or 0.
        """
        newest = 0
        for row in rows:
            if self._apply_emptied_zone(row) or self._apply_config(row):
                newest = max(newest, row.version)
        return newest

    def _apply_emptied_zone(self, row) -> bool:
        """Apply a row that drains a zone: its existence counts, not its contents."""
        zone = self._decoders.emptied_zone(row.key.key)
        if zone is None:
            return False
        return self._beliefs.set_zone_emptied(zone, not row.deleted)

    def _apply_config(self, row) -> bool:
        """Apply a configuration; an unusable one leaves the current in effect."""
        if row.key.key != self._decoders.config_key or row.value is None:
            return False
        is_news = False
        with self._unusable.skip(row):
            cfg = self._decoders.config(row.value)
            is_news = self._beliefs.apply_config(cfg, "store")
            if is_news:
                self._on_config(cfg)
        return is_news

"""Store access for work whose data may only pass through hosts of certain regions."""

from typing import Protocol

from swifttide_core.forwarding import AllowedRegions
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Conflict,
    Rows,
    Transaction,
    Unavailable,
)


class RegionalStore(Protocol):
    """Store whose calls may be relayed by other hosts.

    The argument ``homes`` is the set of regions whose hosts may relay a call. None
    allows all regions.
    """

    async def commit(
        self, tx: Transaction, homes: AllowedRegions = None
    ) -> Applied | Conflict | Unavailable:
        """Apply a transaction; only hosts in these regions may relay it."""

    async def read(
        self,
        table: str,
        part: str,
        start: str = "",
        end: str = "",
        homes: AllowedRegions = None,
    ) -> Rows | Unavailable:
        """Read rows; only hosts in these regions may relay them."""


class HomeStore:
    """Reaches the store directly, or through hosts of certain regions.

    Parameters
    ----------
    store : RegionalStore
    homes : frozenset of str
        Regions whose hosts may relay calls.
    """

    def __init__(self, store: RegionalStore, homes: frozenset[str]):
        self._store = store
        self._homes = homes

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""
        return await self._store.commit(tx, self._homes)

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part."""
        return await self._store.read(table, part, start, end, self._homes)

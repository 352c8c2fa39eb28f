"""Reads and writes the division of a customer's rate among zones.

It is stored in the platform's ``shares`` table, with one row per customer.
"""

from dataclasses import dataclass

from expression import Error, Ok, Result

from swifttide_core.documents import Customer
from swifttide_core.limits import ZoneShares
from swifttide_daemon.store import (
    Check,
    Committed,
    PlatformClient,
    PlatformError,
    Transaction,
    Write,
)

SHARES_TABLE = "shares"
HOSTS_TABLE = "hosts"


@dataclass(frozen=True, slots=True)
class StoredShares:
    """Row of a customer in the ``shares`` table.

    Parameters
    ----------
    shares : ZoneShares
    version : int
    created : bool
        Whether this call created the row, so that no host has served the customer yet.
    """

    shares: ZoneShares
    version: int
    created: bool = False


class ShareRows:
    """Reads, creates and updates rows of the ``shares`` table.

    Parameters
    ----------
    platform : PlatformClient
    """

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    def read(self, customer: Customer) -> Result[StoredShares, PlatformError]:
        """Return the row of a customer; create it if it does not exist."""
        found = self.find(customer.name)
        if found.is_error() or found.ok is not None:
            return found
        return self._create(customer)

    def find(self, customer: str) -> Result[StoredShares | None, PlatformError]:
        """Return the row of a customer, or None if it does not exist."""
        found = self.platform.read(SHARES_TABLE, customer)
        if found.is_error() or found.ok is None:
            return found
        shares = ZoneShares.from_row(found.ok.value)
        return Ok(StoredShares(shares, found.ok.version))

    def write(
        self,
        customer: str,
        version: int,
        shares: ZoneShares,
        checks: tuple[Check, ...] = (),
    ) -> bool:
        """Write a row if its version is unchanged; return whether it took effect.

        Parameters
        ----------
        customer : str
        version : int
            Version of the row from which `shares` was computed.
        shares : ZoneShares
        checks : tuple of Check
            Further conditions. Without a check of the slot, a holder that was paused
            could give away a part that its successor already uses.
        """
        tx = Transaction(
            (Check(SHARES_TABLE, customer, version), *checks),
            (Write(SHARES_TABLE, customer, shares.to_row()),),
        )
        outcome = self.platform.commit(tx)
        return outcome.is_ok() and isinstance(outcome.ok, Committed)

    def _create(self, customer: Customer) -> Result[StoredShares, PlatformError]:
        zones = self._zones()
        if zones.is_error():
            return zones
        shares = ZoneShares.from_config(customer, zones.ok)
        if self.write(customer.name, 0, shares):
            again = self.platform.read(SHARES_TABLE, customer.name)
            version = again.ok.version if again.is_ok() and again.ok else 0
            return Ok(StoredShares(shares, version, created=True))
        found = self.platform.read(SHARES_TABLE, customer.name)
        if found.is_error() or found.ok is None:
            return Error(PlatformError("cannot create the shares row of the customer"))
        shares = ZoneShares.from_row(found.ok.value)
        return Ok(StoredShares(shares, found.ok.version))

    def _zones(self) -> Result[list[str], PlatformError]:
        rows = self.platform.scan(HOSTS_TABLE)
        return rows.map(lambda found: sorted({row.key.split("/")[0] for row in found}))

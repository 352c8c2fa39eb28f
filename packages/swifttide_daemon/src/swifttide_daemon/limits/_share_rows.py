"""The division of a customer's rate among zones, in the platform's table."""

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
    """The row of a customer.

    Parameters
    ----------
    shares : ZoneShares
    version : int
    created : bool
        Whether this very call made the row: nobody can have served the customer.
    """

    shares: ZoneShares
    version: int
    created: bool = False


class ShareRows:
    """Reads, makes and moves shares.

    Parameters
    ----------
    platform : PlatformClient
    """

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    def read(self, customer: Customer) -> Result[StoredShares, PlatformError]:
        """Return a customer's division, making it at the first call of all."""
        found = self.platform.read(SHARES_TABLE, customer.name)
        if found.is_error():
            return found
        if found.ok is not None:
            shares = ZoneShares.from_row(found.ok.value)
            return Ok(StoredShares(shares, found.ok.version))
        return self._create(customer)

    def write(
        self,
        customer: str,
        version: int,
        shares: ZoneShares,
        checks: tuple[Check, ...] = (),
    ) -> bool:
        """Write a division if nobody else has since; return whether it took effect.

        Parameters
        ----------
        customer : str
        version : int
            Of the row that the division was made from.
        shares : ZoneShares
        checks : tuple of Check
            Further conditions. Without that of the slot, a holder that was paused
            gives away a part that its successor has begun to use.
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
            return Error(PlatformError("the shares can't be made"))
        shares = ZoneShares.from_row(found.ok.value)
        return Ok(StoredShares(shares, found.ok.version))

    def _zones(self) -> Result[list[str], PlatformError]:
        rows = self.platform.scan(HOSTS_TABLE)
        return rows.map(lambda found: sorted({row.key.split("/")[0] for row in found}))

"""Right of a host process to lend tokens that are not recorded in the store.

Decides until when the successor of a host process may not lend, from the last record
that the predecessor wrote to the store. Loans are kept in memory only, so a process
that dies loses the record of them, and its successor may lend only if its predecessor
cannot have lent anything. Otherwise the same tokens could be lent twice.

Each host renews its record periodically, and lends only when it could not renew it for
longer than the delay stated in the record. A successor that finds a record younger than
this delay therefore knows that its predecessor had not begun to lend.
"""

from typing import Annotated

import msgspec

MIN_LENDING_DELAY_MS = 1_200
"""Smallest delay from the last record of a host until it may lend. It covers four
renewals, and is longer than a killed process needs to restart. New programs are refused
for this time at the start of each outage."""

LOAN_RETENTION_MS = 7_200_000
"""Time for which a loan may be in use: as long as the account of a program is kept."""

StoreMilliseconds = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
"""Time of the store's clock, or its estimate. Every JSON parser represents it
exactly."""


class LendingState(msgspec.Struct, frozen=True):
    """Lending record of a host in the store; times are of the store's clock.

    Parameters
    ----------
    told_ms : int
        Time at which the host wrote the record, in milliseconds.
    wait_ms : int
        Delay after this record before which the host does not lend, in milliseconds.
    barred_until_ms : int
        Time before which a successor may not lend, in milliseconds.
    closed : bool
        Whether the host stopped as planned and lends nothing after this record.
    overdrawn : tuple of str
        Keys of programs to which nothing may be lent, because loans have exceeded their
        budgets.
    """

    told_ms: StoreMilliseconds
    wait_ms: StoreMilliseconds = 0
    barred_until_ms: StoreMilliseconds = 0
    closed: bool = False
    overdrawn: tuple[str, ...] = msgspec.field(default=(), name="released")

    def successor_barred_until(self, now_ms: int) -> int:
        """Return the time before which a successor that starts now may not lend."""
        if self.closed or now_ms - self.told_ms < self.wait_ms:
            return self.barred_until_ms
        return max(self.barred_until_ms, now_ms + LOAN_RETENTION_MS)

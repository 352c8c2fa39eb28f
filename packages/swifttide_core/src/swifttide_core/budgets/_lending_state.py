"""Whether a host may lend tokens that no row has.

A host that dies takes the memory of what it lent along. Its successor may lend only if
nothing can have been lent before it. Each host tells the store every while that it is
there, and lends only when it has not told so for longer than its record says. A
successor that finds a younger record knows that its predecessor had not begun to lend.
"""

from dataclasses import dataclass

MIN_LENDING_DELAY_MS = 1_200
"""From a host's last record until it may lend, at least: four records, and more than a
process that was killed needs to be back. New programs are refused for so long at the
start of each outage."""

LOAN_RETENTION_MS = 7_200_000
"""For so long what was lent may still count: as long as a program's account is kept."""


@dataclass(frozen=True, slots=True)
class LendingState:
    """What a host's row says, by the store's clock in milliseconds.

    Parameters
    ----------
    told_ms : int
        When the host wrote it.
    wait_ms : int
        From this record until the host may lend.
    barred_until_ms : int
        A successor may not lend before then.
    closed : bool
        Whether the host stopped as planned, and lends nothing after this record.
    released : tuple of str
        Keys of programs to which nothing may be lent: their accounts have it all.
    """

    told_ms: int
    wait_ms: int = 0
    barred_until_ms: int = 0
    closed: bool = False
    released: tuple[str, ...] = ()

    def successor_barred_until(self, now_ms: int) -> int:
        """Return until when the host's successor may not lend."""
        if self.closed or now_ms - self.told_ms < self.wait_ms:
            return self.barred_until_ms
        return max(self.barred_until_ms, now_ms + LOAN_RETENTION_MS)

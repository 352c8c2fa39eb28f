"""Reads the hosts and slots of a zone from the platform's store."""

from expression import Ok, Result

from swifttide_core.membership import SlotRow
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.membership._rows import (
    HOSTS,
    SLOTS,
    ZONE_HEADS,
    host_row_of,
    slot_row_of,
)
from swifttide_daemon.membership._zone_view import ZoneView
from swifttide_daemon.store import PlatformClient, PlatformError


class ZoneReader:
    """Reads zones from the platform.

    Each zone has a head row, whose version increases with every change of the zone's
    hosts or slots. Reading it alone shows whether the zone must be read again.

    Parameters
    ----------
    platform : PlatformClient
    n_slots : int
        Number of slots of each zone.
    """

    def __init__(self, platform: PlatformClient, n_slots: int) -> None:
        self.platform = platform
        self.n_slots = n_slots

    def head_version(self, zone: str) -> Result[int, PlatformError]:
        """Return the version of a zone's head row, 0 when there is none."""
        row = self.platform.read(ZONE_HEADS, zone)
        return row.map(lambda found: found.version if found else 0)

    def read(self, zone: str) -> Result[ZoneView, PlatformError]:
        """Read the head row, all hosts and all slots of a zone.

        The head row is read first. If the zone changes between the reads, the next
        comparison finds a newer head version, and the zone is read again.
        """
        head = self.head_version(zone)
        if head.is_error():
            return head
        hosts = self.platform.scan(HOSTS, f"{zone}/")
        if hosts.is_error():
            return hosts
        slots = self.platform.scan(SLOTS, f"{zone}/")
        if slots.is_error():
            return slots
        slot_rows = {row.slot: row for row in map(slot_row_of, slots.ok)}
        return Ok(
            ZoneView(
                head_version=head.ok,
                hosts={row.host: row for row in map(host_row_of, hosts.ok)},
                slots=tuple(slot_rows.get(s, SlotRow(s)) for s in range(self.n_slots)),
                read_at=elapsed_seconds(),
            )
        )

"""Reads the hosts and slots of a zone from the platform's store."""

from expression import Error, Ok, Result

from swifttide_core.membership import HostRow, SlotRow
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.membership._rows import (
    HOSTS,
    SLOTS,
    ZONE_HEADS,
    host_row_of,
    slot_row_of,
)
from swifttide_daemon.membership._zone_view import ZoneView
from swifttide_daemon.store import PlatformClient, PlatformError, UnusableRows


class ZoneReader:
    """Reads zones from the platform.

    Each zone has a head row, whose version increases with every change of the zone's
    hosts or slots. Reading it alone shows whether the zone must be read again.

    Parameters
    ----------
    platform : PlatformClient
    n_slots : int
        Number of slots of each zone.

    Notes
    -----
    Hosts and slots are never removed. Where another writer replaced a row by one that
    can't be used, the row before counts: without it, the slots of a host would be free
    before its lease has ended. Its neighbours depose it once the lease has.
    """

    def __init__(self, platform: PlatformClient, n_slots: int) -> None:
        self.platform = platform
        self.n_slots = n_slots
        self._unusable = UnusableRows()
        self._hosts: dict[str, dict[str, HostRow]] = {}
        self._slots: dict[str, dict[int, SlotRow]] = {}

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
        host_rows = self._hosts.get(zone, {}) | {
            row.host: row for row in self._unusable.decode(HOSTS, hosts.ok, host_row_of)
        }
        slot_rows = self._slots.get(zone, {}) | {
            row.slot: row for row in self._unusable.decode(SLOTS, slots.ok, slot_row_of)
        }
        if any(row.host and row.host not in host_rows for row in slot_rows.values()):
            return Error(PlatformError("a slot whose holder can't be read"))
        self._hosts[zone], self._slots[zone] = host_rows, slot_rows
        return Ok(
            ZoneView(
                head_version=head.ok,
                hosts=host_rows,
                slots=tuple(slot_rows.get(s, SlotRow(s)) for s in range(self.n_slots)),
                read_at=elapsed_seconds(),
            )
        )

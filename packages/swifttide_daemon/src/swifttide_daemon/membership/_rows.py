"""Conversion of host and slot rows between stored rows and core types."""

from typing import Any

import msgspec

from swifttide_core.membership import HostRow, SlotRow
from swifttide_daemon.store import Row

HOSTS = "hosts"
SLOTS = "slots"
ZONE_HEADS = "zone_heads"


def host_row_of(row: Row) -> HostRow:
    """Decode a row of the ``hosts`` table."""
    return msgspec.convert(row.value, HostRow)


def host_value(row: HostRow) -> dict[str, Any]:
    """Encode the value of a row of the ``hosts`` table."""
    return msgspec.to_builtins(row)


def slot_key(zone: str, slot: int) -> str:
    """Return the key of a slot's row in the ``slots`` table."""
    return f"{zone}/{slot:05d}"


def slot_row_of(row: Row) -> SlotRow:
    """Decode a row of the ``slots`` table."""
    slot = int(row.key.rpartition("/")[2])
    return msgspec.convert({**row.value, "slot": slot, "version": row.version}, SlotRow)


def slot_value(row: SlotRow) -> dict[str, Any]:
    """Encode the value of a row of the ``slots`` table.

    The slot number and the version are omitted: the row's key holds the slot number,
    and the store keeps the version of each row.
    """
    return {"host": row.host, "incarnation": row.incarnation, "epoch": row.epoch}

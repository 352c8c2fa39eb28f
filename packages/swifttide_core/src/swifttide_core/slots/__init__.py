"""Slots: the fixed partitions of keys within an availability zone.

Each slot is held by one host of the zone at a time, which makes the decisions for all
keys of the slot.
"""

from swifttide_core.slots._slot_map import (
    SlotKind,
    preferred_host,
    ranked_zones,
    slot_of,
)

__all__ = ["SlotKind", "preferred_host", "ranked_zones", "slot_of"]

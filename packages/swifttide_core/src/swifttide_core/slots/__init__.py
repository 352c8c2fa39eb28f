"""Slots: fixed units of decision inside an availability zone."""

from swifttide_core.slots._slot_map import (
    SlotKind,
    preferred_host,
    ranked_zones,
    slot_of,
)

__all__ = ["SlotKind", "preferred_host", "ranked_zones", "slot_of"]

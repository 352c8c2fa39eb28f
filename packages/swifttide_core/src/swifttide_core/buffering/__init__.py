"""Bounds on what a host buffers and reads for other processes, without I/O."""

from swifttide_core.buffering._delivery_progress import DeliveryProgress
from swifttide_core.buffering._memory_budget import (
    GiveUp,
    MemoryBudget,
    Pause,
    ReadOn,
)
from swifttide_core.buffering._piece_budget import PieceBudget
from swifttide_core.buffering._transfer_deadline import TransferDeadline

__all__ = [
    "DeliveryProgress",
    "GiveUp",
    "MemoryBudget",
    "Pause",
    "PieceBudget",
    "ReadOn",
    "TransferDeadline",
]

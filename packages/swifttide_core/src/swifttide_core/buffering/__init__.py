"""Bound on the bytes that a host buffers for slow connections, without I/O."""

from swifttide_core.buffering._memory_budget import (
    GiveUp,
    MemoryBudget,
    Pause,
    ReadOn,
)

__all__ = ["GiveUp", "MemoryBudget", "Pause", "ReadOn"]

"""State of agent programs at the host that holds their slot.

The holder keeps the stored rows, the conversation history and the order of calls of its
programs in memory, and reads and writes rows and history at the platform.
"""

from swifttide_daemon.programs._chunk import Chunk, Message
from swifttide_daemon.programs._program_registry import ProgramRegistry
from swifttide_daemon.programs._program_store import ProgramStore, platform_refusal
from swifttide_daemon.programs._program_tree import (
    AdvanceReservation,
    ProgramEntry,
    ProgramTree,
)

__all__ = [
    "AdvanceReservation",
    "Chunk",
    "Message",
    "ProgramEntry",
    "ProgramRegistry",
    "ProgramStore",
    "ProgramTree",
    "platform_refusal",
]

"""Programs at their holder: rows, history and order."""

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

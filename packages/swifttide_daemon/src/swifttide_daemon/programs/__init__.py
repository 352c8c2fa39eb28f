"""Programs at their holder: rows, history, order and budget."""

from swifttide_daemon.programs._chunk import Chunk, Message, chunk_name
from swifttide_daemon.programs._program_book import (
    ProgramBook,
    TurnResult,
    platform_refusal,
)
from swifttide_daemon.programs._program_tree import ProgramEntry, ProgramTree

__all__ = [
    "Chunk",
    "Message",
    "ProgramBook",
    "ProgramEntry",
    "ProgramTree",
    "TurnResult",
    "chunk_name",
    "platform_refusal",
]

"""Programs at their holder: rows, history and order."""

from swifttide_daemon.programs._chunk import Chunk, Message
from swifttide_daemon.programs._program_book import ProgramBook
from swifttide_daemon.programs._program_store import ProgramStore, platform_refusal
from swifttide_daemon.programs._program_tree import Ahead, ProgramEntry, ProgramTree

__all__ = [
    "Ahead",
    "Chunk",
    "Message",
    "ProgramBook",
    "ProgramEntry",
    "ProgramStore",
    "ProgramTree",
    "platform_refusal",
]

"""The configuration: what is in force here, and edits of it."""

from swifttide_daemon.configuration._edit import (
    Accepted,
    EditOutcome,
    OutdatedVersion,
    UnknownOutcome,
)
from swifttide_daemon.configuration._editor import ConfigEditor
from swifttide_daemon.configuration._service import ConfigService

__all__ = [
    "Accepted",
    "ConfigEditor",
    "ConfigService",
    "EditOutcome",
    "OutdatedVersion",
    "UnknownOutcome",
]

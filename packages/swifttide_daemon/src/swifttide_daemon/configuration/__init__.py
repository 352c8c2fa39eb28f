"""The configuration of the deployment: the version in force here, and its edits.

The configuration consists of named documents of several kinds, such as customers,
targets, profiles and keys. Each edit of a document increments the version of the
whole configuration by one.
"""

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

"""Conversion of configuration rows between stored rows and core types."""

from typing import Any

import msgspec

from swifttide_core.configuration import Change
from swifttide_core.documents import DocumentKind
from swifttide_daemon.store import Row

CONFIG_TABLE = "config"
DOCUMENTS_TABLE = "config_docs"
LOG_TABLE = "config_log"
HEAD_KEY = "head"


def doc_key(kind: DocumentKind, name: str) -> str:
    """Return the key of a document's row."""
    return f"{kind.value}/{name}"


def log_key(version: int) -> str:
    """Return the key of a log entry, padded so that keys sort by version."""
    return f"{version:012d}"


def change_value(change: Change) -> dict[str, Any]:
    """Encode a change as the value of a row."""
    return msgspec.to_builtins(change)


def change_of(row: Row) -> Change:
    """Decode a row of the log table or the documents table; both hold changes."""
    return msgspec.convert(row.value, Change)

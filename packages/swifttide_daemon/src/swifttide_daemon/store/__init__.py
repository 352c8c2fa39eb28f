"""The platform: what must last or be agreed goes through here."""

from swifttide_daemon.store._client import PlatformClient
from swifttide_daemon.store._types import (
    Check,
    Committed,
    Conflict,
    PlatformError,
    Row,
    Transaction,
    Write,
    new_id,
)

__all__ = [
    "Check",
    "Committed",
    "Conflict",
    "PlatformClient",
    "PlatformError",
    "Row",
    "Transaction",
    "Write",
    "new_id",
]

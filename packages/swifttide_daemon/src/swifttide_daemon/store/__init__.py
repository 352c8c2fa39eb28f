"""Client of the platform's store: versioned rows, transactions and objects.

State that must be durable, or on which several hosts must agree, is kept there.
"""

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
from swifttide_daemon.store._unusable_rows import UnusableRows

__all__ = [
    "Check",
    "Committed",
    "Conflict",
    "PlatformClient",
    "PlatformError",
    "Row",
    "Transaction",
    "UnusableRows",
    "Write",
    "new_id",
]

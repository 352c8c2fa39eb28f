"""What may be repeated of a request."""

from enum import Enum


class RequestKind(Enum):
    """How often a request may run.

    A stream counts as not repeatable unless its route says that it may be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"

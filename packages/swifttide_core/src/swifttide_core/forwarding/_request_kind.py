"""Whether a request may be executed more than once."""

from enum import Enum


class RequestKind(Enum):
    """Kind of a request, which determines whether it may be retried.

    A streaming request is not retried, unless its route is marked as resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"

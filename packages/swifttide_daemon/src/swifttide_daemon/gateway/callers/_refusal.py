"""Responses with which the gateway itself refuses or fails a request."""

from dataclasses import dataclass

NO_TARGET_OF_ORIGIN = "no_target_of_origin"
"""Reason to end a stream: no target of the software that began it is left."""

HOST_STOPPING = "host_stopping"
"""Reason to refuse a request that this host can't answer before its shutdown ends."""


@dataclass(frozen=True, slots=True)
class Refusal(Exception):
    """A request is answered by the gateway instead of a target.

    Parameters
    ----------
    status : int
        HTTP status. 429 and 503 guarantee that the request hasn't run and won't run.
    reason : str
        Name of the reason, for the caller, the log and metrics.
    retry_after : float or None
        Seconds after which the caller may retry; None if a retry would be useless.
    """

    status: int
    reason: str
    retry_after: float | None = None

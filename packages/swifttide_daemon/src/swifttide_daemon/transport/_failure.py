"""Classifies errors of HTTP requests by whether the request may have run."""

from urllib3 import exceptions

from swifttide_core.verdicts import Verdict


def verdict_for_error(exc: Exception) -> Verdict:
    """Return whether a request that raised `exc` may have run.

    Only a connection that was never established proves that no byte was sent. An
    error on an open connection, even a reset at the first write, proves nothing,
    because the peer may have read the request before it died.
    """
    match exc:
        case exceptions.NewConnectionError() | exceptions.ConnectTimeoutError():
            return Verdict.NOT_RUN
        case _:
            return Verdict.MAY_HAVE_RUN

"""What a failed exchange says about whether the request arrived."""

from urllib3 import exceptions

from swifttide_core.verdicts import Verdict


def verdict_for_error(exc: Exception) -> Verdict:
    """Return what is known of a request whose exchange raised `exc`.

    Only a connection that never came about proves that no byte left. An error on an
    open connection, be it a reset at the first write, proves nothing: the other end
    may have read the request before it died.
    """
    match exc:
        case exceptions.NewConnectionError() | exceptions.ConnectTimeoutError():
            return Verdict.NOT_RUN
        case _:
            return Verdict.MAY_HAVE_RUN

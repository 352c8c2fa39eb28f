"""Calls of plain services."""

import re

import urllib3

from swifttide_core.documents import Target
from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets._engine_events import TargetFailure
from swifttide_daemon.targets._service_answer import ServiceAnswer
from swifttide_daemon.transport import make_connection_pool, verdict_for_error

REQUEST_ID = "X-Request-Id"
OTHER_CONTENT = "application/octet-stream"
_PLAIN = re.compile(r"[\x20-\x7e]{1,200}")


class ServiceClient:
    """Sends a call once and says what became of it.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections for calls that may be repeated.
    connect_seconds : float
        Timeout of a new connection.
    """

    def __init__(self, pool: urllib3.PoolManager, connect_seconds: float) -> None:
        self.pool = pool
        self.connect_seconds = connect_seconds

    @classmethod
    def from_settings(cls, timeouts: TimeoutSettings) -> "ServiceClient":
        """Return a client with the settings' timeouts."""
        return cls(make_connection_pool(128), timeouts.connect_seconds)

    def send(
        self,
        target: Target,
        path: str,
        body: bytes,
        headers: dict[str, str],
        seconds: float,
        reuse: bool,
    ) -> ServiceAnswer:
        """Send one call.

        Parameters
        ----------
        target : Target
        path : str
            Below the target's base URL, without a leading slash.
        body : bytes
        headers : dict
            Include the request id, which an answer may echo.
        seconds : float
            Time for the answer.
        reuse : bool
            Whether a kept connection may carry it. On a kept connection that the
            other end has just closed nobody can tell whether the call arrived; a
            new one leaves no such doubt, so calls that may not be repeated get one.

        Raises
        ------
        TargetFailure
            When there is no whole answer to this very call.
        """
        pool = self.pool if reuse else make_connection_pool(1, 1)
        try:
            answer = pool.request(
                "POST",
                f"{target.url}/{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=self.connect_seconds, read=seconds),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            verdict = verdict_for_error(exc)
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"no answer of the service ({type(exc).__name__})",
                verdict,
                broke=verdict is Verdict.MAY_HAVE_RUN,
            ) from exc
        finally:
            if not reuse:
                pool.clear()
        echoed = answer.headers.get(REQUEST_ID)
        if echoed is not None and echoed != headers[REQUEST_ID]:
            raise TargetFailure(
                Reason.TARGET_FAILED,
                "got an answer to another request",
                Verdict.MAY_HAVE_RUN,
            )
        return ServiceAnswer(answer.status, answer.data, _content_type(answer))


def _content_type(answer: urllib3.BaseHTTPResponse) -> str:
    """Return the answer's content type where it is a plain one.

    It is passed on to the caller as a header. A folded one carries a line break, by
    which a target would add headers of its own to our answer.
    """
    value = answer.headers.get("Content-Type", "")
    return value if _PLAIN.fullmatch(value) else OTHER_CONTENT

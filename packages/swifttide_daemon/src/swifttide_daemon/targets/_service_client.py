"""Client for HTTP calls of plain services.

Each call is sent once; a failure says whether the call may have run.
"""

import re
import time

import urllib3

from swifttide_core.documents import Target
from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets._engine_events import TargetFailure
from swifttide_daemon.targets._service_answer import ServiceAnswer
from swifttide_daemon.transport import (
    make_connection_pool,
    read_body,
    verdict_for_error,
)

REQUEST_ID_HEADER = "X-Request-Id"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer of a service, which is read whole before it is forwarded."""

_PRINTABLE_ASCII = re.compile(r"[\x20-\x7e]{1,200}")


class ServiceClient:
    """Sends calls to services, without retries.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Pool of kept connections, for calls that may be repeated.
    connect_seconds : float
        Timeout of a new connection in seconds.
    """

    def __init__(self, pool: urllib3.PoolManager, connect_seconds: float) -> None:
        self.pool = pool
        self.connect_seconds = connect_seconds

    @classmethod
    def from_settings(cls, timeouts: TimeoutSettings) -> "ServiceClient":
        """Return a client with the timeouts of the settings."""
        return cls(make_connection_pool(128), timeouts.connect_seconds)

    def send(
        self,
        target: Target,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_seconds: float,
        reuse_connection: bool,
    ) -> ServiceAnswer:
        """Send one call.

        Parameters
        ----------
        target : Target
        path : str
            Path below the base URL of the target, without a leading slash.
        body : bytes
        headers : dict
            Headers, including the request id, which the answer may echo.
        timeout_seconds : float
            Longest time without data from the service, and for its whole body.
        reuse_connection : bool
            Whether a kept connection may be used. If the service has just closed a
            kept connection, it is unknown whether the call arrived. Calls that must
            not be repeated therefore use a new connection.

        Raises
        ------
        TargetFailure
            If there is no complete answer to this call.
        """
        pool = self.pool if reuse_connection else make_connection_pool(1, 1)
        deadline = time.monotonic() + timeout_seconds
        try:
            answer = pool.request(
                "POST",
                f"{target.url}/{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self.connect_seconds, read=timeout_seconds
                ),
                preload_content=False,
            )
            data = read_body(answer, deadline, MAX_ANSWER_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            verdict = verdict_for_error(exc)
            raise TargetFailure(
                Reason.TARGET_FAILED,
                f"no answer from the service ({type(exc).__name__})",
                verdict,
                connection_broke=verdict is Verdict.MAY_HAVE_RUN,
            ) from exc
        finally:
            if not reuse_connection:
                pool.clear()
        echoed = answer.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != headers[REQUEST_ID_HEADER]:
            raise TargetFailure(
                Reason.TARGET_FAILED,
                "service answered another request",
                Verdict.MAY_HAVE_RUN,
            )
        return ServiceAnswer(answer.status, data, _content_type(answer))


def _content_type(answer: urllib3.BaseHTTPResponse) -> str:
    """Return the content type of an answer if it is short printable ASCII.

    It is sent to the caller as a header. A folded header contains a line break, with
    which a target could add headers to the answer; it is replaced by a default.
    """
    value = answer.headers.get("Content-Type", "")
    return value if _PRINTABLE_ASCII.fullmatch(value) else DEFAULT_CONTENT_TYPE

"""Authentication of requests between the hosts of one deployment.

Each request carries an HMAC-SHA256 signature made with the deployment's secret. Without
it, anyone who reaches the peer port could draw a customer's rate tokens or read a
program. The signed time limits how long a recorded request can be replayed.
"""

import hmac
import time
from hashlib import sha256

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

MAX_CLOCK_SKEW_SECONDS = 60.0
"""Maximum difference between the signed time and the receiver's wall clock.

The time service of the machines keeps the wall clocks of hosts well within this limit.
"""

HOST_HEADER = "X-Peer-Host"
TIME_HEADER = "X-Peer-Time"
PROOF_HEADER = "X-Peer-Proof"


class PeerProof:
    """Signs and verifies requests between hosts.

    Parameters
    ----------
    secret : bytes
        Secret shared by all hosts of the deployment.
    host : str
        Id of this host.
    """

    def __init__(self, secret: bytes, host: str) -> None:
        self.secret = secret
        self.host = host

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the authentication headers of a request of this host."""
        at = f"{time.time():.3f}"
        return {
            HOST_HEADER: self.host,
            TIME_HEADER: at,
            PROOF_HEADER: self._sign(method, path, self.host, at, body),
        }

    def check(self, req: Request) -> Refusal | None:
        """Return the refusal of a request, or None if its signature is valid."""
        at = req.header(TIME_HEADER.lower())
        host = req.header(HOST_HEADER.lower())
        path = f"{req.path}?{req.query}" if req.query else req.path
        wanted = self._sign(req.method, path, host, at, req.body)
        # Compared as bytes: compare_digest raises for a str that isn't ASCII, and the
        # response would then be an error that says that the call may have run.
        got = req.header(PROOF_HEADER.lower()).encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(wanted.encode(), got):
            return Refusal(
                Reason.UNAUTHENTICATED, "the signature of the peer's request is invalid"
            )
        if abs(time.time() - float(at)) > MAX_CLOCK_SKEW_SECONDS:
            return Refusal(
                Reason.UNAUTHENTICATED,
                "the time of the peer's request differs too much from the local clock",
            )
        return None

    def _sign(self, method: str, path: str, host: str, at: str, body: bytes) -> str:
        head = "\0".join((method, path, host, at)).encode("utf-8", "surrogateescape")
        return hmac.new(self.secret, head + b"\0" + body, sha256).hexdigest()

"""Proof that a peer's call comes from this deployment.

Anyone who reaches the peers' port could otherwise hand out a customer's rate or read
a program. The secret signs each call; the time bounds how long a recorded call
can be played again.
"""

import hmac
import time
from hashlib import sha256

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

MAX_CLOCK_SKEW_SECONDS = 60.0
"""Wall clocks of hosts are kept by the machines' time service, well within this."""

HOST_HEADER = "X-Peer-Host"
TIME_HEADER = "X-Peer-Time"
PROOF_HEADER = "X-Peer-Proof"


class PeerProof:
    """Signs and checks calls between hosts.

    Parameters
    ----------
    secret : bytes
        The deployment's secret.
    host : str
        Id of this host.
    """

    def __init__(self, secret: bytes, host: str) -> None:
        self.secret = secret
        self.host = host

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the headers that prove a call of this host."""
        at = f"{time.time():.3f}"
        return {
            HOST_HEADER: self.host,
            TIME_HEADER: at,
            PROOF_HEADER: self._sign(method, path, self.host, at, body),
        }

    def check(self, req: Request) -> Refusal | None:
        """Return why a call is refused, or None."""
        at = req.header(TIME_HEADER.lower())
        host = req.header(HOST_HEADER.lower())
        path = f"{req.path}?{req.query}" if req.query else req.path
        wanted = self._sign(req.method, path, host, at, req.body)
        # As bytes: compare_digest raises for a str that isn't ASCII, and the call
        # would be answered as an error that may have run.
        got = req.header(PROOF_HEADER.lower()).encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(wanted.encode(), got):
            return Refusal(Reason.UNAUTHENTICATED, "the peer's proof does not fit")
        if abs(time.time() - float(at)) > MAX_CLOCK_SKEW_SECONDS:
            return Refusal(Reason.UNAUTHENTICATED, "the peer's proof is too old")
        return None

    def _sign(self, method: str, path: str, host: str, at: str, body: bytes) -> str:
        head = "\0".join((method, path, host, at)).encode("utf-8", "surrogateescape")
        return hmac.new(self.secret, head + b"\0" + body, sha256).hexdigest()

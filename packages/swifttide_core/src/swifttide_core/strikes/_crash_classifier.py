"""Distinguish the crash of a target from a lost connection.

Load pattern: a stream breaks, because its target crashed or because a component between
both ends lost the connection.

Without this module, an unstable link would give strikes to harmless requests, or a
request that crashes its targets would be sent from one to the next.

A target that crashed returns with another incarnation. After a lost connection, it
answers with the same one. Nothing is concluded until an incarnation has been observed.
"""

from swifttide_core.strikes._strike import Strike

MAX_BROKEN_REQUESTS = 1024
"""Maximum number of broken requests that are stored per target, far above the number
of requests that a target executes concurrently."""


class CrashClassifier:
    """Requests to one target whose connection broke, until the cause is known.

    Parameters
    ----------
    target : str
        Target to which this host dispatches the requests.
    """

    def __init__(self, target):
        self.target = target
        self._broken_requests = {}

    def record_broken_request(self, fingerprint: str, incarnation: str) -> None:
        """Record a request whose answer broke off.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        incarnation : str
            Incarnation of the target when the request was dispatched.
        """
        self._broken_requests[(fingerprint, incarnation)] = None
        if len(self._broken_requests) > MAX_BROKEN_REQUESTS:
            del self._broken_requests[next(iter(self._broken_requests))]

    def classify(self, incarnation: str) -> tuple[Strike, ...]:
        """Classify the broken requests; return the strikes of those with a crash.

        Parameters
        ----------
        incarnation : str
            Incarnation in an answer that was requested after the connection broke.
        """
        strikes = tuple(
            Strike(fingerprint, self.target, dispatched_to)
            for fingerprint, dispatched_to in self._broken_requests
            if dispatched_to != incarnation
        )
        self._broken_requests.clear()
        return strikes

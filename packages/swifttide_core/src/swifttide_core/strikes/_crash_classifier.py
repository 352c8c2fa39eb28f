"""Telling a crash from a cut.

Load pattern: a stream breaks in the middle, because its target died or because
something between the two ends lost the connection.

Without it: a flapping link gives healthy requests strikes, and a request that
crashes its targets goes on from one to the next.

Grounds: a target that died comes back under another incarnation; after a cut it
answers under the same. Until an incarnation is seen, nothing is concluded.
"""

from swifttide_core.strikes._strike import Strike

MAX_BROKEN_REQUESTS = 1024
"""Broken requests kept per target; far above what a target runs at once."""


class CrashClassifier:
    """Requests of one target whose connection broke, until the cause is known.

    Parameters
    ----------
    target : str
        Target that is watched, at the host that dispatches to it.
    """

    def __init__(self, target):
        self.target = target
        self._broken_requests = {}

    def record_broken_request(self, fingerprint: str, incarnation: str) -> None:
        """Note a request whose answer broke off.

        Parameters
        ----------
        fingerprint : str
            Of the request.
        incarnation : str
            Of the target, as it was when the request was dispatched.
        """
        self._broken_requests[(fingerprint, incarnation)] = None
        if len(self._broken_requests) > MAX_BROKEN_REQUESTS:
            del self._broken_requests[next(iter(self._broken_requests))]

    def classify(self, incarnation: str) -> tuple[Strike, ...]:
        """Conclude from an answer of the target; return the strikes to report.

        Parameters
        ----------
        incarnation : str
            Of a fresh answer, asked for after the request broke.
        """
        strikes = tuple(
            Strike(fingerprint, self.target, died)
            for fingerprint, died in self._broken_requests
            if died != incarnation
        )
        self._broken_requests.clear()
        return strikes

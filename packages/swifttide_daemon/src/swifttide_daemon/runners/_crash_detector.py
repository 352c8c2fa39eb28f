"""Decides whether an engine crashed while it processed a request.

After a connection broke, the engine's load report is read up to 3 times. Another
incarnation in the report, or no report at all, means that the engine crashed; the
request's fingerprint is then reported as a strike against the request. The same
incarnation means that only the connection broke.
"""

import threading
import time

from swifttide_core.documents import Target
from swifttide_core.strikes import CrashClassifier, Strike
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient

PROBE_INTERVAL_SECONDS = 0.3
N_PROBES = 3


class CrashDetector:
    """Probes a target after a connection to it broke.

    Parameters
    ----------
    engines : EngineClient
    strikes : StrikeService
    """

    def __init__(self, engines: EngineClient, strikes: StrikeService) -> None:
        self.engines = engines
        self.strikes = strikes
        self._classifiers: dict[str, CrashClassifier] = {}
        self._lock = threading.Lock()

    def query_incarnation(self, target: Target) -> str:
        """Return the engine's current incarnation, or an empty string if it is silent.

        Also classifies earlier broken requests for which the target had not answered,
        and reports those that ran during a crash.
        """
        load = self.engines.load(target)
        if load is None:
            return ""
        self._report_strikes(target, load["incarnation"])
        return load["incarnation"]

    def report_if_crashed(
        self, target: Target, fingerprint: str, incarnation: str
    ) -> bool:
        """Report a strike if the target crashed; return whether it did.

        A lost connection alone leaves the incarnation unchanged. A target that answers
        with another incarnation, or that does not answer `N_PROBES` times in a row, has
        crashed.
        """
        with self._lock:
            classifier = self._classifiers.setdefault(
                target.name, CrashClassifier(target.name)
            )
            classifier.record_broken_request(fingerprint, incarnation)
        for _ in range(N_PROBES):
            time.sleep(PROBE_INTERVAL_SECONDS)
            seen = self.query_incarnation(target)
            if seen:
                return seen != incarnation
        # Reported again once the target answers; the same crash is counted once.
        self.strikes.report(Strike(fingerprint, target.name, incarnation))
        return True

    def _report_strikes(self, target: Target, incarnation: str) -> None:
        """Report a strike for each request that broke in an earlier incarnation."""
        with self._lock:
            classifier = self._classifiers.get(target.name)
            found = classifier.classify(incarnation) if classifier else ()
        for strike in found:
            self.strikes.report(strike)

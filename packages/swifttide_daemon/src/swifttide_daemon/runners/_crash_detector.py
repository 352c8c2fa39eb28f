"""Finding out whether a target died under a request."""

import threading
import time

from swifttide_core.documents import Target
from swifttide_core.strikes import CrashClassifier, Strike
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient

PROBE_INTERVAL_SECONDS = 0.3
N_PROBES = 3


class CrashDetector:
    """Looks at a target after a connection to it broke.

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
        """Return the engine's present incarnation, or an empty string.

        A request that broke while the target answered nothing is judged now.
        """
        load = self.engines.load(target)
        if load is None:
            return ""
        self._report_strikes(target, load["incarnation"])
        return load["incarnation"]

    def report_if_crashed(
        self, target: Target, fingerprint: str, incarnation: str
    ) -> bool:
        """Report a strike if the target died; return whether it did.

        A cut leaves the incarnation as it was. A target that answers under another
        one, or that answers nothing at all several times in a row, has died.
        """
        with self._lock:
            watch = self._classifiers.setdefault(
                target.name, CrashClassifier(target.name)
            )
            watch.record_broken_request(fingerprint, incarnation)
        for _ in range(N_PROBES):
            time.sleep(PROBE_INTERVAL_SECONDS)
            seen = self.query_incarnation(target)
            if seen:
                return seen != incarnation
        # Told again when the target is back; the same crash counts once.
        self.strikes.report(Strike(fingerprint, target.name, incarnation))
        return True

    def _report_strikes(self, target: Target, incarnation: str) -> None:
        """Report the strikes of all requests that broke before this answer."""
        with self._lock:
            watch = self._classifiers.get(target.name)
            found = watch.classify(incarnation) if watch else ()
        for strike in found:
            self.strikes.report(strike)

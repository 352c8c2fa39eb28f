"""Finding out whether a target died under a request."""

import time

from swifttide_core.documents import Target
from swifttide_core.strikes import Strike
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient

LOOK_PAUSE_SECONDS = 0.3
N_LOOKS = 3


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

    def incarnation(self, target: Target) -> str:
        """Return the engine's present incarnation, or an empty string."""
        load = self.engines.load(target)
        return load["incarnation"] if load else ""

    def broke(self, target: Target, fingerprint: str, incarnation: str) -> bool:
        """Report a strike if the target died; return whether it did.

        A cut leaves the incarnation as it was. A target that answers under another
        one, or that answers nothing at all several times in a row, has died.
        """
        for _ in range(N_LOOKS):
            time.sleep(LOOK_PAUSE_SECONDS)
            seen = self.incarnation(target)
            if seen and seen == incarnation:
                return False
            if seen:
                break
        self.strikes.report(Strike(fingerprint, target.name, incarnation))
        return True

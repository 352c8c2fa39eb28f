"""Tells how current the knowledge of this host is."""

from collections.abc import Callable

from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_daemon.gateway.store._table_watch import TableWatch


class Freshness:
    """Tells how current the knowledge of this host is.

    Parameters
    ----------
    targets : callable
        Returns the `TableWatch` of the list of targets.
    stalls : StallDetector
    """

    def __init__(self, targets: Callable[[], TableWatch], stalls: StallDetector):
        self._targets = targets
        self._stalls = stalls

    def log_fields(self) -> dict[str, float]:
        """Return the ages of the list of targets and of the event loop's last turn."""
        return {
            "targets_age_seconds": round(self._targets().age_seconds, 3),
            "loop_age_seconds": round(self._stalls.seconds_since_tick, 3),
        }

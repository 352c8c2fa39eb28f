"""Tells how current the knowledge of this host is, and brings it up to date."""

import asyncio
from collections.abc import Callable

from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_daemon.gateway.store._table_watch import TableWatch

CONFIRM_TIMEOUT_SECONDS = 0.5
"""Time-out of a call to the store by which a host confirms what it knows. A store that
is slow takes 0.3 s."""


class Freshness:
    """Tells how current the knowledge of this host is, and brings it up to date.

    That a host hasn't heard of a change proves nothing: it may have stood still, or be
    cut off. A decision for which there must have been no change confirms that first.

    Parameters
    ----------
    targets, config : callable
        Return the `TableWatch` of the list of targets, and that of the configuration.
    is_reachable : callable
        Returns whether the store can be reached, as far as is known.
    stalls : StallDetector
    """

    def __init__(
        self,
        targets: Callable[[], TableWatch],
        config: Callable[[], TableWatch],
        is_reachable: Callable[[], bool],
        stalls: StallDetector,
    ):
        self._targets = targets
        self._config = config
        self._is_reachable = is_reachable
        self._stalls = stalls
        self._n_stalls_confirmed = 0

    async def catch_up(self) -> None:
        """Bring targets and configuration up to date if this process stood still.

        Otherwise requests that are read right afterwards would be served by the keys,
        routes and targets of before, although operators were told of newer ones. Where
        the store doesn't answer, the host goes on with what it knows.
        """
        self._stalls.update()
        if self._stalls.n_stalls == self._n_stalls_confirmed:
            return
        n_stalls = self._stalls.n_stalls
        await asyncio.gather(
            self._confirm(self._targets()), self._confirm(self._config())
        )
        self._n_stalls_confirmed = max(self._n_stalls_confirmed, n_stalls)

    @property
    def targets_complete_until(self) -> float:
        """Time of the event loop up to which no change of targets was missed."""
        return self._targets().complete_until

    async def confirm_targets(self) -> bool:
        """Bring the list of targets up to date.

        Returns whether the store has answered: the list then has all that was written
        until this was called.
        """
        return await self._confirm(self._targets())

    async def _confirm(self, watch) -> bool:
        if not self._is_reachable():
            return False
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                return await watch.refresh()
        except TimeoutError:
            return False

    def log_fields(self) -> dict[str, float]:
        """Return the ages of the list of targets and of the event loop's last turn."""
        return {
            "targets_age_seconds": round(self._targets().age_seconds, 3),
            "loop_age_seconds": round(self._stalls.seconds_since_tick, 3),
        }

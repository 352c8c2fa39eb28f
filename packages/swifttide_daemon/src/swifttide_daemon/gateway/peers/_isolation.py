"""Whether this host is cut off from the store and from the other zones."""

import asyncio

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.telemetry import EventLog

BALANCER_REMOVAL_SECONDS = 2.1
"""Time until the balancer has taken out a host that isn't ready: it asks each second
and counts two misses."""

STORE_PROBE_DELAY_SECONDS = 0.45
"""After two rounds without a beacon of another zone it is found out whether the store
is there, while the rest of the silence passes."""

MIN_RETRY_SECONDS = 0.15
"""Shortest pause before a caller tries another host."""


class IsolationDetector:
    """Notices that this host is cut off.

    Load pattern: a zone is cut off from the others and from the store, and callers
    still reach it.

    Without it: its hosts refuse every new program until the cut heals, though hosts of
    other zones, which the callers reach too, could serve them.

    Grounds: in an outage of the store itself the other zones are still heard, and
    sending callers there would gain nothing.

    Parameters
    ----------
    fleet : Fleet
    store : RelayedStore
    log : EventLog
    """

    def __init__(self, fleet: Fleet, store: RelayedStore, log: EventLog):
        self._fleet = fleet
        self._store = store
        self._log = log
        self._since = 0.0
        self.active = False

    def update(self) -> None:
        """Look again."""
        active = self._is_cut_off()
        if active == self.active:
            return
        self.active = active
        self._since = asyncio.get_running_loop().time()
        event = "isolated" if active else "isolation_ended"
        self._log.warning(event, peers=len(self._fleet.alive()))

    def retry_elsewhere_seconds(self) -> float | None:
        """Return after how many seconds callers reach another host, None if no sooner.

        When the host knows that it is cut off, the balancer still sends callers here
        until it has asked twice.
        """
        if not self.active:
            return None
        since = asyncio.get_running_loop().time() - self._since
        return max(MIN_RETRY_SECONDS, BALANCER_REMOVAL_SECONDS - since)

    def _is_cut_off(self):
        if not self._fleet.is_partitioned(STORE_PROBE_DELAY_SECONDS):
            return False
        self._store.doubt()
        return self._fleet.is_partitioned() and not self._store.is_reachable

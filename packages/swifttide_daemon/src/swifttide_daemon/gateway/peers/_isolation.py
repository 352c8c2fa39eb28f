"""Detects that this host can reach neither the store nor the other zones."""

import asyncio

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.telemetry import EventLog

BALANCER_REMOVAL_SECONDS = 2.1
"""Time until the load balancer removes a host that is not ready. The balancer probes
every second and removes a host after two failed probes."""

STORE_PROBE_DELAY_SECONDS = 0.45
"""Time without a beacon from other zones after which the store is probed: two beacon
rounds. The probe runs while the rest of the zone timeout passes."""

STORE_SILENCE_SECONDS = 0.25
"""Time without an answer of the store, which is probed each `update` while no other
zone is heard, after which the host may be isolated. A probe takes some milliseconds."""

MIN_RETRY_SECONDS = 0.15
"""Shortest delay before a caller retries on another host."""


class IsolationDetector:
    """Detects a network partition that separates this host from the rest of the fleet.

    The case that matters is a zone that is disconnected from the other zones and from
    the store while callers still reach it. Without this check its hosts would refuse
    every new program until the network recovers, although hosts of other zones, which
    the callers also reach, could serve them.

    The host counts as isolated only if both the store and the other zones are
    unreachable. In an outage of the store alone the other zones are still heard, and
    redirecting callers to them would gain nothing.

    Parameters
    ----------
    fleet : Fleet
    store : RelayedStore
    log : EventLog

    Attributes
    ----------
    active : bool
        Whether the host is isolated, as of the last `update`.
    is_suspected : bool
        Whether no other zone is heard and the store hasn't answered for a moment. Such
        a host takes no new connections and closes those that callers keep, so that they
        reach other zones the sooner if it is isolated.
    """

    def __init__(self, fleet: Fleet, store: RelayedStore, log: EventLog):
        self._fleet = fleet
        self._store = store
        self._log = log
        self._since = 0.0
        self.active = False
        self.is_suspected = False

    def update(self) -> None:
        """Check the connectivity again and log a change of the state."""
        active = self._is_isolated()
        if active == self.active:
            return
        self.active = active
        self._since = asyncio.get_running_loop().time()
        event = "isolated" if active else "isolation_ended"
        self._log.warning(event, peers=len(self._fleet.alive()))

    def retry_elsewhere_seconds(self) -> float | None:
        """Return the delay after which a caller's retry reaches another host.

        None while this host is not isolated: a retry elsewhere would gain nothing.
        After the host has detected its isolation, the load balancer still routes
        callers here until two of its probes have failed.
        """
        if not self.active:
            return None
        since = asyncio.get_running_loop().time() - self._since
        return max(MIN_RETRY_SECONDS, BALANCER_REMOVAL_SECONDS - since)

    def _is_isolated(self):
        if not self._fleet.is_partitioned(STORE_PROBE_DELAY_SECONDS):
            self.is_suspected = False
            return False
        self._store.probe_store()
        self.is_suspected = self._store.seconds_since_answer > STORE_SILENCE_SECONDS
        return self._fleet.is_partitioned() and not self._store.is_reachable

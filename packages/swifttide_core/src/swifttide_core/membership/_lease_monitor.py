"""Watching other hosts' leases until they lapse.

Load pattern: none; this runs all the time. With 380 hosts, each reading all lease
rows, the platform would serve 72,000 rows a second. A host therefore watches only
its next neighbours in the ring of the zone's hosts; others learn of a death
from the zone's head row. When neighbours die together, the ring closes over them one
watch period later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from swifttide_core.membership._lease_times import LeaseTimes

N_MONITORED_NEIGHBOURS = 3
"""Neighbours that a host watches: two may die with it before a death goes unseen."""


@dataclass(frozen=True, slots=True)
class _Observation:
    version: int
    unchanged_since: float
    last_read_at: float


class LeaseMonitor:
    """Lease rows of neighbours, and since when each is unchanged.

    Parameters
    ----------
    times : LeaseTimes
        Durations of the lease.
    """

    def __init__(self, times: LeaseTimes) -> None:
        self.times = times
        self._observations: dict[str, _Observation] = {}

    @classmethod
    def from_times(cls, times: LeaseTimes) -> "LeaseMonitor":
        """Return a watch that has seen nothing."""
        return cls(times)

    def observe(self, now: float, host: str, version: int) -> None:
        """Note the version of a host's lease row as read at `now`.

        `now` must be taken AFTER the answer came, so that the wait starts late
        rather than early. A row that wasn't read for a whole lease starts afresh:
        after an outage of the platform every row has stood still, and the first host
        to come back would otherwise depose all others before they can renew.
        """
        seen = self._observations.get(host)
        is_unchanged = seen is not None and seen.version == version
        is_monitored = (
            is_unchanged and now - seen.last_read_at < self.times.lease_seconds
        )
        since = seen.unchanged_since if is_monitored else now
        self._observations[host] = _Observation(version, since, now)

    def retain_hosts(self, hosts: Iterable[str]) -> None:
        """Drop sightings of hosts that are no longer watched."""
        wanted = set(hosts)
        self._observations = {
            h: s for h, s in self._observations.items() if h in wanted
        }

    def expired_leases(
        self, now: float, delay_seconds: Mapping[str, float] | None = None
    ) -> dict[str, int]:
        """Return the hosts whose lease has lapsed, with the version to depose.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        waits : mapping of str to float, optional
            Seconds to wait by host (see `depose_wait`); a lease and the margin
            where it has none.
        """
        default_seconds = self.times.lease_seconds + self.times.drift_margin_seconds
        delay_seconds = delay_seconds or {}
        return {
            host: seen.version
            for host, seen in self._observations.items()
            if now - seen.unchanged_since >= delay_seconds.get(host, default_seconds)
        }


def ring_successors(
    own_host: str, hosts: Iterable[str], n: int = N_MONITORED_NEIGHBOURS
) -> list[str]:
    """Return the next `n` hosts after `me` in the ring of sorted host ids."""
    others = sorted(host for host in hosts if host != own_host)
    after = [host for host in others if host > own_host]
    before = [host for host in others if host < own_host]
    return (after + before)[:n]

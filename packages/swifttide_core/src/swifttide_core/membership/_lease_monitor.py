"""Detection of expired leases of other hosts.

Decides which hosts have failed, from the versions of their lease rows and the times at
which this host read them. It runs permanently, under any load. If each of 380 hosts
read all lease rows, the platform would serve 72,000 rows per second. A host therefore
monitors only its successors in the ring of the zone's hosts, and the other hosts learn
of a failure from the head row of the zone. If adjacent hosts fail together, the ring
closes without them one monitoring period later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from swifttide_core.membership._lease_times import LeaseTimes

N_MONITORED_NEIGHBOURS = 3
"""Number of successors that a host monitors. Each host is monitored by three others, so
that its failure is detected even if two of them fail with it."""


@dataclass(frozen=True, slots=True)
class _Observation:
    version: int
    unchanged_since: float
    last_read_at: float


class LeaseMonitor:
    """Versions of monitored lease rows, and the times since which they are unchanged.

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
        """Return a monitor without observations."""
        return cls(times)

    def observe(self, now: float, host: str, version: int) -> None:
        """Record the version of a host's lease row as read at `now`.

        `now` must be taken AFTER the answer arrived, so that the delay starts late
        rather than early. The delay starts again if the row was not read for the
        duration of a lease. After an outage of the platform, no row has changed, and
        the first host to reach the platform would otherwise depose all other hosts
        before they can renew their leases.
        """
        seen = self._observations.get(host)
        is_unchanged = seen is not None and seen.version == version
        is_monitored = (
            is_unchanged and now - seen.last_read_at < self.times.lease_seconds
        )
        since = seen.unchanged_since if is_monitored else now
        self._observations[host] = _Observation(version, since, now)

    def retain_hosts(self, hosts: Iterable[str]) -> None:
        """Remove the observations of all hosts except those given."""
        wanted = set(hosts)
        self._observations = {
            h: s for h, s in self._observations.items() if h in wanted
        }

    def expired_leases(
        self, now: float, delay_seconds: Mapping[str, float] | None = None
    ) -> dict[str, int]:
        """Return the hosts whose lease has expired.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        delay_seconds : mapping of str to float, optional
            Seconds for which the row of each host must be unchanged, see the function
            `depose_delay_seconds`. The default is the duration of a lease and the drift
            margin.

        Returns
        -------
        dict of str to int
            Observed version of the lease row by host. A host is deposed by a write on
            condition of this version.
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

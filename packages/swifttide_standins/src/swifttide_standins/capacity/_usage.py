"""What the daemons and the platform spent between two moments."""

import time
from dataclasses import dataclass

from swifttide_standins.capacity._site import Site


@dataclass(frozen=True, slots=True)
class Usage:
    """Totals since the start of the processes.

    Parameters
    ----------
    at : float
        Monotonic seconds.
    cpu_seconds : float
        Of all daemons.
    reads, writes, n_bytes : int
        At the platform, from daemons.
    all_bytes : int
        On all connections of the daemons that are open, sent and received.
    """

    at: float
    cpu_seconds: float
    reads: int
    writes: int
    n_bytes: int
    all_bytes: int

    @classmethod
    def now(cls, site: Site) -> "Usage":
        """Return the totals up to now."""
        counters = site.platform()
        n_bytes = sum(host.get("bytes", 0) for host in counters["by_host"].values())
        return cls(
            at=time.monotonic(),
            cpu_seconds=site.cpu_seconds(),
            reads=counters["reads"],
            writes=counters["writes"],
            n_bytes=n_bytes,
            all_bytes=site.connection_bytes(),
        )

    def since(self, start: "Usage") -> "Usage":
        """Return what was spent since `start`; `at` is the time that passed."""
        return Usage(
            at=self.at - start.at,
            cpu_seconds=self.cpu_seconds - start.cpu_seconds,
            reads=self.reads - start.reads,
            writes=self.writes - start.writes,
            n_bytes=self.n_bytes - start.n_bytes,
            all_bytes=self.all_bytes - start.all_bytes,
        )

    def without(self, idle: "Usage") -> "Usage":
        """Return what remains after an idle fleet's share over the same time."""
        share = self.at / idle.at
        return Usage(
            at=self.at,
            cpu_seconds=self.cpu_seconds - idle.cpu_seconds * share,
            reads=round(self.reads - idle.reads * share),
            writes=round(self.writes - idle.writes * share),
            n_bytes=round(self.n_bytes - idle.n_bytes * share),
            all_bytes=round(self.all_bytes - idle.all_bytes * share),
        )


def idle_usage(site: Site, seconds: float) -> Usage:
    """Return what the site spends in `seconds` without callers."""
    start = Usage.now(site)
    time.sleep(seconds)
    return Usage.now(site).since(start)

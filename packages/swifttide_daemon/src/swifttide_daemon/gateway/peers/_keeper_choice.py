"""Chooses the host that keeps a piece of state on behalf of all hosts, its keeper."""

from collections.abc import Callable

from swifttide_core.rates import rank_owners
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet

KEEPER_SUSPECT_SECONDS = 0.5
"""Time for which a keeper that did not answer is skipped. A keeper that has failed is
no longer heard after that time."""


class KeeperChoice:
    """Selects keepers by hashing the name of the state over the candidate hosts.

    The candidates are the hosts that hold shares of the customers' rate limits, because
    these send beacons to all other hosts in every round, so their loss is detected
    first.

    Parameters
    ----------
    fleet : Fleet
    holders : callable
        Returns the IP addresses of the hosts that hold shares.
    """

    def __init__(self, fleet: Fleet, holders: Callable[[], tuple[str, ...]]):
        self._fleet = fleet
        self._own_ip = fleet.own.ip
        self._holders = holders
        self._suspects: dict[str, float] = {}
        self._orders: dict[str, list[str]] = {}
        self._ordered_for: tuple[str, ...] = ()

    def suspect(self, host: str) -> None:
        """Skip a keeper that did not answer for `KEEPER_SUSPECT_SECONDS`."""
        self._suspects[host] = elapsed_seconds() + KEEPER_SUSPECT_SECONDS

    def is_primary_keeper(self, name: str) -> bool:
        """Whether this host is the first keeper of a name among the heard hosts.

        Hosts that are only suspected count as candidates here.
        """
        return self._primary_keeper(name) == self._own_ip

    def skipped_keeper(self, name: str) -> str | None:
        """Return the first keeper of a name if it is only suspected, otherwise None."""
        primary = self._primary_keeper(name)
        return primary if primary not in self.keepers(name) else None

    def _primary_keeper(self, name):
        heard = tuple(
            host
            for host in self._holders()
            if host == self._own_ip or self._fleet.is_heard(host)
        )
        return (rank_owners(name, heard) or [self._own_ip])[0]

    def n_candidates(self) -> int:
        """Return the number of hosts from which keepers are chosen."""
        return len(self._holders())

    def keepers(self, name: str) -> list[str]:
        """Return the IP addresses of the keeper of a name and of its successors.

        The order is the order of preference. Suspected hosts are left out.
        """
        now = elapsed_seconds()
        own = self._own_ip
        found = tuple(
            host
            for host in self._holders()
            if host == own
            or (self._fleet.is_heard(host) and self._suspects.get(host, now) <= now)
        )
        if found != self._ordered_for:
            self._ordered_for, self._orders = found, {}
        if name not in self._orders:
            self._orders[name] = rank_owners(name, found) or [own]
        return self._orders[name]

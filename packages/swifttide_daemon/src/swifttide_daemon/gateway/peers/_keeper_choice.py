"""Which host keeps something for all others."""

from collections.abc import Callable

from swifttide_core.rates import keeper_order
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet

KEEPER_SUSPECT_SECONDS = 0.5
"""A keeper that didn't answer is passed over for so long; one that has died is no
longer heard after that."""


class KeeperChoice:
    """Finds keepers among the hosts that hold shares: all others hear these best.

    Parameters
    ----------
    fleet : Fleet
    holders : callable
        Returns the addresses of the hosts that hold shares.
    """

    def __init__(self, fleet: Fleet, holders: Callable[[], tuple[str, ...]]):
        self._fleet = fleet
        self._own_ip = fleet.own.ip
        self._holders = holders
        self._suspects: dict[str, float] = {}
        self._orders: dict[str, list[str]] = {}
        self._ordered_for: tuple[str, ...] = ()

    def suspect(self, host: str) -> None:
        """Pass over a keeper that didn't answer."""
        self._suspects[host] = elapsed_seconds() + KEEPER_SUSPECT_SECONDS

    def is_primary_keeper(self, name: str) -> bool:
        """Whether this host keeps what has this name, whomever it has passed over."""
        heard = [
            host
            for host in self._holders()
            if host == self._own_ip or self._fleet.is_heard(host)
        ]
        return (keeper_order(name, tuple(heard)) or [self._own_ip])[0] == self._own_ip

    def n_candidates(self) -> int:
        """Return the number of hosts among which keepers are."""
        return len(self._holders())

    def keepers(self, name: str) -> list[str]:
        """Return who keeps what has this name, and who would be next."""
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
            self._orders[name] = keeper_order(name, found) or [own]
        return self._orders[name]

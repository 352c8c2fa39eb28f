"""Hosts that remember something of a stream on behalf of all hosts, its keepers."""

import asyncio
from collections.abc import Collection, Set

from swifttide_core.forwarding import AllowedRegions
from swifttide_core.resumption import keeper_candidates, rank_origin_keepers
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer

MAX_CANDIDATES_PER_ZONE = 16
"""Hosts of a zone that may be keepers. Ranking all hosts of a large fleet for each
stream would take too long."""

CANDIDATES_INTERVAL_SECONDS = 1.0
"""Time after which a host that has joined may become a keeper."""


class StreamKeepers:
    """Ranks the hosts of the fleet as keepers of a stream.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._chosen: list[Peer] = []
        self._chosen_at = float("-inf")

    def ranked(self, key: str, homes: AllowedRegions = None) -> list[str]:
        """Return the addresses of running hosts in the order in which they are told.

        Parameters
        ----------
        key : str
            Key of the stream.
        homes : frozenset of str or None
            Regions whose hosts may be keepers; None for any.
        """
        return self._rank(key, lambda host: self._fleet.is_running_in(host, homes))

    def ranked_recent(
        self, key: str, seconds: float, homes: AllowedRegions = None
    ) -> list[str]:
        """Return the addresses of hosts that ran in a period, in the same order.

        Parameters
        ----------
        key : str
            Key of the stream.
        seconds : float
            Length of the period that ends now.
        homes : frozenset of str or None
            Regions whose hosts may be keepers; None for any.
        """
        return self._rank(
            key, lambda host: self._fleet.was_running_in(host, seconds, homes)
        )

    def told(
        self, key: str, n_keepers: int, seconds: float, homes: AllowedRegions = None
    ) -> list[str]:
        """Return the addresses of the other hosts that are told of a stream.

        Hosts that aren't heard any more are told too, as they may only look lost, and
        beside them as many that are heard.

        Parameters
        ----------
        key : str
            Key of the stream.
        n_keepers : int
        seconds : float
            Time for which the stream is remembered.
        homes : frozenset of str or None
            Regions whose hosts may be keepers; None for any.
        """
        own = self._fleet.own.ip
        found = self.ranked_recent(key, seconds, homes)[:n_keepers]
        if not all(ip == own or self._fleet.is_heard(ip) for ip in found):
            found = self.ranked(key, homes)[:n_keepers] + found
        return [ip for ip in dict.fromkeys(found) if ip != own]

    def is_majority(self, answered: Set[str], keepers: Collection[str]) -> bool:
        """Return whether more than half of a stream's keepers have answered.

        Otherwise those that are cut off from this host may know more. A host that
        hears none of the others is no majority, however long ago it last heard one.

        Parameters
        ----------
        answered : set of str
            Addresses of hosts whose knowledge is available, this host included.
        keepers : collection of str
            Addresses of the hosts that may have been told.
        """
        is_alone = self._fleet.n_hosts() > 1 and not self._fleet.alive()
        return not is_alone and 2 * len(answered & set(keepers)) > len(keepers)

    def _rank(self, key, is_keeper):
        hosts = [(h.ip, h.zone) for h in self._candidates() if is_keeper(h)]
        return rank_origin_keepers(key, hosts)

    def _candidates(self):
        now = asyncio.get_running_loop().time()
        if now - self._chosen_at >= CANDIDATES_INTERVAL_SECONDS:
            self._chosen_at = now
            hosts = {host.ip: host for host in (self._fleet.own, *self._fleet.all())}
            zones = [(ip, host.zone) for ip, host in hosts.items()]
            chosen = keeper_candidates(zones, MAX_CANDIDATES_PER_ZONE)
            self._chosen = [hosts[ip] for ip in chosen]
        return self._chosen

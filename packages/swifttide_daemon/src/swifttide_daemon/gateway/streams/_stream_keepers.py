"""Hosts that remember something of a stream on behalf of all hosts, its keepers."""

import asyncio

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

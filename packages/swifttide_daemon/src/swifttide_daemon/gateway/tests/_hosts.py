"""Test helpers that run the peer services of several hosts in one process."""

import asyncio

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_service import PeerService


class InProcessPeerClient:
    """Peer client that calls other hosts in the same process, without a network.

    Parameters
    ----------
    reached : callable
        Returns the reachable hosts by IP address. A call to another host gets no
        answer.
    is_lost : callable
        Returns whether an answer is lost after the host has carried out the request.
    """

    def __init__(self, reached, is_lost=lambda: False):
        self._reached = reached
        self._is_lost = is_lost

    async def call(self, peer, request, seconds):
        await asyncio.sleep(0.002)
        host = self._reached().get(peer.ip)
        if host is None:
            return None
        answer = await host.answer(request)
        return None if self._is_lost() else answer


class FeedsInStep:
    """Freshness of a host that sees each change of the store at once.

    Attributes
    ----------
    is_confirmed : bool
        Whether the store answers this host.
    on_confirm : callable
        Applies what this host hasn't heard before it asks.
    """

    def __init__(self):
        self.is_confirmed = True
        self.on_confirm = lambda: None

    @property
    def targets_complete_until(self):
        return asyncio.get_running_loop().time()

    async def catch_up(self):
        """Do nothing: the host knows all there is."""

    async def confirm_targets(self):
        await asyncio.sleep(0.005)
        if self.is_confirmed:
            self.on_confirm()
        return self.is_confirmed

    def log_fields(self):
        return {}


def make_peer_service(ip, calls, reached, budgets, lender, log):
    """Return a host's peer service and its fleet.

    The host hears the hosts that ``reached`` returns.
    """
    fleet = Fleet(Peer(ip, 1, "zone-a", ip + "-boot"), log)
    fleet.alive = lambda: [Peer(i, 1, "zone-a", "") for i in reached() if i != ip]
    fleet.by_ip = lambda i: Peer(i, 1, "zone-a", "") if i in reached() else None
    service = PeerService(
        None,
        fleet,
        calls,
        budgets,
        lender,
        lambda: None,
        lambda: None,
        lambda: None,
        lambda t: None,
        log,
    )
    return service, fleet

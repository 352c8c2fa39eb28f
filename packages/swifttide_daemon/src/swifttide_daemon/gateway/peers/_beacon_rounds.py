"""Which hosts get a beacon in a round.

Load pattern: hundreds of hosts, each of which tells all others several times a second
what it sees.

Without it: messages grow with the square of the hosts. With 69 hosts each took 340
beacons a second, most of the bytes between zones and a part of its processor time.

Grounds: a host sends to so many others at most in each round, to each in turn. Within a
zone news are worth more: requests go there first. Hosts that hold shares of customers'
rates tell all others each time, so that their loss is noticed soon.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_daemon.gateway.peers._peer import Peer

BEACON_INTERVAL_SECONDS = 0.2
"""Between rounds; a fifth of a turn's usual time, so counts are fresh enough."""

OWN_ZONE_PEERS_PER_ROUND = 24
OTHER_ZONE_PEERS_PER_ROUND = 16
"""Hosts that get a beacon in one round; with fewer of them, each gets one each time."""


@dataclass(frozen=True, slots=True)
class BeaconGroup:
    """Hosts that are told at the same intervals.

    Parameters
    ----------
    peers : tuple of Peer
        Those that get a beacon in this round.
    pause_seconds : float
        Until each of them gets the next one.
    """

    peers: tuple[Peer, ...]
    pause_seconds: float


def beacon_groups(
    peers: Iterable[Peer], zone: str, number: int, sends_to_all: bool
) -> list[BeaconGroup]:
    """Return who gets a beacon in a round.

    Parameters
    ----------
    peers : iterable of Peer
    zone : str
        Of this host.
    number : int
        Of the round.
    tells_all : bool
        Whether all hosts get each beacon.
    """
    peers = list(peers)
    if sends_to_all:
        return [BeaconGroup(tuple(peers), BEACON_INTERVAL_SECONDS)]
    own = [p for p in peers if p.zone == zone]
    other = [p for p in peers if p.zone != zone]
    return [
        _group(own, OWN_ZONE_PEERS_PER_ROUND, number),
        _group(other, OTHER_ZONE_PEERS_PER_ROUND, number),
    ]


def _group(peers, max_peers, number) -> BeaconGroup:
    n_turns = max(1, -(-len(peers) // max_peers))
    due = tuple(p for p in peers if (_round_offset(p) + number) % n_turns == 0)
    return BeaconGroup(due, BEACON_INTERVAL_SECONDS * n_turns)


def _round_offset(peer):
    return xxhash.xxh32_intdigest(peer.ip.encode())

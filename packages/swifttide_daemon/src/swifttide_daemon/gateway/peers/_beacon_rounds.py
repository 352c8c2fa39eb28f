"""Selects the hosts that receive a beacon in each sending round.

Each host sends its state to the other hosts several times a second, in a fleet of
hundreds of hosts. If every host sent to all others in every round, the number of
messages would grow with the square of the number of hosts. With 69 hosts, each received
340 beacons per second, which took most of the bytes between zones and a part of its
processor time.

The number of recipients per round is therefore bounded, and the recipients rotate from
round to round. The bound is higher within the own zone: requests are routed there
first, so fresh state is worth more. Hosts that hold shares of the customers' rate
limits send to all others in every round, so that their loss is detected quickly.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from swifttide_daemon.gateway.peers._peer import Peer

BEACON_INTERVAL_SECONDS = 0.2
"""Mean time between beacon rounds. It is a fifth of the usual duration of a turn (one
model request), so the request counts in beacons are fresh enough."""

OWN_ZONE_PEERS_PER_ROUND = 24
OTHER_ZONE_PEERS_PER_ROUND = 16
"""Approximate numbers of hosts that get a beacon in one round, in the own zone and in
all other zones together. If there are fewer hosts, each gets one in every round."""


@dataclass(frozen=True, slots=True)
class BeaconGroup:
    """Recipients of a round that get beacons at the same interval.

    Parameters
    ----------
    peers : tuple of Peer
        Hosts that get a beacon in this round.
    pause_seconds : float
        Time until each of them gets the next beacon.
    """

    peers: tuple[Peer, ...]
    pause_seconds: float


def beacon_groups(
    peers: Iterable[Peer], zone: str, number: int, sends_to_all: bool
) -> list[BeaconGroup]:
    """Return the recipients of a round, grouped by sending interval.

    Parameters
    ----------
    peers : iterable of Peer
    zone : str
        Availability zone of this host.
    number : int
        Sequence number of the round.
    sends_to_all : bool
        Whether all hosts get a beacon in every round.
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

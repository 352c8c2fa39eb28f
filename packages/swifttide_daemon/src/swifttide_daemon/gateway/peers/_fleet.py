"""Fleet membership: the registered hosts, and which of them send beacons.

A host is called *heard* while its beacons arrive within the expected interval.
"""

import asyncio
import random
from collections.abc import Iterable

import xxhash

from swifttide_core.forwarding import AllowedRegions, RegionMap
from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._host_row import decode_host, encode_host
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Put,
    RowKey,
    SharedStore,
    StoredRow,
    Transaction,
)
from swifttide_daemon.telemetry import EventLog

FLEET_TABLE = "fleet"
HOST_KEY_PREFIX = "host/"

PEER_TIMEOUT_INTERVALS = 3.5
"""Beacon intervals without a beacon after which a host counts as lost: three beacons
in a row are then missing."""

ZONE_TIMEOUT_SECONDS = 0.7
"""Time without a beacon from any host of a zone after which the zone counts as
unreachable. In a fleet of any size, each round brings beacons from some of its
hosts."""

HEARD_FRACTION_CACHE_SECONDS = 0.2
"""Time for which the fraction of heard hosts is cached: one beacon interval."""

MIN_PEERS_FOR_FEEDERS = 24
"""Number of other hosts from which on only some hosts poll the store for changes, and
the remaining hosts get the changes from those."""

FEEDERS_PER_ZONE = 2
"""Hosts per zone that poll the store themselves. Two, so that one may be lost."""

REGISTER_RETRY_SECONDS = 0.3


class Fleet:
    """Hosts that registered in the store, and when each last sent a beacon.

    This view may be wrong or outdated. An error costs availability but never
    correctness, because decisions that must be right use conditional writes to rows of
    the store, or rest on all hosts being heard (`any_store_outage_within`).

    Parameters
    ----------
    own : Peer
        This host.
    log : EventLog
    regions : RegionMap
        Maps availability zones to regions.
    """

    def __init__(self, own: Peer, log: EventLog, regions: RegionMap | None = None):
        self.own = own
        self._regions = regions or RegionMap()
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._known_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._heard_until: dict[str, float] = {}
        self._zone_heard_at: dict[str, float] = {}
        self._store_up: dict[str, bool] = {}
        self._store_full: dict[str, bool] = {}
        self._lending: dict[str, frozenset[int]] = {}
        self._last_store_outage_at: dict[str, float] = {}
        self._lost: set[str] = set()
        self._are_hosts_known = False
        self._heard_fraction = 1.0
        self._heard_fraction_at = float("-inf")

    async def register(self, store: SharedStore) -> None:
        """Write this host's row to the store; retry until the write succeeds."""
        value = encode_host(self.own)
        key = RowKey(FLEET_TABLE, "", HOST_KEY_PREFIX + self.own.ip)
        tx = Transaction(puts=(Put(key, value),))
        while not isinstance(await store.commit(tx), Applied):
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def leave(self, store: SharedStore) -> None:
        """Remove this host's row from the store."""
        key = RowKey(FLEET_TABLE, "", HOST_KEY_PREFIX + self.own.ip)
        await store.commit(Transaction(removes=(key,)))

    def take_row(self, row: StoredRow) -> None:
        """Apply one row of the fleet table; a deleted row removes its host.

        Raises
        ------
        ValueError
            The row describes no host. A host that was known by it is removed.
        """
        ip = row.key.key.removeprefix(HOST_KEY_PREFIX)
        if ip == self.own.ip:
            return
        peer = None
        try:
            if not row.deleted:
                peer = _decode(row, ip)
        finally:
            if peer is None:
                self._peers.pop(ip, None)
            else:
                self._peers[ip] = peer
                self._known_since.setdefault(ip, elapsed_seconds())

    def keep_only(self, ips: Iterable[str]) -> None:
        """Remove the hosts whose addresses aren't among those of a full read."""
        self._are_hosts_known = True
        for ip in set(self._peers) - set(ips):
            del self._peers[ip]

    def record_beacon(
        self,
        peer: Peer,
        store_up: bool,
        away_seconds: float | None = None,
        store_full: bool = False,
        lending: frozenset[int] = frozenset(),
        pause_seconds: float = BEACON_INTERVAL_SECONDS,
    ) -> None:
        """Record that a beacon of a host has arrived.

        Parameters
        ----------
        peer : Peer
            Sender. It is added if it is not known yet, so that a host that starts
            during a store outage discovers the others by their beacons.
        store_up : bool
            Whether the peer reaches the store.
        away_seconds : float or None
            Time since the peer was last disconnected from the store; None if it never
            was.
        store_full : bool
            Whether the store throttles calls of the peer.
        lending : frozenset of int
            Hash slots of programs for which the peer currently lends tokens.
        pause_seconds : float
            Time until the next beacon of the peer is due.
        """
        ip = peer.ip
        if ip not in self._peers or self._peers[ip].boot != peer.boot:
            # The peer's row may be outdated, or the store may be unavailable.
            self._peers[ip] = peer
        now = elapsed_seconds()
        self._heard_at[ip] = self._zone_heard_at[peer.zone] = now
        self._heard_until[ip] = now + PEER_TIMEOUT_INTERVALS * pause_seconds
        self._store_up[ip] = store_up
        self._store_full[ip] = store_full
        if away_seconds is not None:
            self._last_store_outage_at[ip] = max(
                self._last_store_outage_at.get(ip, 0.0), now - away_seconds
            )
        self._lending[ip] = lending
        if ip in self._lost:
            self._lost.discard(ip)
            self._log.info("peer_regained", peer=ip)

    def log_lost_peers(self) -> None:
        """Log each peer whose beacons have stopped, once per loss."""
        alive = {p.ip for p in self.alive()}
        for ip in set(self._heard_at) & set(self._peers) - alive - self._lost:
            self._lost.add(ip)
            self._log.warning("peer_lost", peer=ip)

    def all(self) -> list[Peer]:
        """Return every other host that registered."""
        return list(self._peers.values())

    def alive(self) -> list[Peer]:
        """Return the heard hosts in random order, those of the own zone first."""
        now = elapsed_seconds()
        never = float("-inf")
        found = [
            p for p in self._peers.values() if now < self._heard_until.get(p.ip, never)
        ]
        random.shuffle(found)
        found.sort(key=lambda p: p.zone != self.own.zone)
        return found

    def is_heard(self, ip: str) -> bool:
        """Whether beacons of a host have arrived within the timeout."""
        if ip not in self._peers:
            return False
        now = elapsed_seconds()
        return now < self._heard_until.get(ip, float("-inf"))

    def was_heard_within(self, ip: str, seconds: float) -> bool:
        """Whether a host is heard, or may have been in a period.

        A host that this one has known for a shorter time, and never heard, may be lost
        or out of reach.

        Parameters
        ----------
        ip : str
        seconds : float
            Length of the period that ends now.
        """
        if ip not in self._peers:
            return False
        now = elapsed_seconds()
        known_since = self._known_since.get(ip, float("-inf"))
        heard_at = self._heard_at.get(ip, known_since)
        return self.is_heard(ip) or now - heard_at <= seconds

    def heard_fraction(self) -> float:
        """Return the fraction of all hosts that are heard, this host included."""
        now = elapsed_seconds()
        if now - self._heard_fraction_at >= HEARD_FRACTION_CACHE_SECONDS:
            self._heard_fraction_at = now
            n_heard = sum(self.is_heard(ip) for ip in self._peers)
            self._heard_fraction = (1 + n_heard) / self.n_hosts()
        return self._heard_fraction

    def n_hosts(self) -> int:
        """Return the number of known hosts, this host included."""
        return 1 + len(self._peers)

    def is_partitioned(
        self, zone_timeout_seconds: float = ZONE_TIMEOUT_SECONDS
    ) -> bool:
        """Whether no beacons arrive from any other zone.

        In a fleet with a single zone: whether no other host is heard at all.

        Parameters
        ----------
        zone_timeout_seconds : float
            Time without a beacon after which a zone counts as unreachable.
        """
        now = elapsed_seconds()
        zones = {p.zone for p in self._peers.values()} - {self.own.zone}
        if not zones:
            return bool(self._peers) and not self.alive()
        return not any(
            now - self._zone_heard_at.get(zone, float("-inf")) < zone_timeout_seconds
            for zone in zones
        )

    def by_ip(self, ip: str) -> Peer | None:
        """Return a host by its IP address, or None if it is unknown."""
        return self._peers.get(ip)

    def any_store_outage_within(self, seconds: float) -> bool:
        """Whether any other host may have been disconnected from the store recently.

        A host that is not heard may be disconnected now. So may one that this host
        doesn't know, as it hasn't read the list of hosts yet.

        Parameters
        ----------
        seconds : float
            Length of the period that ends now.
        """
        now = elapsed_seconds()
        if not self._are_hosts_known or len(self.alive()) < len(self._peers):
            return True
        return any(now - at < seconds for at in self._last_store_outage_at.values())

    def is_same_process_heard(self, ip: str, boot: str) -> bool:
        """Whether a host is heard and its process has not restarted.

        Parameters
        ----------
        ip : str
        boot : str
            Identifier of the process that is expected to run.
        """
        return any(p.ip == ip and p.boot == boot for p in self.alive())

    def peers_other_zones_first(self) -> list[Peer]:
        """Return the heard hosts, beginning with one host of each other zone."""
        seen = {self.own.zone}
        first, rest = [], []
        for peer in self.alive():
            (rest if peer.zone in seen else first).append(peer)
            seen.add(peer.zone)
        return first + rest

    def lender_of(self, slot: int) -> Peer | None:
        """Return a heard host that lends tokens to programs of a hash slot, or None."""
        lends = (p for p in self.alive() if slot in self._lending.get(p.ip, ()))
        return next(lends, None)

    def own_zone_hosts(self) -> list[Peer]:
        """Return the heard hosts of the own zone, this host included.

        Hosts with more processor time come first. The order is deterministic: hosts
        that hear the same hosts compute the same order.
        """
        zone = self.own.zone
        found = [self.own, *(p for p in self.alive() if p.zone == zone)]
        return sorted(found, key=lambda p: (-p.cores, _ip_hash(p.ip), p.ip))

    def feeder(self) -> Peer | None:
        """Return the host from which this host gets changes of store rows.

        None if this host polls the store itself.
        """
        if len(self._peers) < MIN_PEERS_FOR_FEEDERS:
            return None
        feeders = self.own_zone_hosts()[:FEEDERS_PER_ZONE]
        if self.own in feeders:
            return None
        return feeders[_ip_hash(self.own.ip) % len(feeders)]

    def is_running_in(self, host: Peer, homes: AllowedRegions = None) -> bool:
        """Return whether a host is heard, or is this one, and is in some regions.

        Parameters
        ----------
        host : Peer
        homes : frozenset of str or None
            Regions. None allows all regions.
        """
        is_running = host is self.own or self.is_heard(host.ip)
        return is_running and self._regions.allows(host.zone, homes)

    def was_running_in(
        self, host: Peer, seconds: float, homes: AllowedRegions = None
    ) -> bool:
        """Return whether a host ran in a period, and is in some regions.

        Parameters
        ----------
        host : Peer
        seconds : float
            Length of the period that ends now.
        homes : frozenset of str or None
            Regions. None allows all regions.
        """
        was_running = host is self.own or self.was_heard_within(host.ip, seconds)
        return was_running and self._regions.allows(host.zone, homes)

    def peers_reaching_store(self) -> list[Peer]:
        """Return the heard hosts that reach the store directly.

        In a large fleet a host of another zone sends its next beacon after a second or
        more. While no zone is heard, the last ones don't count: they may have been sent
        before a network partition.
        """
        found = [p for p in self.alive() if self._store_up.get(p.ip)]
        if self.is_partitioned():
            return [p for p in found if p.zone == self.own.zone]
        return found

    def relay_candidates(self, homes: AllowedRegions = None) -> list[Peer]:
        """Return the hosts that can relay calls to the store.

        Hosts whose calls the store throttles are left out.

        Parameters
        ----------
        homes : frozenset of str or None
            Regions whose hosts may relay the call. None allows all regions.
        """
        return [
            peer
            for peer in self.peers_reaching_store()
            if not self._store_full.get(peer.ip)
            and self._regions.allows(peer.zone, homes)
        ]


def _ip_hash(ip):
    return xxhash.xxh32_intdigest(ip.encode())


def _decode(row: StoredRow, ip: str) -> Peer:
    if row.value is None:
        raise ValueError("got a value that isn't base64")
    peer = decode_host(row.value)
    if peer.ip != ip:
        raise ValueError(f"got the address {peer.ip}, expected that of the key")
    return peer

"""The other hosts, and which of them are heard."""

import asyncio
import random

import msgspec
import xxhash

from swifttide_core.forwarding import Homes, RegionMap
from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS
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
"""A host of which three beacons in a row are missing counts as out of reach."""

ZONE_TIMEOUT_SECONDS = 0.7
"""A zone counts as out of reach when none of its hosts was heard for so long. Each
round brings beacons of some of them, in a fleet of any size."""

HEARD_FRACTION_CACHE_SECONDS = 0.2
"""Between counts of the hosts that are heard: a beacon's pause."""

MIN_PEERS_FOR_FEEDERS = 24
"""Other hosts from which on some ask the store for the others."""

FEEDERS_PER_ZONE = 2
"""Hosts in each zone that ask the store themselves: one may be lost."""

REGISTER_RETRY_SECONDS = 0.3


class Fleet:
    """Hosts that registered in the store, and when each was last heard.

    Being wrong here costs service, never a promise: what must not be wrong is decided
    by rows under a condition.

    Parameters
    ----------
    own : Peer
    log : EventLog
    regions : RegionMap
        In which region each zone lies.
    """

    def __init__(self, own: Peer, log: EventLog, regions: RegionMap | None = None):
        self.own = own
        self._regions = regions or RegionMap()
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._heard_at: dict[str, float] = {}
        self._first_missed_at: dict[str, float] = {}
        self._heard_until: dict[str, float] = {}
        self._zone_heard_at: dict[str, float] = {}
        self._store_up: dict[str, bool] = {}
        self._store_full: dict[str, bool] = {}
        self._lending: dict[str, frozenset[int]] = {}
        self._last_store_outage_at: dict[str, float] = {}
        self._lost: set[str] = set()
        self._heard_fraction = 1.0
        self._heard_fraction_at = float("-inf")

    async def register(self, store: SharedStore) -> None:
        """Write this host's row, however long it takes."""
        value = msgspec.json.encode(msgspec.structs.asdict(_HostRow.of(self.own)))
        key = RowKey(FLEET_TABLE, "", HOST_KEY_PREFIX + self.own.ip)
        tx = Transaction(puts=(Put(key, value),))
        while not isinstance(await store.commit(tx), Applied):
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def leave(self, store: SharedStore) -> None:
        """Remove this host's row."""
        key = RowKey(FLEET_TABLE, "", HOST_KEY_PREFIX + self.own.ip)
        await store.commit(Transaction(removes=(key,)))

    def take_row(self, row: StoredRow) -> None:
        """Take a row of the fleet's table."""
        ip = row.key.key.removeprefix(HOST_KEY_PREFIX)
        if ip == self.own.ip:
            return
        peer = _decode(row.value)
        if peer is not None:
            self._peers[ip] = peer
        else:
            self._peers.pop(ip, None)

    def take_all(self, rows: tuple[StoredRow, ...]) -> None:
        """Take all rows; hosts that aren't among them have left."""
        ips = {r.key.key.removeprefix(HOST_KEY_PREFIX) for r in rows}
        for ip in set(self._peers) - ips:
            del self._peers[ip]
        for row in rows:
            self.take_row(row)

    def record_beacon(
        self,
        peer: Peer,
        store_up: bool,
        away_seconds: float | None = None,
        store_full: bool = False,
        lending: frozenset[int] = frozenset(),
        pause_seconds: float = BEACON_INTERVAL_SECONDS,
    ) -> None:
        """Note a sign of life.

        Parameters
        ----------
        peer : Peer
            A host that starts while the store is away finds the others by this.
        store_up : bool
            Whether the peer reaches the store.
        away_seconds : float or None
            Since it was last without the store; None if it never was.
        store_full : bool
            Whether the store turns its calls away as too many.
        lending : frozenset of int
            Slots of programs for which it lends tokens now.
        pause_seconds : float
            Until it tells again.
        """
        ip = peer.ip
        if ip not in self._peers or self._peers[ip].boot != peer.boot:
            # Its row may be older, or can't be read now.
            self._peers[ip] = peer
        now = asyncio.get_running_loop().time()
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
        """Log peers that have fallen silent."""
        alive = {p.ip for p in self.alive()}
        for ip in set(self._heard_at) & set(self._peers) - alive - self._lost:
            self._lost.add(ip)
            self._log.warning("peer_lost", peer=ip)

    def all(self) -> list[Peer]:
        """Return every other host that registered."""
        return list(self._peers.values())

    def alive(self) -> list[Peer]:
        """Return the hosts heard lately, those of the own zone first."""
        found = [p for p in self._peers.values() if self.is_heard(p.ip)]
        random.shuffle(found)
        found.sort(key=lambda p: p.zone != self.own.zone)
        return found

    def is_heard(self, ip: str) -> bool:
        """Whether a host was heard lately."""
        if ip not in self._peers:
            return False
        now = asyncio.get_running_loop().time()
        return now < self._heard_until.get(ip, float("-inf"))

    def heard_fraction(self) -> float:
        """Return the part of all hosts that are heard, this one included."""
        now = asyncio.get_running_loop().time()
        if now - self._heard_fraction_at >= HEARD_FRACTION_CACHE_SECONDS:
            self._heard_fraction_at = now
            n_heard = sum(self.is_heard(ip) for ip in self._peers)
            self._heard_fraction = (1 + n_heard) / self.n_hosts()
        return self._heard_fraction

    def n_hosts(self) -> int:
        """Return the number of hosts that registered, this one included."""
        return 1 + len(self._peers)

    def seconds_since_heard(self, ip: str) -> float:
        """Return for how long a host hasn't been heard.

        One that never was counts from the first question about it.
        """
        now = asyncio.get_running_loop().time()
        heard_at = self._heard_at.get(ip)
        if heard_at is None:
            heard_at = self._first_missed_at.setdefault(ip, now)
        return now - heard_at

    def is_partitioned(
        self, zone_timeout_seconds: float = ZONE_TIMEOUT_SECONDS
    ) -> bool:
        """Whether all hosts of other zones, or all hosts at all, have fallen silent.

        Parameters
        ----------
        seconds : float
            For how long other zones have been silent.
        """
        now = asyncio.get_running_loop().time()
        zones = {p.zone for p in self._peers.values()} - {self.own.zone}
        if not zones:
            return bool(self._peers) and not self.alive()
        return not any(
            now - self._zone_heard_at.get(zone, float("-inf")) < zone_timeout_seconds
            for zone in zones
        )

    def by_ip(self, ip: str) -> Peer | None:
        """Return a host by its address."""
        return self._peers.get(ip)

    def any_store_outage_within(self, seconds: float) -> bool:
        """Whether some host may have been without the store in the last seconds.

        One that isn't heard may be without it now.
        """
        now = asyncio.get_running_loop().time()
        if len(self.alive()) < len(self._peers):
            return True
        return any(now - at < seconds for at in self._last_store_outage_at.values())

    def is_same_process_heard(self, ip: str, boot: str) -> bool:
        """Whether a host's process is heard and the same as before."""
        return any(p.ip == ip and p.boot == boot for p in self.alive())

    def peers_other_zones_first(self) -> list[Peer]:
        """Return the hosts heard lately, one of each other zone first."""
        seen = {self.own.zone}
        first, rest = [], []
        for peer in self.alive():
            (rest if peer.zone in seen else first).append(peer)
            seen.add(peer.zone)
        return first + rest

    def lender_of(self, slot: int) -> Peer | None:
        """Return the host that lends tokens to programs of a slot, if one is heard."""
        lends = (p for p in self.alive() if slot in self._lending.get(p.ip, ()))
        return next(lends, None)

    def own_zone_hosts(self) -> list[Peer]:
        """Return the hosts of the own zone that are heard, this one included.

        Those with the most processor time come first; all hosts that hear the same
        ones have the same order.
        """
        zone = self.own.zone
        found = [self.own, *(p for p in self.alive() if p.zone == zone)]
        return sorted(found, key=lambda p: (-p.cores, _ip_hash(p.ip), p.ip))

    def feeder(self) -> Peer | None:
        """Return the host that tells this one of changes of rows.

        None where this one asks the store itself.
        """
        if len(self._peers) < MIN_PEERS_FOR_FEEDERS:
            return None
        feeders = self.own_zone_hosts()[:FEEDERS_PER_ZONE]
        if self.own in feeders:
            return None
        return feeders[_ip_hash(self.own.ip) % len(feeders)]

    def peers_reaching_store(self) -> list[Peer]:
        """Return the hosts heard lately that reach the store."""
        return [p for p in self.alive() if self._store_up.get(p.ip)]

    def relay_candidates(self, homes: Homes = None) -> list[Peer]:
        """Return the hosts to which the store has room for more calls.

        Parameters
        ----------
        homes : frozenset of str or None
            Regions whose hosts may carry the call.
        """
        return [
            peer
            for peer in self.peers_reaching_store()
            if not self._store_full.get(peer.ip)
            and self._regions.allows(peer.zone, homes)
        ]


def _ip_hash(ip):
    return xxhash.xxh32_intdigest(ip.encode())


class _HostRow(msgspec.Struct):
    ip: str
    port: int
    zone: str
    boot: str
    cores: float = 1.0

    @classmethod
    def of(cls, peer: Peer):
        return cls(peer.ip, peer.port, peer.zone, peer.boot, peer.cores)


def _decode(value) -> Peer | None:
    if value is None:
        return None
    try:
        row = msgspec.json.decode(value, type=_HostRow)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return Peer(row.ip, row.port, row.zone, row.boot, row.cores)

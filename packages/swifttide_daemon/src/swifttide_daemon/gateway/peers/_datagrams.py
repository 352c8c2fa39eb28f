"""Sends and receives short messages between hosts as UDP datagrams with JSON.

Datagrams are used because a lost beacon is soon followed by the next one, whereas a
stalled connection would delay all messages after the lost one.
"""

import asyncio
import random
import socket
from collections.abc import Callable

import msgspec

from swifttide_core.checks import JsonDecoder, check_host_address
from swifttide_daemon.gateway._stall_detector import MIN_STALL_SECONDS
from swifttide_daemon.gateway.peers._beacon import Beacon
from swifttide_daemon.gateway.peers._beacon_rounds import (
    BEACON_INTERVAL_SECONDS,
    beacon_groups,
)
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._rate_messages import (
    AskRate,
    HandRate,
    RateMessage,
)
from swifttide_daemon.gateway.streams._origin_messages import StreamBegan
from swifttide_daemon.gateway.streams._turn_messages import TurnGenerated
from swifttide_daemon.gateway.targets._order_messages import (
    ORDER_MESSAGE_TYPES,
    OrderMessage,
)
from swifttide_daemon.telemetry import EventLog

Datagram = Beacon | RateMessage | OrderMessage | StreamBegan | TurnGenerated

_decoder = JsonDecoder(Datagram)

PERISHABLE_MESSAGE_TYPES = (Beacon, AskRate, HandRate)
"""Messages that are of no use after a standstill. Beacons tell what was, e.g. that a
host runs or that the store is available. Tokens that were handed over lately say how
much of a burst this host may keep for others, who have another keeper by now. Questions
for a token have been asked elsewhere."""

MAX_DATAGRAM_BYTES = 65_536
"""Upper limit of the size of a datagram."""

MAX_WAITING_DATAGRAMS = 2_000
"""Upper limit of the datagrams that are read at once after a standstill: more than a
receive buffer of usual size holds."""


class PeerDatagrams(asyncio.DatagramProtocol):
    """UDP endpoint that sends beacons and carries other short messages.

    While this process stands still, datagrams wait in the receive buffer. Those of
    `PERISHABLE_MESSAGE_TYPES` are dropped; others are still true.

    The owner sets the callbacks before it calls `run`.

    Parameters
    ----------
    fleet : Fleet
    log : EventLog

    Attributes
    ----------
    compose_beacon : callable
        Takes the number of the round and the seconds until the next beacon to the
        same recipients; returns the beacon.
    sends_to_all : callable
        Returns whether all hosts get a beacon in every round.
    on_beacon : callable
        Takes each beacon that is not outdated.
    on_rate_message, on_order_message : callable
        Take a message and the IP address of its sender.
    on_stream_began : callable
        Takes a message on a stream that another host began.
    on_turn_generated : callable
        Takes a message on a turn that another host relays.
    """

    def __init__(self, fleet: Fleet, log: EventLog):
        self._fleet = fleet
        self._log = log
        self._transport = None
        self._sock: socket.socket | None = None
        self._ran_at: float | None = None
        self._n_rounds = 0
        self._newest_beacons: dict[str, tuple[str, int]] = {}
        self.compose_beacon: Callable[[int, float], Beacon] | None = None
        self.sends_to_all: Callable[[], bool] = lambda: False
        self.on_beacon: Callable[[Beacon], None] = lambda beacon: None
        self.on_rate_message: Callable[[RateMessage, str], None] = lambda message, ip: (
            None
        )
        self.on_order_message: Callable[[OrderMessage, str], None] = (
            lambda message, ip: None
        )
        self.on_stream_began: Callable[[StreamBegan], None] = lambda message: None
        self.on_turn_generated: Callable[[TurnGenerated], None] = lambda message: None

    async def listen(self, ip: str, port: int) -> None:
        """Open the UDP socket."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((ip, port))
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=self._sock
        )

    async def run(self) -> None:
        """Send beacons until cancelled."""
        while True:
            if self._has_stood_still():
                self._read_waiting()
            self._n_rounds += 1
            self._send_beacons(self._n_rounds)
            self._fleet.log_lost_peers()
            await asyncio.sleep(BEACON_INTERVAL_SECONDS * random.uniform(0.9, 1.1))

    def _send_beacons(self, number):
        peers, zone = self._fleet.all(), self._fleet.own.zone
        for group in beacon_groups(peers, zone, number, self.sends_to_all()):
            if not group.peers:
                continue
            beacon = self.compose_beacon(number, group.pause_seconds)
            message = msgspec.json.encode(beacon)
            for peer in group.peers:
                self._transport.sendto(message, (peer.ip, peer.port))

    def send(
        self,
        ip: str,
        message: RateMessage | OrderMessage | StreamBegan | TurnGenerated,
    ) -> None:
        """Send a message to a host without acknowledgement; it may be lost.

        A message to an unknown IP address is dropped.
        """
        peer = self._fleet.by_ip(ip)
        if peer is not None:
            data = msgspec.json.encode(message)
            self._transport.sendto(data, (peer.ip, peer.port))

    def datagram_received(self, data: bytes, addr) -> None:
        """Decode a datagram and pass it to the callback for its type."""
        has_stood_still = self._has_stood_still()
        self._handle(data, addr, has_stood_still)
        if has_stood_still:
            self._read_waiting()

    def _has_stood_still(self) -> bool:
        """Return whether this process hasn't run since the last round or datagram."""
        before, self._ran_at = self._ran_at, elapsed_seconds()
        return before is not None and self._ran_at - before >= MIN_STALL_SECONDS

    def _read_waiting(self):
        """Read all datagrams that have waited."""
        for _ in range(MAX_WAITING_DATAGRAMS):
            try:
                data, addr = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._handle(data, addr, is_old=True)

    def _handle(self, data, addr, is_old):
        try:
            message = _decoder.decode(data)
        except ValueError as exc:
            self._log.warning("datagram_unreadable", peer=addr[0], reason=str(exc))
            return
        if is_old and isinstance(message, PERISHABLE_MESSAGE_TYPES):
            return
        if isinstance(message, Beacon):
            self._handle_beacon(message)
        elif isinstance(message, ORDER_MESSAGE_TYPES):
            self.on_order_message(message, addr[0])
        elif isinstance(message, StreamBegan):
            self.on_stream_began(message)
        elif isinstance(message, TurnGenerated):
            self.on_turn_generated(message)
        else:
            self.on_rate_message(message, addr[0])

    def error_received(self, exc: OSError) -> None:
        """Ignore errors such as a closed port: missing beacons reveal a lost peer."""

    def _handle_beacon(self, beacon):
        if beacon.ip not in self._newest_beacons:
            errors = check_host_address("ip", beacon.ip)
            if errors:
                self._log.warning("datagram_unreadable", reason=str(errors[0]))
                return
        boot, number = self._newest_beacons.get(beacon.ip, ("", 0))
        if beacon.boot == boot and beacon.number <= number:
            return
        self._newest_beacons[beacon.ip] = (beacon.boot, beacon.number)
        peer = Peer(beacon.ip, beacon.port, beacon.zone, beacon.boot, beacon.cores)
        self._fleet.record_beacon(
            peer,
            beacon.store_up,
            beacon.away_seconds,
            beacon.store_full,
            frozenset(beacon.lending),
            beacon.pause_seconds,
        )
        self.on_beacon(beacon)

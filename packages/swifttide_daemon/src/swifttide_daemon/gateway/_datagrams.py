"""Short messages between hosts.

Datagrams of JSON: a lost one is followed by the next, and a stalled connection would
hold back all that come after it.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from swifttide_daemon.gateway._beacon import Beacon
from swifttide_daemon.gateway._fleet import Fleet
from swifttide_daemon.gateway._peer import Peer
from swifttide_daemon.gateway._rate_messages import RateMessage
from swifttide_daemon.telemetry import EventLog

INTERVAL_SECONDS = 0.2
"""Between beacons; a fifth of a turn's usual time, so counts are fresh enough."""

Datagram = Beacon | RateMessage

_decoder = msgspec.json.Decoder(Datagram)


class Datagrams(asyncio.DatagramProtocol):
    """Sends this host's beacon and carries other short messages.

    Parameters
    ----------
    fleet : Fleet
    log : EventLog
    """

    def __init__(self, fleet: Fleet, log: EventLog):
        self._fleet = fleet
        self._log = log
        self._transport = None
        self._newest: dict[str, tuple[str, int]] = {}
        self.compose: Callable[[int], Beacon] | None = None
        self.on_beacon: Callable[[Beacon], None] = lambda beacon: None
        self.on_rate: Callable[[RateMessage, str], None] = lambda message, ip: None

    async def listen(self, ip: str, port: int) -> None:
        """Open the port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    async def run(self) -> None:
        """Send beacons until cancelled."""
        number = 0
        while True:
            number += 1
            message = msgspec.json.encode(self.compose(number))
            for peer in self._fleet.all():
                self._transport.sendto(message, (peer.ip, peer.port))
            self._fleet.note_silent()
            await asyncio.sleep(INTERVAL_SECONDS * random.uniform(0.9, 1.1))

    def send(self, ip: str, message: RateMessage) -> None:
        """Send a message to a host; it may be lost."""
        peer = self._fleet.by_ip(ip)
        if peer is not None:
            data = msgspec.json.encode(message)
            self._transport.sendto(data, (peer.ip, peer.port))

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a datagram."""
        try:
            message = _decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self._log.warning("datagram_unreadable", peer=addr[0])
            return
        match message:
            case Beacon():
                self._take_beacon(message)
            case _:
                self.on_rate(message, addr[0])

    def error_received(self, exc: OSError) -> None:
        """Ignore that a peer's port is closed: its silence says as much."""

    def _take_beacon(self, beacon):
        boot, number = self._newest.get(beacon.ip, ("", 0))
        if beacon.boot == boot and beacon.number <= number:
            return
        self._newest[beacon.ip] = (beacon.boot, beacon.number)
        peer = Peer(beacon.ip, beacon.port, beacon.zone, beacon.boot)
        lending = frozenset(beacon.lending)
        self._fleet.heard(
            peer, beacon.store_up, beacon.away_seconds, beacon.store_full, lending
        )
        self.on_beacon(beacon)

"""Datagrams of other hosts that have waited while this host stood still."""

import asyncio
import socket

import msgspec
import pytest

from swifttide_core.resumption import TurnEvent
from swifttide_daemon.gateway.peers._beacon import Beacon
from swifttide_daemon.gateway.peers._datagrams import PeerDatagrams
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._rate_messages import (
    AskRate,
    HandRate,
    RateAnswer,
)
from swifttide_daemon.gateway.streams._origin_messages import StreamBegan
from swifttide_daemon.gateway.streams._turn_messages import TurnGenerated
from swifttide_standins.paused_clock import run_paused

LOOPBACK = "127.0.0.1"
OTHER = "127.0.0.2"


class Host:
    """A host with a socket, to which the test sends datagrams of another host."""

    def __init__(self, log):
        self.fleet = Fleet(Peer(LOOPBACK, 1, "a", "b0"), log)
        self.fleet.keep_only([])
        self.datagrams = PeerDatagrams(self.fleet, log)
        self.datagrams.compose_beacon = lambda number, pause: Beacon(
            LOOPBACK, 1, "a", "b0", number
        )
        self.streams = []
        self.datagrams.on_stream_began = self.streams.append
        self.n_beacons = 0

    async def start(self):
        await self.datagrams.listen(LOOPBACK, 0)
        self.task = asyncio.create_task(self.datagrams.run())
        await asyncio.sleep(1.0)

    def send(self, message):
        """Put a datagram into the receive buffer of the host."""
        address = self.datagrams._transport.get_extra_info("sockname")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(msgspec.json.encode(message), address)

    def send_beacon(self):
        self.n_beacons += 1
        self.send(Beacon(OTHER, 9, "b", "b1", self.n_beacons, True))

    def stand_still(self, seconds):
        """Let time pass in which the event loop doesn't run."""
        asyncio.get_running_loop().now += seconds


@pytest.fixture
def play(log):
    def run(scenario):
        async def main():
            host = Host(log)
            await host.start()
            return await scenario(host)

        return run_paused(main())

    return run


async def run_ready():
    """Let the event loop read what has arrived, without time passing."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestStandstill:
    """Guards against beacons from before a standstill that count as just sent."""

    def test_beacons_that_waited(self, play):
        async def scenario(host):
            host.send_beacon()
            await run_ready()
            heard = [host.fleet.is_heard(OTHER)]
            for _ in range(3):
                host.send_beacon()
            host.stand_still(6.0)
            await run_ready()
            heard.append(host.fleet.is_heard(OTHER))
            host.send_beacon()
            await run_ready()
            return [*heard, host.fleet.is_heard(OTHER)]

        assert play(scenario) == [True, False, True]

    def test_outage_of_the_store_meanwhile(self, play):
        async def scenario(host):
            host.send_beacon()
            await run_ready()
            host.send_beacon()
            host.stand_still(6.0)
            await run_ready()
            return host.fleet.any_store_outage_within(60.0)

        assert play(scenario)

    def test_streams_that_began_meanwhile_are_remembered(self, play):
        message = StreamBegan("k", "chat", "v1", 48.0, "")

        async def scenario(host):
            host.send(message)
            host.stand_still(6.0)
            await run_ready()
            return host.streams

        assert play(scenario) == [message]

    def test_tokens_that_waited(self, play):
        """Guards against a keeper that counts the whole burst as its own again, after
        its successor has handed it out.
        """
        handed = [HandRate("b1", n, {"c": (1.0, 0.5, 0.0, 0.0)}) for n in (1, 2, 3)]
        answer = RateAnswer("c", "b0", 7, is_granted=True)

        async def scenario(host):
            found = []
            host.datagrams.on_rate_message = lambda message, ip: found.append(message)
            for message in (handed[0], AskRate("c", "b1", 1, 0.0), answer, handed[1]):
                host.send(message)
            host.stand_still(6.0)
            await run_ready()
            host.send(handed[2])
            await run_ready()
            return found

        assert play(scenario) == [answer, handed[2]]

    def test_order_of_a_turns_events(self, play):
        """Guards against events of a turn that are passed on out of order."""

        async def scenario(host):
            found = []
            host.datagrams.on_turn_generated = lambda m: found.append(m.n_before)
            for n in range(4):
                events = [TurnEvent(n + 1, b"word")]
                host.send(TurnGenerated("k", "a1", n, events, 8.0))
            host.stand_still(6.0)
            await run_ready()
            return found

        assert play(scenario) == [0, 1, 2, 3]

    def test_host_that_did_not_stand_still(self, play):
        async def scenario(host):
            host.send_beacon()
            host.stand_still(0.2)
            await run_ready()
            return host.fleet.is_heard(OTHER)

        assert play(scenario)

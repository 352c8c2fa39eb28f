"""Beginnings of turns that are resumed at other hosts, on a paused clock."""

import asyncio

import pytest

from swifttide_core.forwarding import RegionMap, RequestKind, Route, WeightedService
from swifttide_core.resumption import TurnEvent
from swifttide_daemon.gateway.callers._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.streams._turn_events import (
    MAX_DATAGRAM_DATA_BYTES,
    N_KEEPERS,
    TurnEvents,
)
from swifttide_daemon.gateway.tests._hosts import InProcessPeerClient
from swifttide_standins.paused_clock import run_paused

IPS = [f"10.0.{'abc'.index(zone)}.{n}" for zone in "abc" for n in range(4)]
WEIGHTED = (WeightedService("chat", 1.0),)
ROUTE = Route("r", "h", "/", RequestKind.STREAMING, WEIGHTED, 4.0, 0.2)
EVENTS = tuple(TurnEvent(n, b"word%d" % n) for n in range(1, 7))


def request(id="a1", body=b"in", last=None, resumes="", **terms):
    turn = TurnTerms(**{"program": "p", "branch": "s"} | terms)
    return CallerRequest(
        id, "POST", b"/", "h", (), body, 0.0, turn=turn, last_event_id=last,
        resumed_attempt=resumes,
    )  # fmt: skip


class Host:
    """A host that knows of turns, and hears the hosts that are not lost."""

    def __init__(self, ip, hosts, log):
        zone = "abc"[int(ip.split(".")[2])]
        self.fleet = Fleet(Peer(ip, 1, zone, f"{ip}-boot"), log, RegionMap())
        self.hosts = hosts
        self.sizes = []
        peers = InProcessPeerClient(lambda: self.hosts)
        self.turns = TurnEvents(self.fleet, peers, self.send)

    async def answer(self, question):
        return self.turns.answer(question)

    def send(self, ip, message):
        self.sizes.append(sum(len(event.data) for event in message.events))
        if ip in self.hosts:
            self.hosts[ip].turns.handle_message(message)

    def hear(self):
        for ip in IPS:
            zone = "abc"[int(ip.split(".")[2])]
            if self.fleet.own.ip != ip:
                self.fleet.record_beacon(
                    Peer(ip, 1, zone, f"{ip}-boot"), True, pause_seconds=1e6
                )

    def relay(self, req, events=EVENTS, customer="c"):
        for n, event in enumerate(events):
            self.turns.record(customer, req, n, [event], ROUTE)

    async def find(self, req, customer="c"):
        return await self.turns.find(customer, req, ROUTE)


@pytest.fixture
def play(log):
    """Run a scenario with a fleet of hosts in three zones."""

    def run(scenario):
        async def main():
            hosts = {}
            hosts.update({ip: Host(ip, hosts, log) for ip in IPS})
            for host in hosts.values():
                host.hear()
            return await scenario(hosts)

        return run_paused(main())

    return run


class TestFind:
    @pytest.mark.parametrize("resumes", ["", "a1"])
    def test_any_host_knows_a_turn_of_a_lost_host(self, play, resumes):
        """Guards against turns whose beginning is lost with their host."""

        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            del hosts[IPS[0]]
            req = request("a2", last=4, resumes=resumes)
            return [await host.find(req) for host in hosts.values()]

        assert set(play(scenario)) == {EVENTS[:4]}

    def test_zone_of_its_host_is_lost(self, play):
        """Guards against keepers that are all lost with one zone."""

        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            for ip in IPS[:4]:
                del hosts[ip]
            return await hosts[IPS[4]].find(request("a2", last=6))

        assert play(scenario) == EVENTS

    def test_all_that_know_it_are_lost(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            for ip in IPS[:-1]:
                hosts[ip].turns = TurnEvents(hosts[ip].fleet, None, None)
            hosts[IPS[-1]].turns._records.__init__()
            return await hosts[IPS[-1]].find(request("a2", last=6))

        assert play(scenario) is None

    @pytest.mark.parametrize(
        "other",
        [
            {"body": b"else"},
            {"program": "q"},
            {"branch": "t"},
            {"previous": "a0"},
        ],
    )
    def test_another_turn(self, play, other):
        """Guards against the beginning of a turn that asked something else."""

        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            host = hosts[IPS[0]]
            mine = await host.find(request("a2", last=4))
            return mine, await host.find(request("a2", last=4, **other))

        assert play(scenario) == (EVENTS[:4], None)

    def test_turn_of_another_customer(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            return await hosts[IPS[0]].find(request("a2", last=4), "other")

        assert play(scenario) is None

    def test_answers_to_the_same_turn_that_differ(self, play):
        """Guards against a guess which of two answers a caller has."""

        async def scenario(hosts):
            hosts[IPS[0]].relay(request("a1"))
            hosts[IPS[5]].relay(
                request("b1"), [TurnEvent(n, b"y") for n in range(1, 7)]
            )
            host = hosts[IPS[7]]
            return [
                await host.find(request("a2", last=4, resumes=named))
                for named in ("", "a1", "b1")
            ]

        unnamed, first, second = play(scenario)
        assert unnamed is None
        assert first == EVENTS[:4]
        assert {event.data for event in second} == {b"y"}

    def test_remembered_for_the_time_in_which_it_is_resumed(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            await asyncio.sleep(15.0)
            late = await hosts[IPS[1]].find(request("a2", last=4))
            await asyncio.sleep(2.0)
            return late, await hosts[IPS[1]].find(request("a2", last=4))

        assert play(scenario) == (EVENTS[:4], None)


class TestMessages:
    def test_each_event_goes_to_few_hosts(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].relay(request())
            return len(hosts[IPS[0]].sizes)

        assert play(scenario) <= N_KEEPERS * len(EVENTS)

    def test_long_beginning_is_split(self, play):
        """Guards against datagrams that are too long to be sent."""
        long = [TurnEvent(n, b"x" * 9_000) for n in range(1, 21)]

        async def scenario(hosts):
            host = hosts[IPS[0]]
            host.turns.record("c", request(), 0, long, ROUTE)
            del hosts[IPS[0]]
            return host.sizes, await hosts[IPS[1]].find(request("a2", last=20))

        sizes, found = play(scenario)
        assert max(sizes) <= MAX_DATAGRAM_DATA_BYTES
        assert found == tuple(long)

    def test_event_too_long_for_a_datagram(self, play):
        """Guards against a beginning with a hole where an event couldn't be told."""
        long = [*EVENTS[:2], TurnEvent(3, b"x" * 70_000), *EVENTS[3:]]

        async def scenario(hosts):
            hosts[IPS[0]].relay(request(), long)
            own = await hosts[IPS[0]].find(request("a2", last=6))
            del hosts[IPS[0]]
            return own, await hosts[IPS[1]].find(request("a2", last=6))

        assert play(scenario) == (tuple(long), None)

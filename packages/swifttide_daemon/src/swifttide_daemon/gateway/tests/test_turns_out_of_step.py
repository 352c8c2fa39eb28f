"""Turns that began at a host right after a standstill, on a paused clock."""

import asyncio

import pytest

from swifttide_core.resumption import TurnEvent
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.tests.test_turn_events import EVENTS, IPS, play, request

__all__ = ["play"]

OTHERS = tuple(TurnEvent(n, b"other%d" % n) for n in range(1, 7))


@pytest.mark.parametrize("is_stalled", [False, True])
@pytest.mark.parametrize("is_lost", [False, True])
def test_turn_asked_twice(play, is_stalled, is_lost):
    """Guards against a turn stored with the beginning of another answer."""

    async def scenario(hosts):
        for ip in IPS:
            if ip != IPS[1]:
                hosts[IPS[1]].fleet.record_beacon(
                    Peer(ip, 1, "abc"[int(ip.split(".")[2])], f"{ip}-boot"),
                    True,
                    pause_seconds=0.1 if is_stalled else 1e6,
                )
        await asyncio.sleep(2.0)
        hosts[IPS[0]].relay(request("a1"))
        hosts[IPS[1]].relay(request("a2"), OTHERS)
        if is_lost:
            del hosts[IPS[1]]
        return {await hosts[ip].find(request("a3", last=4)) for ip in IPS[2:]}

    assert play(scenario) == {None}


def test_attempt_is_named_at_a_host_that_hears_nobody(play):
    """Guards against refusing turns that other hosts know."""

    async def scenario(hosts):
        for ip in IPS[1:]:
            hosts[IPS[0]].fleet.record_beacon(
                Peer(ip, 1, "abc"[int(ip.split(".")[2])], f"{ip}-boot"),
                True,
                pause_seconds=0.1,
            )
        hosts[IPS[1]].relay(request("a1"))
        hosts[IPS[0]].turns._records = type(hosts[IPS[0]].turns._records)()
        await asyncio.sleep(2.0)
        return await hosts[IPS[0]].find(request("a2", last=4, resumes="a1"))

    assert play(scenario) == EVENTS[:4]

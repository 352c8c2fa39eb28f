"""Turns on routes that keep them and may be resumed, over real sockets."""

import asyncio

import pytest

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import STREAM, TURN, route

N_EVENTS = 6
ROUTES = [
    route("draft", "engines", **TURN, resumable=True, timeout_ms=2000),
    route("check", "engines", **STREAM, resumable=True),
]
WHOLE = b"in" + b"".join(b"d%d\n" % n for n in range(1, N_EVENTS + 1)) + b"next"


async def add_runner(site, id, **more):
    """Start a runner and wait until all hosts know it."""
    runner = await site.add_runner(id, "engines")
    runner.script = runner.events(N_EVENTS, **more)
    await until(lambda: all(id in g.beliefs.targets for g in site.gateways))
    await until(lambda: all(hears_all(g, site) for g in site.gateways))
    return runner


def hears_all(gateway, site):
    """Whether a host hears all others."""
    return len(gateway._fleet.alive()) == len(site.gateways) - 1


async def lose(site, runner):
    """End a runner's process and its entry."""
    await runner.server.stop()
    site.store.rows.remove("servers", runner.id)
    await until(lambda: all(runner.id not in g.beliefs.targets for g in site.gateways))


async def break_turn(site, n_events=2):
    """Run a turn at a runner that is lost after some events; return the answer."""
    runner = await add_runner(site, "breaks", hold_after=n_events)
    sending = asyncio.create_task(site.turn("t1"))
    await until(lambda: runner.ran)
    await asyncio.sleep(0.1)
    await lose(site, runner)
    return await sending


async def next_turn(site, runner, previous, **more):
    """Run the next turn; return what its runner got."""
    answer = await site.turn("t9", body=b"next", previous_turn=previous, **more)
    assert answer.status == 200, answer.body
    return runner.ran[-1].body


class TestTakenUpAtAnotherHost:
    @pytest.mark.parametrize("names_it", [False, True])
    def test_next_turn_gets_the_whole_answer(self, play, names_it):
        """Guards against a history without the events that an earlier host sent."""

        async def scenario(site):
            first = await break_turn(site)
            runner = await add_runner(site, "goes-on")
            named = {"resumes": "t1"} if names_it else {}
            rest = await site.turn("t2", gateway=1, last_event_id=2, **named)
            return first, rest, await next_turn(site, runner, "t2")

        first, rest, history = play(scenario, routes=ROUTES, n_gateways=2)
        assert (first.whole, rest.status, rest.whole) == (False, 200, True)
        assert history == WHOLE

    def test_turn_of_two_hosts_that_are_lost(self, play):
        """Guards against a history without what the first resumption sent."""

        async def scenario(site):
            runner = await add_runner(site, "r", hold_after=2)
            for n in range(2):
                fields = {"last_event_id": 2, "resumes": "t1"} if n else {}
                sending = asyncio.create_task(
                    site.turn(f"t{n + 1}", gateway=n, **fields)
                )
                await until(lambda n=n: len(runner.ran) > n)
                await asyncio.sleep(0.1)
                site.kill(n)
                sending.cancel()
            runner.script = runner.events(N_EVENTS)
            rest = await site.turn("t3", gateway=2, last_event_id=4, resumes="t1")
            return rest, await next_turn(site, runner, "t3", gateway=2)

        rest, history = play(scenario, routes=ROUTES, n_gateways=3)
        assert (rest.status, rest.whole) == (200, True)
        assert history == WHOLE

    def test_turn_whose_end_alone_was_lost(self, play):
        """Guards against an empty answer in place of one whose end was lost."""

        async def scenario(site):
            await break_turn(site, N_EVENTS)
            runner = await add_runner(site, "goes-on")
            rest = await site.turn(
                "t2", gateway=1, last_event_id=N_EVENTS, resumes="t1"
            )
            return rest, await next_turn(site, runner, "t2")

        rest, history = play(scenario, routes=ROUTES, n_gateways=2)
        assert (rest.status, rest.whole, rest.body) == (200, True, b"")
        assert history == WHOLE

    def test_caller_has_fewer_events_than_its_host_sent(self, play):
        """Guards against events in the history that come twice."""

        async def scenario(site):
            await break_turn(site, 4)
            runner = await add_runner(site, "goes-on")
            await site.turn("t2", gateway=1, last_event_id=2, resumes="t1")
            return await next_turn(site, runner, "t2")

        assert play(scenario, routes=ROUTES, n_gateways=2) == WHOLE

    def test_unknown_beginning_is_refused(self, play):
        """Guards against a history with a hole where no host knows the beginning."""

        async def scenario(site):
            await break_turn(site)
            runner = await add_runner(site, "goes-on")
            # Not what the first attempt asked.
            fields = {"last_event_id": 2, "resumes": "t1"}
            rest = await site.turn("t2", body=b"else", gateway=1, **fields)
            return rest, runner.ran

        rest, ran = play(scenario, routes=ROUTES, n_gateways=2)
        assert (rest.status, rest.fields["retry-after"], ran) == (503, "0.000", [])

    def test_runner_goes_on_beyond_the_place(self, play):
        """Guards against a hole that a runner leaves as it resumes a turn."""

        async def scenario(site):
            await break_turn(site)
            runner = await add_runner(site, "goes-on")
            pieces = (b"id: 5\ndata: d5\n\n", b"id: 6\ndata: d6\n\n")
            runner.script = lambda request: runner.reply(request, pieces)
            return await site.turn("t2", gateway=1, last_event_id=2, resumes="t1")

        rest = play(scenario, routes=ROUTES, n_gateways=2)
        assert (rest.whole, rest.body) == (False, b"")

    def test_route_that_keeps_nothing(self, play):
        """Guards against refusals where no history is stored."""

        async def scenario(site):
            runner = await add_runner(site, "breaks", hold_after=2)
            sending = asyncio.create_task(site.send("/check/1"))
            await until(lambda: runner.ran)
            await asyncio.sleep(0.1)
            await lose(site, runner)
            await sending
            await add_runner(site, "goes-on")
            rest = await site.send("/check/1", gateway=1, last_event_id=2)
            return rest.status

        assert play(scenario, routes=ROUTES, n_gateways=2) == 200

"""Requests at runners that crash, over real sockets."""

import asyncio

import pytest

from swifttide_daemon.gateway.targets._target_prober import END_CHECK_DELAY_SECONDS
from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import TURN, route

ROUTES = [
    route("draft", "engines", **TURN),
    route("lookup", "app"),
    route("charge", "app", type="non_idempotent", max_attempts=1),
]
CONSENT = b"Yes, go on."


async def add_runner(site, id, service):
    """Start a runner that never ends its answer to a request it is to crash with."""
    runner = await site.add_runner(id, service)
    usual, held = runner.events(3), runner.events(3, hold_after=0)
    if service == "app":
        usual, held = runner.body(b"found"), runner.body(b"found", hold_after=0)
    runner.crashes_with = None
    runner.n_held = 0

    def script(request):
        if runner.crashes_with is None or runner.crashes_with not in request.body:
            return usual(request)
        runner.n_held += 1
        return held(request)

    runner.script = script
    await until(lambda: all(id in g.beliefs.targets for g in site.gateways))
    return runner


def n_strikes(site, gateway=0):
    """Return the number of strikes that a host knows."""
    return len(site.gateways[gateway]._strikes._tracker.export(0.0))


async def end_with_a_request(runner, sending):
    """End a runner's process once it has a request."""
    n_ran = len(runner.ran)
    task = asyncio.create_task(sending)
    await until(lambda: len(runner.ran) > n_ran)
    await runner.server.stop()
    await task


async def crash(site, runner, sending):
    """End a runner's process once it has a request; wait until its host knows."""
    n_before = n_strikes(site)
    await end_with_a_request(runner, sending)
    # It starts again, with the same id, and leaves.
    site.store.rows.put("servers", runner.id, runner.entry(born=2))
    await until(lambda: n_strikes(site) > n_before)
    site.store.rows.remove("servers", runner.id)
    await until(lambda: runner.id not in site.gateways[0].beliefs.targets)


class TestTurnsOfOneText:
    def turns(self, site, program):
        """Return a function that sends turns of a program."""

        async def send(number, body, previous):
            fields = {"previous_turn": previous} if previous else {}
            return await site.send(
                "/draft/1", body, attempt_id=f"{program}.{number}",
                program_id=program, session_id=program, **fields,
            )  # fmt: skip

        return send

    async def crash_with_a_turn(self, site, program):
        """Crash a runner with the second turn of a program."""
        runner = await add_runner(site, f"r-{program}", "engines")
        send = self.turns(site, program)
        await send(1, program.encode(), "")
        runner.crashes_with = CONSENT
        await crash(site, runner, send(2, CONSENT, f"{program}.1"))

    def test_turn_with_another_history_is_served(self, play):
        """Guards against refusing turns of one text as runners crashed with some."""

        async def scenario(site):
            await self.crash_with_a_turn(site, "p1")
            await self.crash_with_a_turn(site, "p2")
            runner = await add_runner(site, "r-p3", "engines")
            send = self.turns(site, "p3")
            await send(1, b"p3", "")
            return await send(2, CONSENT, "p3.1"), runner.ran[-1].body

        answer, body = play(scenario, routes=ROUTES)
        assert answer.status == 200
        assert body == b"p3" + b"d1\nd2\nd3\n" + CONSENT

    def test_turn_that_crashes_each_runner_is_refused(self, play):
        """Guards against a turn that crashes runners one after the other."""

        async def scenario(site):
            first = await add_runner(site, "first", "engines")
            send = self.turns(site, "p1")
            await send(1, b"p1", "")
            for n, runner in enumerate([first, None]):
                runner = runner or await add_runner(site, "second", "engines")
                runner.crashes_with = CONSENT
                await crash(site, runner, send(n + 2, CONSENT, "p1.1"))
            third = await add_runner(site, "third", "engines")
            return await send(4, CONSENT, "p1.1"), third.ran

        answer, ran = play(scenario, routes=ROUTES)
        assert (answer.status, answer.body, ran) == (503, b"crashes_targets", [])


class TestRequestsWithoutABody:
    def test_frequent_request_is_served(self, play):
        """Guards against refusing a frequent request that is at crashing runners."""

        async def scenario(site):
            runners = [await add_runner(site, id, "app") for id in ("first", "second")]
            for _ in range(3):
                await site.send("/lookup/1", method="GET")
            for runner in runners:
                runner.crashes_with = b""
            crashes = []
            while not all(runner.n_held for runner in runners):
                crashes.append(
                    asyncio.create_task(site.send("/lookup/1", method="GET"))
                )
                await asyncio.sleep(0.05)
            for runner in runners:
                await runner.server.stop()
            await asyncio.gather(*crashes)
            for runner in runners:
                site.store.rows.put("servers", runner.id, runner.entry(born=2))
            await until(lambda: n_strikes(site) == 2)
            for runner in runners:
                site.store.rows.remove("servers", runner.id)
            await until(lambda: not site.gateways[0].beliefs.targets)
            await add_runner(site, "third", "app")
            return await site.send("/lookup/1", method="GET")

        assert play(scenario, routes=ROUTES).status == 200

    @pytest.mark.parametrize(
        "path, status", [("/lookup/1?a", 503), ("/lookup/1?b", 200)]
    )
    def test_query_is_part_of_a_request(self, play, path, status):
        """Guards against refusing other objects than the one that crashes runners."""

        async def scenario(site):
            for id in ("first", "second"):
                runner = await add_runner(site, id, "app")
                runner.crashes_with = b""
                await crash(site, runner, site.send("/lookup/1?a", method="GET"))
            await add_runner(site, "third", "app")
            return await site.send(path, method="GET")

        assert play(scenario, routes=ROUTES).status == status


class TestRunnersThatComeBackElsewhere:
    def test_request_that_comes_alone_is_refused(self, play):
        """Guards against crashes that go unnoticed where nobody meets the address."""

        async def scenario(site):
            for n, id in enumerate(("first", "second"), start=1):
                runner = await add_runner(site, id, "app")
                runner.crashes_with = b""
                await end_with_a_request(runner, site.send("/charge/1"))
                # Its next process has another id and another port.
                site.store.rows.remove("servers", id)
                await until(lambda n=n: n_strikes(site) == n)
            third = await add_runner(site, "third", "app")
            return await site.send("/charge/1"), third.ran

        answer, ran = play(scenario, routes=ROUTES)
        assert (answer.status, answer.body, ran) == (503, b"crashes_targets", [])

    def test_runner_that_breaks_off_is_no_crash(self, play):
        """Guards against strikes for a connection that broke at a sound runner."""

        async def scenario(site):
            runner = await add_runner(site, "first", "app")
            runner.script = lambda request: None
            answer = await site.send("/charge/1")
            await asyncio.sleep(2 * END_CHECK_DELAY_SECONDS)
            return answer.status, len(runner.ran), n_strikes(site)

        assert play(scenario, routes=ROUTES) == (502, 1, 0)


class TestHostsThatStart:
    def test_request_is_refused_at_a_host_that_has_just_started(self, play):
        """Guards against crashes that begin anew at each host that is restarted."""

        async def scenario(site):
            for id in ("first", "second"):
                runner = await add_runner(site, id, "app")
                runner.crashes_with = b""
                await crash(site, runner, site.send("/lookup/1", method="GET"))
            # Strikes are told to all hosts for two seconds after a crash.
            await asyncio.sleep(2.5)
            third = await add_runner(site, "third", "app")
            await site.add_gateway()
            await until(lambda: "third" in site.gateways[2].beliefs.targets)
            await until(lambda: n_strikes(site, 2) == 2)
            answer = await site.send("/lookup/1", method="GET", gateway=2)
            return answer, third.ran

        answer, ran = play(scenario, routes=ROUTES, n_gateways=2)
        assert (answer.status, answer.body, ran) == (503, b"crashes_targets", [])

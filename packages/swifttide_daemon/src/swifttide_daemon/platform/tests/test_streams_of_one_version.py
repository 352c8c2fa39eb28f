"""Streams while runners of two software versions serve, over real sockets."""

import asyncio
import re

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import STREAM, route

N_EVENTS = 6
ROUTES = [route("check", "engines", **STREAM, resumable=True, timeout_ms=8000)]


def versions_in(*bodies):
    """Return the versions that stamped the events of a stream's parts."""
    found = re.findall(rb"^data: d\d+ (\S+)$", b"".join(bodies), re.MULTILINE)
    return [version.decode() for version in found]


def ids_in(*bodies):
    """Return the ids of the events of a stream's parts."""
    return [int(n) for n in re.findall(rb"^id: (\d+)$", b"".join(bodies), re.MULTILINE)]


async def add_runner(site, id, version, zone="zone-a", **more):
    """Start a runner with stamped events and wait until all hosts know it."""
    runner = await site.add_runner(id, "engines", zone, version)
    runner.script = runner.events(N_EVENTS, stamped=True, **more)
    await until(lambda: all(id in g.beliefs.targets for g in site.gateways))
    return runner


async def begin_stream(site, version, zone="zone-a"):
    """Start the only runner and a stream at it that stops after two events."""
    runner = await add_runner(site, "begins", version, zone, hold_after=2)
    sending = asyncio.create_task(
        site.send("/check/1", attempt_id="a1", deadline_ms="8000")
    )
    await until(lambda: runner.ran)
    return sending, runner


async def hold_list(site, number=0):
    """Keep a gateway from hearing of runners until it asks by itself."""
    watch = site.gateways[number]._feeds.targets
    watch._pause_seconds = 60.0
    runner = site.runners["begins"]
    entry = runner.entry(sequence=2 + number)
    site.store.rows.put("servers", runner.id, entry)
    await until(lambda: watch._is_pausing)


async def restart(site, runner, version):
    """Start a runner under its id and address with other software."""
    port = runner.server.port
    await runner.server.stop()
    runner.version = version
    runner.script = runner.events(N_EVENTS, stamped=True)
    site.store.rows.put("servers", runner.id, runner.entry(born=2))
    await runner.server.start(port)


async def break_stream(sending, runner):
    """Crash the runner of a stream; return what its caller got."""
    await runner.server.stop()
    return await sending


class TestWithinAnAnswer:
    def test_stream_goes_on_at_the_version_that_began_it(self, play):
        """Guards against one answer with events of two versions."""

        async def scenario(site):
            stream = await begin_stream(site, "v1", "zone-b")
            await add_runner(site, "near", "v2")
            await add_runner(site, "far", "v1", "zone-b")
            return await break_stream(*stream)

        answer = play(scenario, routes=ROUTES)
        assert (answer.whole, ids_in(answer.body)) == (True, [1, 2, 3, 4, 5, 6])
        assert set(versions_in(answer.body)) == {"v1"}

    def test_stream_ends_where_its_version_is_gone(self, play):
        """Guards against another version where none of the first is left."""

        async def scenario(site):
            stream = await begin_stream(site, "v1")
            other = await add_runner(site, "other", "v2")
            return await break_stream(*stream), other

        answer, other = play(scenario, routes=ROUTES)
        assert (answer.whole, versions_in(answer.body)) == (False, ["v1", "v1"])
        assert not other.ran

    def test_runner_has_restarted_at_another_version_unheard(self, play):
        """Guards against going on at a runner by what a late list says of it."""

        async def scenario(site):
            stream = await begin_stream(site, "v1")
            other = await add_runner(site, "other", "v1")
            await hold_list(site)
            await restart(site, other, "v2")
            return await break_stream(*stream), other

        answer, other = play(scenario, routes=ROUTES)
        assert not answer.whole
        assert set(versions_in(answer.body)) == {"v1"}
        assert not other.ran

    def test_runner_restarts_at_another_version_while_a_connection_opens(self, play):
        """Guards against a stream whose origin is the version of an earlier process."""

        async def scenario(site):
            runner = await add_runner(site, "i-1", "v1")
            site.change_while_connecting(runner, version="v2", born=2)
            return await site.send("/check/1"), runner.ran

        answer, ran = play(scenario, routes=ROUTES)
        assert (answer.status, ran) == (503, [])


class TestTakenUpByItsCaller:
    def test_stream_goes_on_at_the_version_that_began_it(self, play):
        """Guards against a stream that another host takes up at another version."""

        async def scenario(site):
            first = await break_stream(*await begin_stream(site, "v1", "zone-b"))
            near = await add_runner(site, "near", "v2")
            await add_runner(site, "far", "v1", "zone-b")
            rest = await site.send(
                "/check/1", gateway=1, attempt_id="a2", resumes="a1", last_event_id=2
            )
            return first.body, rest, near

        first, rest, near = play(scenario, routes=ROUTES, n_gateways=2)
        assert (rest.status, rest.whole) == (200, True)
        assert ids_in(first, rest.body) == [1, 2, 3, 4, 5, 6]
        assert set(versions_in(first, rest.body)) == {"v1"}
        assert not near.ran

    def test_runner_has_restarted_at_another_version_unheard(self, play):
        """Guards against going on at a runner by what a late list says of it."""

        async def scenario(site):
            stream = await begin_stream(site, "v1")
            other = await add_runner(site, "other", "v1")
            await hold_list(site, 0)
            await hold_list(site, 1)
            await restart(site, other, "v2")
            first = await break_stream(*stream)
            rest = await site.send(
                "/check/1", gateway=1, attempt_id="a2", resumes="a1", last_event_id=2
            )
            return first, rest, other

        first, rest, other = play(scenario, routes=ROUTES, n_gateways=2)
        assert set(versions_in(first.body)) == {"v1"}
        assert (rest.status, other.ran) == (503, [])

    def test_version_without_a_name_is_a_version(self, play):
        """Guards against an empty version that is taken for any version."""

        async def scenario(site):
            first = await break_stream(*await begin_stream(site, "", "zone-b"))
            near = await add_runner(site, "near", "v2")
            await add_runner(site, "far", "", "zone-b")
            rest = await site.send(
                "/check/1", gateway=1, attempt_id="a2", resumes="a1", last_event_id=2
            )
            return first.body, rest, near

        first, rest, near = play(scenario, routes=ROUTES, n_gateways=2)
        assert ids_in(first, rest.body) == [1, 2, 3, 4, 5, 6]
        assert not near.ran

    def test_stream_of_a_version_that_is_gone_is_refused(self, play):
        """Guards against another version where none of the first is left."""

        async def scenario(site):
            await break_stream(*await begin_stream(site, "v1"))
            site.store.rows.remove("servers", "begins")
            other = await add_runner(site, "other", "v2")
            await until(lambda: "begins" not in site.gateways[1].beliefs.targets)
            rest = await site.send(
                "/check/1", gateway=1, attempt_id="a2", resumes="a1", last_event_id=2
            )
            return rest, other

        rest, other = play(scenario, routes=ROUTES, n_gateways=2)
        assert (rest.status, other.ran) == (503, [])
        assert "retry-after" in rest.fields

    def test_stream_that_no_host_knows_is_refused(self, play):
        """Guards against a guess where two versions serve."""

        async def scenario(site):
            runners = [
                await add_runner(site, "old", "v1"),
                await add_runner(site, "new", "v2"),
            ]
            rest = await site.send(
                "/check/1", attempt_id="a2", resumes="never", last_event_id=2
            )
            return rest, [request for runner in runners for request in runner.ran]

        rest, ran = play(scenario, routes=ROUTES)
        assert (rest.status, ran) == (503, [])

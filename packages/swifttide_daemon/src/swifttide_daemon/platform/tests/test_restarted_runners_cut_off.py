"""Streams taken up at a host that hears nothing of a runner's restart."""

import asyncio

from swifttide_daemon.platform.tests.test_streams_of_one_version import (
    ROUTES,
    add_runner,
    begin_stream,
    break_stream,
    hold_list,
    restart,
    versions_in,
)


class TestHostWithoutTheStore:
    def test_runner_restarted_and_the_list_cannot_be_confirmed(self, play):
        """Guards against going on at a runner whose version nobody can confirm."""

        async def scenario(site):
            stream = await begin_stream(site, "v1")
            other = await add_runner(site, "other", "v1")
            await hold_list(site)
            watch = site.gateways[0]._feeds.targets

            async def silent():
                await asyncio.sleep(60.0)

            watch.refresh = silent
            await restart(site, other, "v2")
            return await break_stream(*stream), other

        answer, other = play(scenario, routes=ROUTES)
        assert set(versions_in(answer.body)) == {"v1"}
        assert not other.ran

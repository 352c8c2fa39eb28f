"""Streams that begin at a host whose list of targets is late."""

import asyncio

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.test_streams_of_one_version import (
    N_EVENTS,
    ROUTES,
    add_runner,
    hold_list,
    restart,
    versions_in,
)


class TestBeginsAtALateHost:
    def test_runner_restarted_unheard_before_the_stream_began(self, play):
        """Guards against a record that names the version before a restart."""

        async def scenario(site):
            runner = await add_runner(site, "begins", "v1")
            await hold_list(site)
            await restart(site, runner, "v2")
            runner.script = runner.events(N_EVENTS, stamped=True, hold_after=2)
            refused = await site.send("/check/1", attempt_id="a0")
            assert (refused.status, runner.ran) == (503, [])
            sending = asyncio.create_task(
                site.send("/check/1", attempt_id="a1", deadline_ms="8000")
            )
            await until(lambda: runner.ran)
            other = await site.add_runner("other", "engines", "zone-a", "v1")
            other.script = other.events(N_EVENTS, stamped=True)
            await until(lambda: "other" in site.gateways[1].beliefs.targets)
            await asyncio.sleep(0.3)
            await runner.server.stop()
            first = await sending
            rest = None
            if not first.whole:
                rest = await site.send(
                    "/check/1",
                    gateway=1,
                    attempt_id="a2",
                    resumes="a1",
                    last_event_id=2,
                )
            return first, rest

        first, rest = play(scenario, routes=ROUTES, n_gateways=2)
        found = versions_in(first.body, *([rest.body] if rest else []))
        assert len(set(found)) == 1, (first, rest)

"""Requests that are read right after a host has stood still, over real sockets."""

import pytest

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import ROUTES, document

STANDSTILL_SECONDS = 6.0


async def stand_still(site, change):
    """Have a gateway miss a change, as if it had stood still meanwhile."""
    gateway = site.gateways[0]
    for watch in (gateway._feeds.targets, gateway._feeds.config):
        watch._pause_seconds = 60.0
    # Ends the polls under way; the next ones come after the pause.
    site.store.rows.put("servers", "other", b"{}")
    site.configure(document(2, ROUTES))
    await until(
        lambda: gateway._feeds.targets._is_pausing and gateway._feeds.config._is_pausing
    )
    change()
    gateway._stalls._ticked_at -= STANDSTILL_SECONDS


class TestAfterAStandstill:
    def test_runner_that_drains_gets_nothing(self, play):
        """Guards against work for a runner that announced its end meanwhile."""

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            await until(lambda: site.gateways[0].beliefs.targets)
            drain = site.store.rows.put
            entry = runner.entry("draining")
            await stand_still(site, lambda: drain("servers", "i-1", entry))
            return await site.send("/lookup/1"), runner

        answer, runner = play(scenario)
        assert (answer.status, runner.ran) == (503, [])

    def test_route_that_was_removed_is_unknown(self, play):
        """Guards against a configuration of before the standstill."""

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            await until(lambda: site.gateways[0].beliefs.targets)
            config = document(3, ROUTES[1:])
            await stand_still(site, lambda: site.configure(config))
            return await site.send("/lookup/1"), runner

        answer, runner = play(scenario)
        assert (answer.status, runner.ran) == (404, [])

    @pytest.mark.parametrize("is_away", [False, True])
    def test_service_goes_on(self, play, is_away):
        """Guards against refusing where nothing has changed, or nobody can tell."""

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"found")
            await until(lambda: site.gateways[0].beliefs.targets)

            def change():
                site.store.refuse = is_away

            await stand_still(site, change)
            return await site.send("/lookup/1")

        answer = play(scenario)
        assert (answer.status, answer.body) == (200, b"found")

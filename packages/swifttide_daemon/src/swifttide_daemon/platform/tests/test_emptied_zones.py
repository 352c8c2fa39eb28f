"""Zones that the operator empties of requests, over real sockets."""

import asyncio

import pytest

from swifttide_daemon.gateway import Unavailable
from swifttide_daemon.platform import emptied_zone
from swifttide_daemon.platform._store_client import READ_SECONDS
from swifttide_daemon.platform.tests._waiting import until

A_ZONE = "evacuate/zone-a"
B_ZONE = "evacuate/zone-b"


async def two_zones(site):
    """Start a runner in each of two zones; return both."""
    runners = [
        await site.add_runner("i-1", "app", "zone-a"),
        await site.add_runner("i-2", "app", "zone-b"),
    ]
    for runner in runners:
        runner.script = runner.body(b"x")
    await until(lambda: len(site.gateways[-1].beliefs.targets) == 2)
    return runners


def empty(site, key=A_ZONE, value=b"{}"):
    site.store.rows.put("op", key, value)


def leave_polls_unanswered(client):
    """Let a store's client poll in vain: the store takes a poll and says nothing."""

    async def poll_in_vain(table, after, wait_seconds):
        await asyncio.sleep(wait_seconds + READ_SECONDS)
        return Unavailable("no answer: TimeoutError")

    client.changes = poll_in_vain


def refuse_calls(client):
    """Let a store's client get 503 for each call."""

    async def refuse(*args):
        return Unavailable("status 503")

    client.changes = client.read = client.commit = refuse


async def wait_for_next_poll(store, table):
    """Wait until a store's client polls a table again, after any poll under way."""
    polled = set()
    changes = store.changes

    async def record(table, *args):
        polled.add(table)
        return await changes(table, *args)

    store.changes = record
    await until(lambda: table in polled)


async def emptied(site, *zones, gateway=0):
    beliefs = site.gateways[gateway].beliefs
    await until(lambda: beliefs.emptied_zones == set(zones))


class TestEmptiedZone:
    def test_gets_nothing_until_it_is_taken_back(self, play):
        """Guards against requests to the targets of a zone that is emptied."""

        async def scenario(site):
            first, second = await two_zones(site)
            empty(site)
            await emptied(site, "zone-a")
            for i in range(6):
                await site.send("/lookup/1", attempt_id=f"l{i}")
            while_emptied = len(first.ran), len(second.ran)
            site.store.rows.remove("op", A_ZONE)
            await emptied(site)
            for i in range(6):
                await site.send("/lookup/1", attempt_id=f"m{i}")
            return while_emptied, len(first.ran)

        while_emptied, n_after = play(scenario)
        assert while_emptied == (0, 6)
        assert n_after > 0

    def test_row_that_can_not_be_read_empties_the_zone_all_the_same(self, play):
        """Guards against an emptied zone that is used since its row is odd."""

        async def scenario(site):
            first, _ = await two_zones(site)
            empty(site, value=b"\xff\x00")
            empty(site, key="evacuate/zone-nowhere")
            await emptied(site, "zone-a", "zone-nowhere")
            answer = await site.send("/lookup/1")
            return answer.status, len(first.ran)

        assert play(scenario) == (200, 0)

    def test_all_zones_emptied(self, play):
        """Guards against requests that wait in vain while no zone may be used."""

        async def scenario(site):
            runners = await two_zones(site)
            empty(site)
            empty(site, key=B_ZONE)
            await emptied(site, "zone-a", "zone-b")
            answer = await site.send("/charge/1")
            return answer, sum(len(r.ran) for r in runners)

        answer, n_ran = play(scenario)
        assert (answer.status, answer.body, n_ran) == (503, b"zones_emptied", 0)
        assert float(answer.fields["retry-after"]) > 0.0

    def test_retry_does_not_go_to_the_zone(self, play):
        """Guards against a second try in a zone that was emptied after the first."""

        async def scenario(site):
            runners = await two_zones(site)
            for runner in runners:
                runner.script = lambda request: None
                runner.run_seconds = 0.5
            sending = asyncio.create_task(site.send("/lookup/1"))
            await until(lambda: any(r.ran for r in runners))
            idle = next(r for r in runners if not r.ran)
            empty(site, key=f"evacuate/{idle.zone}")
            await emptied(site, idle.zone)
            await sending
            return len(idle.ran)

        assert play(scenario) == 0

    def test_request_under_way_ends_where_it_is(self, play):
        """Guards against work that is cut off since its zone is emptied."""

        async def scenario(site):
            runner = await site.add_runner("i-1", "app", "zone-a")
            runner.script = runner.body(b"done")
            runner.run_seconds = 0.6
            await until(lambda: site.gateways[0].beliefs.targets)
            sending = asyncio.create_task(site.send("/charge/1"))
            await until(lambda: runner.ran)
            empty(site)
            await emptied(site, "zone-a")
            return await sending

        answer = play(scenario)
        assert (answer.status, answer.body) == (200, b"done")

    def test_history_lost_as_a_zone_is_taken_back(self, play):
        """Guards against a zone that stays empty since its removal wasn't told."""

        async def scenario(site):
            empty(site)
            await emptied(site, "zone-a")
            site.store.rows.rows.pop(("op", "", A_ZONE))
            site.store.rows.version += 1
            site.store.rows.forget_history()
            await emptied(site)

        play(scenario)

    def test_host_that_starts_knows_it_before_it_is_ready(self, play):
        """Guards against a new host that uses an emptied zone for a moment."""

        async def scenario(site):
            first, _ = await two_zones(site)
            empty(site)
            await site.add_gateway()
            known = site.gateways[1].beliefs.emptied_zones
            answer = await site.send("/lookup/1", gateway=1)
            return known, answer.status, len(first.ran)

        assert play(scenario) == ({"zone-a"}, 200, 0)

    @pytest.mark.parametrize("fail", [leave_polls_unanswered, refuse_calls])
    def test_host_without_the_store_learns_it_from_others(self, play, fail):
        """Guards against an emptied zone that a host uses which the store refuses."""

        async def scenario(site):
            store = site.gateways[1]._store
            fail(store._direct)
            await wait_for_next_poll(store, "op")
            empty(site)
            await emptied(site, "zone-a", gateway=1)

        play(scenario, n_gateways=2)


class TestRowKeys:
    def test_only_rows_of_zones_name_a_zone(self):
        assert emptied_zone("evacuate/zone-a") == "zone-a"
        assert emptied_zone("evacuate/") is None
        assert emptied_zone("config") is None

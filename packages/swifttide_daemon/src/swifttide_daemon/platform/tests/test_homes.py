"""Requests that an operator binds to regions, over real sockets."""

from json import dumps

from swifttide_core.forwarding import RegionMap, intersect_regions
from swifttide_daemon.gateway.peers._fleet import FLEET_TABLE
from swifttide_daemon.platform import decode_config
from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import TURN, document, route

REGIONS = RegionMap({"zone-a": "north", "zone-b": "south"})
BOUND = [
    route("lookup", "app", allowed_regions=["south"]),
    route("charge", "app", allowed_regions=["west"]),
    route("draft", "engines", **TURN, allowed_regions=["south"]),
]


async def two_regions(site, service):
    """Start a runner in each of two regions; return both."""
    runners = [
        await site.add_runner("i-1", service, "zone-a"),
        await site.add_runner("i-2", service, "zone-b"),
    ]
    await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
    return runners


class TestHomes:
    def test_request_stays_in_its_regions(self, play):
        """Guards against a request that runs outside the regions of its route."""

        async def scenario(site):
            first, second = await two_regions(site, "app")
            second.script = second.body(b"x")
            for i in range(4):
                await site.send("/lookup/1", attempt_id=f"l{i}")
            return len(first.ran), len(second.ran)

        assert play(scenario, routes=BOUND, regions=REGIONS) == (0, 4)

    def test_turn_stays_in_its_regions(self, play):
        """Guards against an order of turns that forgets regions."""

        async def scenario(site):
            first, second = await two_regions(site, "engines")
            answers = [
                await site.turn(f"t{i}", token_budget=200, token_usage="10,30")
                for i in range(3)
            ]
            return [a.status for a in answers], len(first.ran), len(second.ran)

        statuses, n_first, n_second = play(scenario, routes=BOUND, regions=REGIONS)
        assert (statuses, n_first, n_second) == ([200] * 3, 0, 3)

    def test_regions_without_a_target(self, play):
        """Guards against a wait in vain where no region that is allowed has targets."""

        async def scenario(site):
            runners = await two_regions(site, "app")
            answer = await site.send("/charge/1")
            return answer, sum(len(r.ran) for r in runners)

        answer, n_ran = play(scenario, routes=BOUND, regions=REGIONS)
        assert (answer.status, answer.body, n_ran) == (503, b"no_target_at_home", 0)

    def test_turn_is_stored_through_no_host_outside(self, play):
        """Guards against a turn that a host of another region carries to the store."""

        async def scenario(site):
            await two_regions(site, "engines")
            bound = site.gateways[1]
            relay = site.gateways[0]._peer_service
            carried = []

            async def carry(tx):
                carried.append(tx)
                return await type(bound._store._direct).commit(bound._store._direct, tx)

            relay._direct.commit = carry
            bound._store.direct_up = False
            bound._store._start_probe = lambda outcome: None
            site.store.rows.put("probe", "x", b"")
            # A host's own row says nothing of requests and may pass; it also shows that
            # the relay would carry the turn.
            await bound._fleet.register(bound._store)
            return await bound._turns.save(
                "c", "t1", b"said", 60.0, frozenset({"south"})
            ), carried

        kept, carried = play(
            scenario,
            routes=BOUND,
            regions=REGIONS,
            n_gateways=2,
            zones=("zone-a", "zone-b"),
        )
        assert not kept
        assert {put.key.table for tx in carried for put in tx.puts} == {FLEET_TABLE}


class TestCommonHomes:
    def test_all_bounds_bind(self):
        assert intersect_regions(frozenset(), frozenset()) is None
        assert intersect_regions(frozenset({"n"}), frozenset()) == {"n"}
        assert intersect_regions(frozenset({"n", "s"}), frozenset({"s"})) == {"s"}
        assert intersect_regions(frozenset({"n"}), frozenset({"s"})) == set()

    def test_zone_that_is_not_known_is_no_home(self):
        assert REGIONS.allows("zone-x", None)
        assert not REGIONS.allows("zone-x", frozenset({"north"}))


class TestDocument:
    def test_customers_are_bound_too(self):
        """Guards against regions of a customer that are not read."""
        tenant = {"name": "c", "api_keys": ["k"], "allowed_regions": ["north"]}
        cfg = decode_config(dumps(document(1, BOUND, tenants=[tenant])).encode())
        assert cfg.customer("c").regions == {"north"}
        assert cfg.routes[0].regions == {"south"}

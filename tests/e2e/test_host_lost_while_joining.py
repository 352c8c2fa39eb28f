"""Hosts that are lost between their registration and their first decision."""

from uuid import uuid4

import pytest

from swifttide_daemon.membership import HOSTS, ZONE_HEADS
from tests.e2e._world import Story

ZONE = "za"
LOST_HOST = "za-lost"


def register_lost_host(world):
    """Write the lease row of a host that is lost before it has read its zone."""
    url = world.fleet.platform.url
    key = f"{ZONE}/{LOST_HOST}"
    row = {
        "host": LOST_HOST,
        "zone": ZONE,
        "incarnation": uuid4().hex,
        "caller_url": "http://127.0.0.1:9",
        "peer_url": "http://127.0.0.1:9",
        "knows_head": 0,
    }
    tx = {
        "id": uuid4().hex,
        "checks": [{"table": HOSTS, "key": key, "version": 0}],
        "writes": [
            {"table": HOSTS, "key": key, "value": row},
            {"table": ZONE_HEADS, "key": ZONE, "value": {"by": LOST_HOST}},
        ],
    }
    world.fleet.call("POST", f"{url}/v1/transactions", json=tx)


def holders(world):
    """Return the hosts named by the slot rows of the zone, by key."""
    rows = world.slot_rows()
    return {r["key"]: r["value"]["host"] for r in rows if r["key"].startswith(ZONE)}


@pytest.fixture
def world(start_world):
    world = start_world(zones=(ZONE,))
    world.until(world.slots_rest)
    return world


class TestHostLostWhileJoining:
    def test_its_slots_stay_with_their_holders(self, world):
        """Guards against slots that are released to a host which is lost before it can
        claim them. It isn't deposed for an hour, as it knew no other host.
        """
        stories = [Story(world, f"p-{i}") for i in range(8)]
        for story in stories:
            story.say("za-h0", "before")
        before = holders(world)
        register_lost_host(world)
        world.until(world.slots_rest)
        for story in stories:
            story.say("za-h1", "after")
        assert holders(world) == before

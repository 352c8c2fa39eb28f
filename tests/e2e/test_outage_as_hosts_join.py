"""The platform goes away after slots have moved to hosts that have just joined."""

import pytest

from swifttide_core.slots import SlotKind, preferred_host, slot_of
from swifttide_standins.launcher import hash_key
from tests.e2e._world import PROFILE, profile

JOINING = [("za-new1", "za"), ("zb-new1", "zb")]


def name_of_moving_customer(plan):
    """Return a customer whose slots move to the joining host of each zone.

    In zone za, the slot moves from za-h0.
    """
    slots = {slot for slot in range(plan.n_slots) if moves_in_both_zones(slot)}
    names = (f"moving-{i}" for i in range(100 * plan.n_slots))
    return next(
        name
        for name in names
        if slot_of(SlotKind.CUSTOMER, name, plan.n_slots) in slots
    )


def moves_in_both_zones(slot):
    before = {zone: [f"{zone}-h0", f"{zone}-h1"] for _, zone in JOINING}
    return preferred_host(slot, before["za"]) == "za-h0" and all(
        preferred_host(slot, [*before[zone], new]) == new for new, zone in JOINING
    )


class Caller:
    """Sends calls for a customer whose slots move as hosts join."""

    def __init__(self, world):
        self.world = world
        self.name = name_of_moving_customer(world.fleet.plan)
        put = world.fleet.operator.put
        document = {"name": self.name, "rate_per_second": 1000, "burst": 1000}
        put("customer", self.name, document)
        key = {"key_hash": hash_key(self.name), "customer": self.name}
        put("key", hash_key(self.name), {**key, "withdrawn": False})
        put("profile", PROFILE, {**profile(), "customers": []})
        for host in world.hosts:
            world.until(lambda host=host: self.call(host).status == 200)

    def call(self, host):
        headers = {"Authorization": f"Bearer {self.name}"}
        return self.world.chat(host, None, None, "hello", **headers)


@pytest.fixture
def world(start_world):
    world = start_world()
    world.until(world.slots_rest)
    return world


@pytest.fixture
def caller(world):
    return Caller(world)


class TestOutageAsHostsJoin:
    def test_host_with_an_older_view_asks_the_new_holder(self, world, caller):
        """Guards against refusals at a host that read the zones before slots moved,
        and can't read them again until the platform is back.
        """
        world.fault_platform("down", peer="za-h1")
        world.fleet.start_hosts(JOINING)
        world.until(world.slots_rest)
        for host in ("za-h0", "zb-h0"):
            assert caller.call(host).status == 200
        world.fault_platform("down")
        for _ in range(3):
            assert caller.call("za-h1").status == 200

    def test_host_without_configuration_does_not_deny_keys(self, world):
        """Guards against granted keys that are denied by a host that has started
        without the platform and knows no key.
        """
        world.fault_platform("down")
        world.fleet.start_hosts(JOINING[:1])
        answer = world.chat("za-new1", None, None, "hello")
        assert (answer.status, answer.verdict) in ((200, ""), (503, "not_run"))
        assert answer.status == 200 or answer.retry_after

    def test_new_holder_counts_the_rate(self, world, caller):
        """Guards against refusals by a host that claimed the slot of a customer and
        has read none of the customer's rows when the platform goes away.
        """
        world.fleet.start_hosts(JOINING)
        world.until(world.slots_rest)
        world.fault_platform("down")
        for host in ("za-h0", "zb-h1"):
            assert caller.call(host).status == 200

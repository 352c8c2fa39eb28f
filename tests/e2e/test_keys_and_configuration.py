"""Withdrawn keys and racing operators, at every host."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from swifttide_standins.launcher import hash_key
from tests.e2e._world import CUSTOMER, PROFILE, profile

SECOND_KEY = "club-second-key"
OPERATOR_KEY = "operator-of-the-test-fleet"


@pytest.fixture(scope="module")
def shared(start_shared_world):
    return start_shared_world()


@pytest.fixture
def world(shared):
    shared.grant(SECOND_KEY)
    shared.until(lambda: statuses(shared) == {200})
    yield shared
    shared.heal()


def statuses(world):
    bearer = {"Authorization": f"Bearer {SECOND_KEY}"}
    return {world.chat(h, None, None, "hi", **bearer).status for h in world.hosts}


def put_profile(world, host, base_version, **changes):
    """Edit the profile at a host and return the status and the body."""
    url = f"{world.fleet.hosts[host].url}/v1/operator/documents/profile/{PROFILE}"
    body = {"document": {**profile(), **changes}, "base_version": base_version}
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    got = urllib3.request("PUT", url, json=body, headers=headers, timeout=20)
    return got.status, json.loads(got.data)


def in_force(world, kind, name, member):
    """Return what the hosts show operators of one member of a document."""
    values = set()
    for host in world.hosts:
        url = f"{world.fleet.hosts[host].url}/v1/operator/documents/{kind}/{name}"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        got = urllib3.request("GET", url, headers=headers, timeout=20)
        # A host that hasn't learned of the document yet has none to show.
        values.add(json.loads(got.data).get("document", {}).get(member))
    return values


def withdrawn(world):
    return in_force(world, "key", hash_key(SECOND_KEY), "withdrawn")


class TestKeys:
    def test_withdrawn_key_stops_everywhere(self, world):
        """An operator withdraws a key whose callers are still connected. One host that
        hasn't heard of it would go on serving a customer that was shut out.
        """
        world.grant(SECOND_KEY, withdrawn=True)
        # A host that hasn't heard of it answers 401 too, where another one refuses.
        world.until(lambda: withdrawn(world) == {True})
        for _ in range(10):
            assert statuses(world) <= {401, 403}
            assert withdrawn(world) == {True}

    def test_withdrawn_key_stops_a_stream(self, world):
        """The key is withdrawn while its caller reads a long answer."""
        world.fault_engines("slow", word_seconds=1.0)
        bearer = {"Authorization": f"Bearer {SECOND_KEY}"}
        with ThreadPoolExecutor() as pool:
            call = pool.submit(world.chat, "za-h0", None, None, "long", 60, **bearer)
            world.until(lambda: running_streams(world) > 0)
            world.grant(SECOND_KEY, withdrawn=True)
            assert call.result().status != 200

    def test_old_state_of_the_store_revives_no_key(self, world):
        """One host reads the configuration from a copy that stands still. It must learn
        of the withdrawal from other hosts, and nobody may take the copy for news.
        """
        world.fault_platform("stale_reads", peer="za-h0")
        world.grant(SECOND_KEY, withdrawn=True)
        world.until(lambda: withdrawn(world) == {True})
        for _ in range(10):
            assert statuses(world) <= {401, 403}
            assert withdrawn(world) == {True}

    def test_no_target_sees_a_key(self, world):
        """A target that logs its headers must not end up with customers' keys."""
        world.pay("za-h0", "k1")
        seen = json.dumps(world.fleet.counters(world.fleet.services["billing"]))
        assert "x-request-id" in seen.lower()
        assert "club-key" not in seen
        assert hash_key("club-key") not in seen


class TestConfiguration:
    def test_operators_race(self, world):
        """Two operators open the same profile, and each saves a limit. If both were
        told "accepted", one would believe in a limit that isn't in force.
        """
        version = put_profile(world, "za-h0", None, max_turns=50)[1]["version"]
        limits = range(1, 9)
        with ThreadPoolExecutor(8) as pool:
            edits = [
                pool.submit(
                    put_profile, world, world.hosts[i % 4], version, max_turns=i
                )
                for i in limits
            ]
            results = [edit.result() for edit in edits]
        won = [
            i for i, (status, _) in zip(limits, results, strict=True) if status < 300
        ]
        lost = [body for status, body in results if status == 409]
        assert len(won) == 1
        assert len(lost) == len(results) - 1
        assert all(str(version) in json.dumps(body) for body in lost)
        world.until(
            lambda: in_force(world, "profile", PROFILE, "max_turns") == set(won)
        )
        for _ in range(5):
            assert in_force(world, "profile", PROFILE, "max_turns") == set(won)

    def test_operators_race_on_a_key(self, world):
        """One operator withdraws a key while another grants it anew from the version
        that both saw. If both were told "accepted", a key that is believed to be
        withdrawn would go on working.
        """
        name = hash_key("contested")
        grant = {"key_hash": name, "customer": CUSTOMER}
        version = put_key(world, "za-h0", name, 0, grant)[1]["version"]
        hosts = world.hosts
        edits = [{**grant, "withdrawn": i % 2 == 0} for i in range(8)]
        with ThreadPoolExecutor(8) as pool:
            answers = list(
                pool.map(
                    lambda i: put_key(world, hosts[i % 4], name, version, edits[i]),
                    range(8),
                )
            )
        won = [i for i, (status, _) in enumerate(answers) if status < 300]
        assert len(won) == 1
        assert [status for status, _ in answers].count(409) == 7
        wanted = {edits[won[0]]["withdrawn"]}
        world.until(lambda: in_force(world, "key", name, "withdrawn") == wanted)


def put_key(world, host, name, base_version, document):
    """Edit a key at a host and return the status and the body."""
    url = f"{world.fleet.hosts[host].url}/v1/operator/documents/key/{name}"
    body = {"document": document, "base_version": base_version}
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    got = urllib3.request("PUT", url, json=body, headers=headers, timeout=20)
    return got.status, json.loads(got.data)


def running_streams(world):
    engines = world.fleet.engines.values()
    urls = [f"{engine.url}/v1/load" for engine in engines]
    return sum(world.fleet.call("GET", url).json()["running"] for url in urls)

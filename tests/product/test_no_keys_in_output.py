"""No output of a run holds a key.

Keys come in with every request. One that reaches a log, a trace, a metric, a row or a
target is known to whoever reads those, and stays there after it was withdrawn.
"""

import base64
import json
from urllib.parse import quote

import pytest

TABLES = (
    "hosts",
    "slots",
    "config",
    "config_docs",
    "config_log",
    "programs",
    "intents",
    "shares",
    "releases",
)
OPERATOR_KEY = "operator-of-the-test-fleet"


def forms(key):
    """Return the ways in which a key may be written."""
    raw = key.encode()
    return [raw, base64.b64encode(raw).rstrip(b"=")[:-1], raw.hex().encode()]


def outputs(site):
    """Yield the name and bytes of everything that a run leaves behind."""
    for path in site.directory.iterdir():
        if path.name != "deployment-secret":
            yield path.name, path.read_bytes()
    fleet = site.fleet
    for host in fleet.hosts.values():
        yield f"metrics of {host.name}", get(site, f"{host.url}/metrics")
    for member in (*fleet.engines.values(), *fleet.services.values()):
        yield f"counters of {member.name}", get(site, f"{member.url}/counters")
    for table in TABLES:
        rows = get(site, f"{fleet.platform.url}/v1/rows/{table}?limit=10000")
        yield f"table {table}", rows
        for row in json.loads(rows)["rows"]:
            for name in (row["value"] or {}).get("chunks", ()):
                url = f"{fleet.platform.url}/v1/objects/{quote(name, safe='')}"
                yield f"object {name}", get(site, url)


def get(site, url):
    return site.pool.request("GET", url, timeout=10).data


@pytest.fixture(scope="module")
def used_keys(site):
    """Send requests of every kind, good and bad, and return the keys."""
    key, withdrawn = site.customer("kennel"), site.customer("gone")
    for i in range(2):
        turn = {"Swifttide-Program": "agent", "Swifttide-Turn": str(i + 1)}
        assert site.chat(key, host=i, **turn).status == 200
    profile = {"Swifttide-Profile": "assistant"}
    message = {"role": "user", "content": "x"}
    body = {"messages": [message], "stream": True, "max_tokens": 5}
    stream = json.dumps(body).encode()
    assert site.post("/v1/chat/completions", stream, key, **profile).status == 200
    once = {**profile, "Idempotency-Key": "order-1"}
    for _ in range(2):
        answer = site.post("/v1/services/fees/charge", b"{}", key, **once)
        assert answer.status < 300, answer.data
    assert site.post("/v1/services/fees/quote", b"{}", key, **profile).status < 300
    for headers in (
        {"Swifttide-Program": key},
        {"Idempotency-Key": key},
        {"X-Api-Key": key},
        {"Cookie": f"key={key}"},
    ):
        assert site.chat(key, **headers).status == 400
    assert site.chat(key, text=f"my key is {key}").status == 400
    assert site.post(f"/v1/services/fees/{key}", b"{}", key, **profile).status == 400
    assert site.post(f"/v1/none/{key}", b"{}", key).status == 404
    assert site.chat(key, **{"Swifttide-Profile": "none"}).status == 404
    assert site.post("/v1/chat/completions", b"{", key, **profile).status == 400
    hashes = json.loads(site.command("key", "list", "--json"))
    name = next(h["name"] for h in hashes if h["document"]["customer"] == "gone")
    site.command("key", "withdraw", name, "--wait")
    assert site.chat(withdrawn).status == 401
    assert site.chat("st-never-granted-0123456789").status == 401
    return [key, withdrawn, "st-never-granted-0123456789", OPERATOR_KEY]


class TestNoKeysInOutput:
    def test_no_output_holds_a_key(self, site, used_keys):
        secret = (site.directory / "deployment-secret").read_text()
        wanted = [form for key in [*used_keys, secret] for form in forms(key)]
        found = [
            (name, form)
            for name, data in outputs(site)
            for form in wanted
            if form in data
        ]
        assert found == []

    def test_the_search_sees_the_run(self, site, used_keys):
        """A search that looks in the wrong places finds nothing either."""
        joined = b"".join(data for _, data in outputs(site))
        for trace in (b"order-1", b"kennel", b"slot_holder", b"swifttide_admitted"):
            assert trace in joined

    def test_no_credentials_reach_a_target(self, site, used_keys):
        fleet = site.fleet
        for member in (*fleet.engines.values(), *fleet.services.values()):
            text = json.dumps(fleet.counters(member)).lower()
            for name in ("authorization", "cookie", "x-api-key", "x-peer-proof"):
                assert name not in text

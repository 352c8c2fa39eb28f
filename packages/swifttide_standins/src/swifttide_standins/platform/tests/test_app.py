"""The platform over HTTP."""

import pytest
import urllib3

from swifttide_standins.platform import platform_app
from swifttide_standins.web import running


@pytest.fixture
def call():
    with running(platform_app()) as platform, urllib3.PoolManager() as pool:
        yield lambda method, path, **kw: pool.request(
            method, platform.url + path, timeout=5, retries=False, **kw
        )


def txn(txn_id, table, key, value):
    write = {"table": table, "key": key, "value": value}
    return {"id": txn_id, "checks": [], "writes": [write]}


class TestCalls:
    def test_quoted_key(self, call):
        call("POST", "/v1/transactions", json=txn("1", "t", "a/b%2F c", {"n": 1}))
        row = call("GET", "/v1/rows/t/a%2Fb%252F%20c").json()
        assert row["key"] == "a/b%2F c"
        assert row["value"] == {"n": 1}
        assert call("GET", "/v1/rows/t?prefix=a/").json()["rows"] == [row]

    def test_object_round_trip(self, call):
        body = bytes(range(256))
        assert call("PUT", "/v1/objects/a%2Fb", body=body).status == 201
        assert call("GET", "/v1/objects/a%2Fb").data == body
        assert call("DELETE", "/v1/objects/a%2Fb").status == 204
        assert call("GET", "/v1/objects/a%2Fb").status == 404

    @pytest.mark.parametrize(
        ("method", "path", "body", "status"),
        [
            ("POST", "/v1/transactions", b"{", 400),
            ("POST", "/v1/transactions", b'{"id":1}', 400),
            ("POST", "/v1/transactions", b'{"id":"a","writes":[{}]}', 400),
            ("POST", "/faults", b'{"mode":"odd"}', 400),
            ("GET", "/v1/rows/t?limit=x", b"", 400),
            ("DELETE", "/v1/rows/t", b"", 405),
            ("GET", "/elsewhere", b"", 404),
        ],
    )
    def test_bad_input(self, call, method, path, body, status):
        answer = call(method, path, body=body)
        assert answer.status == status
        assert answer.json()["detail"]


class TestFaults:
    def test_lost_answer(self, call):
        """The platform writes and its answer gets lost. Whoever sends the same
        transaction again, or asks for its id, learns that it took effect.
        """
        call("POST", "/faults", json={"mode": "lost_answer"})
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call("POST", "/v1/transactions", json=txn("1", "t", "k", {"n": 1}))
        call("POST", "/faults", json={"mode": "none"})
        assert call("GET", "/v1/transactions/1").json()["committed"]
        assert call("GET", "/v1/rows/t/k").status == 200

    def test_down_for_one_zone(self, call):
        call("POST", "/faults", json={"mode": "down", "zone": "za"})
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call("GET", "/v1/rows/t", headers={"X-Zone": "za"})
        assert call("GET", "/v1/rows/t", headers={"X-Zone": "zb"}).status == 200

    def test_stale_reads_of_configuration(self, call):
        """The store answers from an old copy: configuration reads go back in time,
        other tables don't.
        """
        call("POST", "/v1/transactions", json=txn("1", "config", "head", {"n": 1}))
        call("POST", "/faults", json={"mode": "stale_reads"})
        call("POST", "/v1/transactions", json=txn("2", "config", "head", {"n": 2}))
        call("POST", "/v1/transactions", json=txn("3", "t", "k", {"n": 2}))
        assert call("GET", "/v1/rows/config/head").json()["value"] == {"n": 1}
        assert call("GET", "/v1/rows/t/k").json()["value"] == {"n": 2}
        call("POST", "/faults", json={"mode": "none"})
        assert call("GET", "/v1/rows/config/head").json()["value"] == {"n": 2}

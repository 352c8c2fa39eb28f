"""What operators and runners write."""

import json

import pytest

from swifttide_core.forwarding import RequestKind
from swifttide_daemon.platform import decode_config, decode_target

ROUTE = {
    "name": "r1",
    "host": "Shop.Example",
    "prefix": "/a/",
    "type": "streaming",
    "timeout_ms": 4000,
    "latency_target_ms": 200,
    "priority": 1,
    "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "max_attempts": 1,
    "retained": True,
    "retention_s": 60.0,
    "resumable": False,
    "later_field": 1,
}
ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "capacity": 12,
    "state": "ready",
    "born": 17,
}


def config(**more):
    return json.dumps({"version": 7, "routes": [ROUTE]} | more).encode()


class TestConfig:
    def test_fields(self):
        cfg = decode_config(
            config(
                services=[{"name": "s1", "runtime": {"chunk_tokens": 11}}],
                tenants=[{"name": "c1", "api_keys": ["k"], "rate_per_s": 5}],
                limits={"idle_timeout_ms": 1500},
            )
        )
        (route,) = cfg.routes
        assert (cfg.version, route.host, route.kind) == (
            7,
            "shop.example",
            RequestKind.STREAMING,
        )
        assert [(s.service, s.weight) for s in route.services] == [
            ("s1", 90.0),
            ("s2", 10.0),
        ]
        assert (route.timeout_seconds, route.keep_seconds) == (4.0, 60.0)
        assert cfg.service("s1").tokens_per_event == 11
        assert cfg.customer_of("k").rate_per_second == 5.0
        assert cfg.limits.idle_seconds == 1.5
        assert cfg.limits.max_body_bytes > 0

    @pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"routes": 3}', b"{}"])
    def test_unreadable(self, value):
        with pytest.raises(ValueError, match=r"."):
            decode_config(value)

    def test_missing_field_is_named(self):
        with pytest.raises(ValueError, match="prefix"):
            decode_config(config(routes=[{"name": "r", "host": "h", "service": "s"}]))


class TestTarget:
    def test_fields(self):
        found = decode_target("i-1", json.dumps(ENTRY).encode())
        assert (found.ip, found.port, found.started_ms) == ("10.0.0.9", 8080, 17)
        assert found.software_version == "v1"
        assert not found.draining

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "odd"},
            {"address": "nowhere"},
            {"address": "10.0.0.9:99999"},
            {"capacity": "12"},
            {"capacity": 0},
            {"capacity": True},
            {"zone": None},
            {"version": 7},
            {"version": None},
        ],
    )
    def test_foreign_entry_names_no_target(self, change):
        with pytest.raises(ValueError, match=r"got .+"):
            decode_target("i-1", json.dumps(ENTRY | change).encode())

    def test_bytes_that_cannot_be_read(self):
        with pytest.raises(ValueError, match="got unreadable JSON"):
            decode_target("i-1", b"\xff\xfe")

"""Rows and settings of other writers: usable, or a typed error, whatever they hold."""

import asyncio
import json

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from swifttide_core.forwarding import check_routing_config, check_target_entry
from swifttide_daemon.gateway.budgets._account_rows import decode_account
from swifttide_daemon.gateway.peers._host_row import decode_host
from swifttide_daemon.platform import (
    SettingsError,
    decode_config,
    decode_target,
    read_settings,
)
from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.test_documents import ENTRY, config

DEEP = b"[" * 2000
DEEP_MEMBER = b'{"other": ' + DEEP + b"]" * 2000 + b"}"
MANY_DIGITS = int("9" * 400)

repeatable = settings(derandomize=True, deadline=None)

numbers = st.integers() | st.floats() | st.just(MANY_DIGITS) | st.just(-MANY_DIGITS)
documents = st.recursive(
    st.none() | st.booleans() | numbers | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=12,
)

UNUSABLE_ENTRIES = {
    "deep": DEEP,
    "deep_member": DEEP_MEMBER,
    "no_json": b"\xff\xfe",
    "no_object": b"[]",
    "superscript_port": ENTRY | {"address": "127.0.0.1:8²"},
    "huge_port": ENTRY | {"address": "127.0.0.1:" + "9" * 5000},
    "port_zero": ENTRY | {"address": "127.0.0.1:0"},
    "own_address": ENTRY | {"address": "0.0.0.0:80"},
    "numeric_name": ENTRY | {"address": "1:80"},
    "no_address": ENTRY | {"address": ":80"},
    "nul_in_name": ENTRY | {"address": "runner\0.example:80"},
    "long_label": ENTRY | {"address": "a" * 64 + ".example:80"},
    "empty_label": ENTRY | {"address": "runner..example:80"},
    "long_name": ENTRY | {"address": "runner." * 60 + "example:80"},
    "huge_capacity": ENTRY | {"capacity": MANY_DIGITS},
    "negative_capacity": ENTRY | {"capacity": -1},
    "huge_start": ENTRY | {"born": MANY_DIGITS},
    "long_zone": ENTRY | {"zone": "z" * 10_000},
}


def encode(document):
    """Return an entry as bytes; bytes stay as they are."""
    return document if isinstance(document, bytes) else json.dumps(document).encode()


def one_of(fields):
    """Return a strategy of documents in which some members have other values."""
    changes = st.dictionaries(st.sampled_from(sorted(fields)), documents, max_size=3)
    return changes.map(lambda change: json.dumps(fields | change).encode())


class TestTargetDecoder:
    @pytest.mark.parametrize("name", UNUSABLE_ENTRIES)
    def test_unusable_entry_is_an_error_with_a_reason(self, name):
        """Guards against an entry that ends the task which reads the table."""
        with pytest.raises(ValueError, match=r"got .+"):
            decode_target("i-1", encode(UNUSABLE_ENTRIES[name]))

    @pytest.mark.parametrize("id", ["", "a\nb", "a\r\nX: y", " a", "a\0", "x" * 201])
    def test_id_that_no_header_field_can_hold(self, id):
        """Guards against requests that fail because their target's id isn't sent."""
        with pytest.raises(ValueError, match=r"id: got"):
            decode_target(id, encode(ENTRY))

    @pytest.mark.parametrize("left", [MANY_DIGITS, -1, "soon", True, 1e300])
    def test_time_that_cannot_be_read_is_unknown(self, left):
        entry = decode_target("i-1", encode(ENTRY | {"cold_left_ms": left}))
        assert entry.cold_seconds is None

    @pytest.mark.parametrize("address", ["10.0.0.9:1", "runner-1.example:65535"])
    def test_literal_and_name_are_usable(self, address):
        entry = decode_target("i-1", encode(ENTRY | {"address": address}))
        assert f"{entry.ip}:{entry.port}" == address

    @repeatable
    @given(st.text(max_size=20), st.binary() | one_of(ENTRY | {"cold_left_ms": 0}))
    @example("i-1", DEEP)
    def test_any_entry_is_usable_or_an_error(self, id, value):
        try:
            entry = decode_target(id, value)
        except ValueError:
            return
        assert not check_target_entry(entry)


class TestConfigDecoder:
    @repeatable
    @given(st.binary() | documents.map(json.dumps).map(str.encode))
    @example(DEEP)
    @example(config(routes=[{"timeout_ms": MANY_DIGITS}]))
    def test_any_bytes(self, value):
        try:
            cfg = decode_config(value)
        except ValueError:
            return
        assert not check_routing_config(cfg)

    @pytest.mark.parametrize("value", [MANY_DIGITS, -1, "9" * 400])
    @pytest.mark.parametrize(
        ("table", "name"),
        [
            ("routes", "timeout_ms"),
            ("routes", "max_attempts"),
            ("services", "max_conns"),
            ("tenants", "rate_per_s"),
            ("tenants", "burst"),
        ],
    )
    def test_number_out_of_range(self, table, name, value):
        """Guards against a configuration that fails where its numbers are used."""
        route = {
            "name": "r",
            "host": "h",
            "prefix": "/r/",
            "type": "idempotent",
            "service": "s",
        }
        rows = {"routes": route, "services": {"name": "s"}, "tenants": {"name": "c"}}
        document = {t: [row] for t, row in rows.items()} | {"version": 1}
        assert decode_config(json.dumps(document).encode()).version == 1
        document[table][0][name] = value
        with pytest.raises(ValueError, match=r"."):
            decode_config(json.dumps(document).encode())

    @pytest.mark.parametrize("name", [7, "a\r\nX: y", ""])
    def test_customer_that_no_header_field_can_hold(self, name):
        with pytest.raises(ValueError, match=r"name"):
            decode_config(config(tenants=[{"name": name}]))


class TestOwnRows:
    HOST = {"ip": "10.0.0.1", "port": 7, "zone": "a", "boot": "b", "cores": 1.0}
    ACCOUNT = {"budget": 10, "granted": 0, "holders": ["h"], "held": 2}

    @repeatable
    @given(st.binary() | one_of(HOST))
    @example(DEEP)
    @example(encode(HOST | {"cores": MANY_DIGITS}))
    @example(encode(HOST | {"ip": "nowhere\0"}))
    def test_any_host_row(self, value):
        try:
            host = decode_host(value)
        except ValueError:
            return
        assert 0 < host.port <= 65_535

    @repeatable
    @given(st.binary() | one_of(ACCOUNT))
    @example(DEEP)
    def test_any_account_row(self, value):
        try:
            account, _ = decode_account(value)
        except ValueError:
            return
        assert 0 <= account.granted <= 2**53


class TestSettings:
    @pytest.mark.parametrize(
        "text",
        [
            "x = " + "[" * 5000,
            "x = " + "9" * 5000,
            'listen.frontend = "127.0.0.1:8²"',
            'listen.frontend = "127.0.0.1:99999"',
            'listen.frontend = "a b:80"',
        ],
    )
    def test_unusable_settings_are_an_error(self, tmp_path, text):
        """Guards against a settings file that ends the process while it is changed."""
        path = tmp_path / "local.toml"
        path.write_text(text)
        with pytest.raises(SettingsError, match="got"):
            read_settings(path)

    @given(text=st.text())
    @settings(repeatable, suppress_health_check=[HealthCheck.function_scoped_fixture])
    def test_any_text(self, tmp_path, text):
        path = tmp_path / "local.toml"
        path.write_text(text, encoding="utf-8")
        with pytest.raises(SettingsError):
            read_settings(path)


class TestForeignEntriesBesideSoundOnes:
    def test_requests_are_served_whatever_stands_beside_their_targets(self, play):
        """Guards against a foreign entry that ends all hosts or fails requests."""
        n_requests = 60

        async def scenario(site):
            gateway = site.gateways[0]
            for n in range(2):
                runner = await site.add_runner(f"i-{n}", "app")
                runner.script = runner.body(b"found")
            for name, entry in UNUSABLE_ENTRIES.items():
                if isinstance(entry, dict):
                    entry = entry | {"service": "app"}
                site.store.rows.put("servers", name, encode(entry))
            site.store.rows.put("servers", "a\nb", encode(site.runners["i-0"].entry()))
            site.store.rows.put("fleet", "host/10.9.9.9", DEEP)
            site.store.rows.put("op", "config", DEEP)
            await until(lambda: len(gateway.beliefs.targets) == 2)
            await asyncio.sleep(1.0)
            answers = [await site.send("/lookup/1") for _ in range(n_requests)]
            task, _ = site._tasks[0]
            return (
                [a.status for a in answers],
                set(gateway.beliefs.targets),
                task.done(),
            )

        statuses, targets, ended = play(scenario)
        assert statuses == [200] * n_requests
        assert targets == {"i-0", "i-1"}
        assert not ended

    def test_target_whose_entry_becomes_unusable_gets_no_requests(self, play):
        async def scenario(site):
            gateway = site.gateways[0]
            for n in range(2):
                runner = await site.add_runner(f"i-{n}", "app")
                runner.script = runner.body(b"found")
            await until(lambda: len(gateway.beliefs.targets) == 2)
            site.store.rows.put("servers", "i-0", DEEP)
            await until(lambda: len(gateway.beliefs.targets) == 1)
            answers = [await site.send("/lookup/1") for _ in range(10)]
            return [a.status for a in answers], len(site.runners["i-0"].ran)

        assert play(scenario) == ([200] * 10, 0)

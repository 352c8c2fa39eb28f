"""Odd entries of another writer in each table that a host follows."""

import json
import logging

import msgspec
import pytest

from swifttide_daemon.gateway.peers._datagrams import _decoder as datagrams
from swifttide_daemon.gateway.peers._peer_messages import _answers, _requests
from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import ROUTES, document
from swifttide_daemon.telemetry._json_formatter import FIELDS_ATTRIBUTE

DEPTH = 100_000
LARGE = b'"' + b"x" * 1_000_000 + b'"'
MANY_DIGITS = "9" * 400

ODD_VALUES = {
    "deep_array": "[" * DEPTH + "]" * DEPTH,
    "deep_object": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "deep_without_end": "[" * DEPTH,
    "many_digits": MANY_DIGITS,
    "out_of_range": "1e400",
    "negative": "-1",
    "not_a_number": "NaN",
    "fraction": "1.5",
    "text": '"many"',
    "empty": '""',
    "surrogate": '"\\ud800"',
    "long": '"' + "x" * 10_000 + '"',
    "list": "[1]",
    "none": "null",
}
ODD_ADDRESSES = {
    "port_zero": "127.0.0.1:0",
    "port_too_large": "127.0.0.1:65536",
    "port_negative": "127.0.0.1:-1",
    "port_huge": "127.0.0.1:1" + "0" * 30,
    "port_is_text": "127.0.0.1:http",
    "no_port": "127.0.0.1",
    "no_port_after_colon": "127.0.0.1:",
    "ipv6": "[::1]:80:80",
    "ipv6_without_brackets": "::1",
    "nothing": "",
}


def with_value(fields, name, value):
    """Return an object of which one member has a value that is given as JSON."""
    others = {k: v for k, v in fields.items() if k != name}
    return (json.dumps(others)[:-1] + f', "{name}": {value}}}').encode()


DEEP = ("deep_array", "deep_object", "deep_without_end")


def odd_entries(entry):
    """Return odd entries by their name: values of each member, and of the whole."""
    found = {f"whole_{kind}": text.encode() for kind, text in ODD_VALUES.items()}
    found |= {
        "no_bytes": b"",
        "no_text": b"\xff\xfe",
        "large": LARGE,
        "twice": b'{"a": 1, "a": 2}',
    }
    for kind, address in ODD_ADDRESSES.items():
        found[kind] = json.dumps(entry | {"address": address}).encode()
    for name in ("address", "capacity", "service", "state", "zone", "version"):
        for kind in ODD_VALUES.keys() - DEEP:
            text = ODD_VALUES[kind]
            found[f"{name}_{kind}"] = with_value(entry, name, text)
    for kind, text in ODD_VALUES.items():
        found[f"unknown_{kind}"] = with_value(entry, "rumour", text)
    return found


N_UNUSABLE = 80
USABLE_ENTRIES = {f"unknown_{kind}" for kind in ODD_VALUES} | {
    f"{name}_{kind}"
    for name in ("service", "version", "zone")
    for kind in ("text", "empty", "long")
}
"""Entries whose oddity is in a member that isn't read, or is a text where one is due.
No route leads to such a service."""


class TestOddEntries:
    @pytest.mark.parametrize("was_sound", [False, True], ids=["new", "replaces"])
    def test_targets_are_followed(self, play, caplog, was_sound):
        """Guards against hosts that end, or stop to follow the list of targets."""

        async def scenario(site):
            gateway = site.gateways[0]
            sound = await site.add_runner("sound", "app")
            sound.script = sound.body(b"found")
            entry = json.loads(sound.entry()) | {"address": "127.0.0.1:9"}
            entries = odd_entries(entry)
            put = site.store.rows.put
            if was_sound:
                for name in entries:
                    put("servers", name, json.dumps(entry | {"zone": "far"}).encode())
                n_targets = len(entries) + 1
                await until(lambda: len(gateway.beliefs.targets) == n_targets)
            for name, value in entries.items():
                put("servers", name, value)
            later = await site.add_runner("later", "app")
            later.script = later.body(b"found")
            await until(lambda: "later" in gateway.beliefs.targets)
            usable = set(gateway.beliefs.targets) - {"later", "sound"}
            for name in usable:
                site.store.rows.remove("servers", name)
            await until(lambda: len(gateway.beliefs.targets) == 2)
            answers = [await site.send(f"/lookup/{n}") for n in range(20)]
            return [a.status for a in answers], usable, site._tasks[0][0].done()

        with caplog.at_level(logging.WARNING):
            statuses, usable, ended = play(scenario)
        found = [r for r in caplog.records if r.msg == "row_unusable"]
        rows = [getattr(r, FIELDS_ATTRIBUTE)["row"] for r in found]
        assert len(rows) == len(set(rows)) >= N_UNUSABLE
        assert not ended
        assert statuses == [200] * 20
        assert sorted(usable - USABLE_ENTRIES) == []

    @pytest.mark.parametrize(
        ("table", "key"), [("fleet", "host/10.9.9.9"), ("op", "config")]
    )
    def test_hosts_and_configuration_are_followed(self, play, table, key):
        """Guards against hosts that end, or stop to follow the operator's document."""
        host = {"ip": "10.9.9.9", "port": 7, "zone": "a", "boot": "b", "cores": 1.0}
        fields = host if table == "fleet" else document(2, ROUTES)

        async def scenario(site):
            gateway = site.gateways[0]
            runner = await site.add_runner("sound", "app")
            runner.script = runner.body(b"found")
            await until(lambda: gateway.beliefs.targets)
            for text in ODD_VALUES.values():
                site.store.rows.put(table, key, text.encode())
                for name in () if len(text) > DEPTH else fields:
                    site.store.rows.put(table, key, with_value(fields, name, text))
            site.configure(document(5, ROUTES))
            await until(lambda: gateway.beliefs.config.version == 5)
            answer = await site.send("/lookup/1")
            return answer.status, site._tasks[0][0].done()

        assert play(scenario) == (200, False)


def messages(decoder):
    """Return the types of a decoder's union."""
    return msgspec.inspect.type_info(decoder._decoder.type).types


@pytest.mark.parametrize("decoder", [_requests, _answers, datagrams])
@pytest.mark.parametrize("kind", [*ODD_VALUES, "no_bytes"])
def test_message_of_another_host_is_usable_or_an_error(decoder, kind):
    """Guards against a message, or a copy of rows, that ends its reader."""
    value = ODD_VALUES.get(kind, "").encode()
    with pytest.raises(ValueError, match=r"got"):
        decoder.decode(value)
    n_errors = 0
    for message in messages(decoder):
        for field in message.fields:
            name = field.encode_name
            data = f'{{"type": "{message.tag}", "{name}": '.encode() + value + b"}"
            try:
                decoder.decode(data)
            except ValueError:
                n_errors += 1
    assert n_errors > 0

"""Odd rows of another writer among those of the configuration."""

import json
import logging

import msgspec
import pytest
from expression import Ok

from swifttide_core.configuration import Change as ConfigChange
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.configuration._rows import (
    CONFIG_TABLE,
    DOCUMENTS_TABLE,
    LOG_TABLE,
    log_key,
)
from swifttide_daemon.store import Row

TARGET = {
    "name": "odd",
    "kind": "service",
    "zone": "z",
    "url": "http://10.0.0.9:80",
    "serves": "s",
}
HUGE = int("9" * 400)


def change(version, name, **more):
    document = TARGET | {"name": name} | more
    return {"version": version, "kind": "target", "name": name, "document": document}


def deep(opening, closing):
    text = opening * 900 + closing * 900
    return json.loads(text)


ODD_CHANGES = {
    "empty": {},
    "deep_array": change(2, "odd", url=deep("[", "]")),
    "deep_object": change(2, "odd", url=json.loads('{"a":' * 900 + "1" + "}" * 900)),
    "no_url": change(2, "odd", url=""),
    "no_port": change(2, "odd", url="http://10.0.0.9:"),
    "port_zero": change(2, "odd", url="http://10.0.0.9:0"),
    "port_too_large": change(2, "odd", url="http://10.0.0.9:65536"),
    "port_negative": change(2, "odd", url="http://10.0.0.9:-1"),
    "port_huge": change(2, "odd", url="http://10.0.0.9:" + "9" * 30),
    "huge": change(2, "odd", max_concurrency=HUGE),
    "infinite": change(2, "odd", max_concurrency=float("inf")),
    "not_a_number": change(2, "odd", max_concurrency=float("nan")),
    "negative": change(2, "odd", max_concurrency=-1),
    "fraction": change(2, "odd", max_concurrency=1.5),
    "text_for_number": change(2, "odd", max_concurrency="many"),
    "surrogate": change(2, "odd", serves="\ud800"),
    "long": change(2, "odd", serves="x" * 1_000_000),
    "list_for_text": change(2, "odd", zone=["z"]),
    "document_is_a_list": change(2, "odd") | {"document": [1]},
    "unknown_kind": change(2, "odd") | {"kind": "rumour"},
    "version_is_text": change(2, "odd") | {"version": "2"},
    "version_is_huge": change(2, "odd") | {"version": HUGE},
    "version_is_negative": change(2, "odd") | {"version": -1},
}
USABLE = {"no_port"}
"""A URL whose port is left out has the default one."""

ODD_HEADS = {
    "empty": {},
    "text": {"version": "2"},
    "list": {"version": [2]},
    "object": {"version": {}},
    "none": {"version": None},
    "negative": {"version": -1},
    "fraction": {"version": 2.5},
    "not_a_number": {"version": float("nan")},
    "infinite": {"version": float("inf")},
    "huge": {"version": HUGE},
    "large": {"version": 10**30},
}


class Platform:
    """Rows of the configuration in memory."""

    def __init__(self):
        self.head = None
        self.tables = {LOG_TABLE: {}, DOCUMENTS_TABLE: {}}
        self.version = 0

    def write(self, version, name, value):
        self.tables[LOG_TABLE][log_key(version)] = value
        self.tables[DOCUMENTS_TABLE][f"target/{name}"] = value
        self.head = {"version": version}

    def read(self, table, key):
        assert table == CONFIG_TABLE
        return Ok(None if self.head is None else Row(key, 1, self.head))

    def scan(self, table, prefix="", after="", limit=1000):
        rows = sorted(self.tables[table].items())
        return Ok([Row(k, 1, value) for k, value in rows if k > after][:limit])


@pytest.fixture
def platform():
    found = Platform()
    found.write(1, "one", change(1, "one"))
    return found


@pytest.fixture
def config(platform):
    service = ConfigService(platform, 0.01, 60.0)
    yield service
    service.stop()


def names(config):
    return [target.name for target in config.targets()]


@pytest.mark.parametrize("name", [n for n in ODD_CHANGES if n not in USABLE])
class TestOddDocument:
    def test_later_documents_are_followed(self, config, platform, caplog, name):
        """Guards against a host that never hears of an edit after an odd row."""
        assert config.refresh()
        heard = []
        config.add_listener(lambda changes: heard.extend(c.name for c in changes))
        platform.write(2, "odd", ODD_CHANGES[name])
        platform.write(3, "three", change(3, "three"))
        with caplog.at_level(logging.WARNING):
            for _ in range(3):
                assert config.refresh()
        assert names(config) == ["one", "three"]
        assert heard == ["three"]
        places = [record.row for record in caplog.records]
        assert len(places) == len(set(places)) > 0

    def test_host_that_starts_loads_the_others(self, config, platform, name):
        """Guards against a host that never has a configuration."""
        platform.write(2, "odd", ODD_CHANGES[name])
        platform.write(3, "three", change(3, "three"))
        assert config.refresh()
        assert names(config) == ["one", "three"]

    def test_odd_document_leaves_the_one_before(self, config, platform, name):
        """Guards against a document that is gone, or half replaced."""
        platform.write(1, "odd", change(1, "odd"))
        assert config.refresh()
        before = config.targets()
        platform.write(2, "odd", ODD_CHANGES[name])
        assert config.refresh()
        assert config.targets() == before

    def test_peer_passes_on_an_odd_document(self, config, platform, name):
        """Guards against an odd row that reaches a host through another one."""
        assert config.refresh()
        changes = [change(3, "three")]
        try:
            odd = msgspec.convert(ODD_CHANGES[name], ConfigChange)
        except (msgspec.MsgspecError, RecursionError):
            return
        changes = [odd, msgspec.convert(changes[0], ConfigChange)]
        config.apply_peer_changes(3, changes)
        assert names(config) == ["one", "three"]
        assert config.version == 3


@pytest.mark.parametrize("name", ODD_HEADS)
class TestOddHead:
    def test_later_head_is_followed(self, config, platform, caplog, name):
        """Guards against a thread that ends, and edits that are never heard of."""
        assert config.refresh()
        platform.head = ODD_HEADS[name]
        with caplog.at_level(logging.WARNING):
            config.start()
            config._stop.wait(0.1)
        assert len(caplog.records) == 1
        assert config._thread.is_alive()
        platform.write(2, "two", change(2, "two"))
        assert config.refresh()
        assert names(config) == ["one", "two"]

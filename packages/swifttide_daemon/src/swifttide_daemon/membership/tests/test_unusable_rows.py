"""Odd rows of another writer among the hosts and the slots of a zone."""

import logging

import pytest
from expression import Ok

from swifttide_core.membership import HostRow
from swifttide_daemon.membership._rows import host_value
from swifttide_daemon.membership._zone_reader import ZoneReader
from swifttide_daemon.store import Row

HUGE = int("9" * 400)
HOST = host_value(HostRow("h1", "z", "i1", "http://10.0.0.1:80", "http://10.0.0.1:81"))
SLOT = {"host": "h1", "incarnation": "i1", "epoch": 3}

ODD_HOSTS = {
    "unreadable": None,
    "empty": {},
    "huge": HOST | {"renewal": HUGE, "state": 7},
    "fraction": HOST | {"renewal": 1.5},
    "not_a_number": HOST | {"renewal": float("nan")},
    "text_for_number": HOST | {"knows_head": "7"},
    "list": HOST | {"host": ["h1"]},
    "no_address": HOST | {"peer_url": None},
    "unknown_state": HOST | {"state": "rumour"},
}
ODD_SLOTS = {
    "unreadable": None,
    "fraction": SLOT | {"epoch": 2.5},
    "not_a_number": SLOT | {"epoch": float("nan")},
    "text_for_number": SLOT | {"epoch": "4"},
    "list": SLOT | {"host": ["h1"]},
    "none": SLOT | {"incarnation": None},
}


class Platform:
    """Tables in memory; a value of None can't be read and is left out."""

    def __init__(self):
        self.tables = {"hosts": {"z/h1": HOST}, "slots": {"z/00000": SLOT}}
        self.version = 1

    def read(self, table, key):
        return Ok(Row(key, self.version, {}))

    def scan(self, table, prefix):
        self.version += 1
        rows = self.tables[table].items()
        return Ok([Row(k, self.version, v) for k, v in rows if v is not None])


@pytest.fixture
def platform():
    return Platform()


def add_host(platform):
    value = host_value(HostRow("h2", "z", "i2", "", ""))
    platform.tables["hosts"]["z/h2"] = value


class TestOddRows:
    @pytest.mark.parametrize("name", ODD_HOSTS)
    def test_known_host_keeps_its_slots(self, platform, caplog, name):
        """Guards against slots that are claimed before their holder's lease ends, and
        a zone that is never read again.
        """
        reader = ZoneReader(platform, 2)
        before = reader.read("z").ok
        platform.tables["hosts"]["z/h1"] = ODD_HOSTS[name]
        add_host(platform)
        with caplog.at_level(logging.WARNING):
            reader.read("z")
            view = reader.read("z").ok
        assert view.holder(0) == before.holder(0)
        assert set(view.hosts) == {"h1", "h2"}
        assert len(caplog.records) == (ODD_HOSTS[name] is not None)

    @pytest.mark.parametrize("name", ODD_HOSTS)
    def test_unknown_host_without_slots_is_left_out(self, platform, name):
        """Guards against a host that never joins for a row that names no host."""
        reader = ZoneReader(platform, 2)
        platform.tables["hosts"]["z/odd"] = ODD_HOSTS[name]
        add_host(platform)
        assert set(reader.read("z").ok.hosts) == {"h1", "h2"}

    @pytest.mark.parametrize("name", ODD_HOSTS)
    def test_slots_of_an_unknown_holder_are_not_free(self, platform, name):
        """Guards against a host that starts and claims the slots of a live one."""
        platform.tables["hosts"]["z/h1"] = ODD_HOSTS[name]
        add_host(platform)
        assert ZoneReader(platform, 2).read("z").is_error()

    @pytest.mark.parametrize("name", ODD_SLOTS)
    def test_odd_slot_keeps_its_holder(self, platform, name):
        """Guards against a slot that is free as its row can't be used."""
        reader = ZoneReader(platform, 2)
        before = reader.read("z").ok
        platform.tables["slots"]["z/00000"] = ODD_SLOTS[name]
        add_host(platform)
        view = reader.read("z").ok
        assert view.holder(0) == before.holder(0)
        assert set(view.hosts) == {"h1", "h2"}

    def test_key_that_names_no_slot_is_left_out(self, platform):
        """Guards against a zone that can't be read for a row of another kind."""
        platform.tables["slots"]["z/first"] = SLOT
        assert ZoneReader(platform, 2).read("z").ok.slots[0].epoch == 3

"""Tests of lease registration and renewal after lost responses and depositions."""

from dataclasses import replace

import pytest
from expression import Error, Ok

from swifttide_core.membership import HostRow, HostState, LeaseTimes
from swifttide_daemon.membership import LeaseKeeper
from swifttide_daemon.store import Committed, Conflict, PlatformError, Row


class Platform:
    """Platform with one row; a commit loses its response if `lose_answer` is set."""

    def __init__(self):
        self.row = None
        self.lose_answer = False
        self.written_tables = []

    def read(self, table, key):
        return Ok(self.row)

    def commit(self, tx, tries=1):
        known = self.row.version if self.row else 0
        self.written_tables.append([write.table for write in tx.writes])
        if tx.checks[0].version != known:
            return Ok(Conflict("hosts", "z/h1", known))
        self.row = Row("z/h1", known + 1, tx.writes[0].value)
        if self.lose_answer:
            return Error(PlatformError("timeout", may_have_committed=True))
        return Ok(Committed((self.row.version, 1)))


def keeper():
    row = HostRow("h1", "z", "", "", "")
    return LeaseKeeper(Platform(), row, LeaseTimes(), lambda: 0)


class TestLeaseKeeper:
    def test_lost_renewal_response_keeps_the_lease(self):
        """The platform commits a renewal and its response is lost, so the next renewal
        meets an unexpected version. If the host assumed a deposition, it would give up
        all its slots and every turn in progress.
        """
        host = keeper()
        assert host.keep(0)
        incarnation = host.row.incarnation
        host.platform.lose_answer = True
        assert not host.keep(0)
        host.platform.lose_answer = False
        assert not host.keep(0)
        assert host.keep(0)
        assert host.holds()
        assert host.row.incarnation == incarnation

    def test_deposed_host_registers_a_new_incarnation(self):
        """Another host has taken the slots. If this host continued under its old
        incarnation, it would treat slots as its own that it no longer holds.
        """
        host = keeper()
        assert host.keep(0)
        incarnation = host.row.incarnation
        row = host.platform.row
        dead = {**row.value, "state": HostState.DEAD.value}
        host.platform.row = replace(row, version=row.version + 1, value=dead)
        assert not host.keep(0)
        assert not host.holds()
        assert host.keep(0)
        assert host.row.incarnation != incarnation

    def test_host_announces_once_that_it_has_read_the_zone(self):
        """Guards against a joined host that gets slots only at the next full read."""
        host = keeper()
        for knows_head in (0, 0, 1, 1):
            assert host.keep(knows_head)
        registered, before, joined, after = host.platform.written_tables
        assert registered == joined == ["hosts", "zone_heads"]
        assert before == after == ["hosts"]

    @pytest.mark.parametrize("value", [{}, {"host": 7}, {"renewal": 10**400}])
    def test_host_registers_again_over_an_odd_row(self, value):
        """Guards against a host that never holds a lease again, as another writer
        replaced its row and no other host of its zone deposes it.
        """
        host = keeper()
        assert host.keep(0)
        incarnation = host.row.incarnation
        host.platform.row = Row("z/h1", host.platform.row.version + 1, value)
        for _ in range(3):
            host.keep(0)
        assert host.holds()
        assert host.row.incarnation != incarnation

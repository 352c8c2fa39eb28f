"""Tests of the shares of customers at a host that has claimed their slots."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from expression import Error, Ok

from swifttide_core.documents import Customer
from swifttide_core.limits import ShareState, ZoneShares
from swifttide_core.limits._share_transfer import TransferShare
from swifttide_core.verdicts import Reason
from swifttide_daemon.limits import (
    DrawRequest,
    HandoverRequest,
    ShareLoader,
    ShareService,
)
from swifttide_daemon.limits._share_rows import StoredShares
from swifttide_daemon.store import PlatformError

CUSTOMER = Customer("desk", rate_per_second=10, burst=20)
STORED = StoredShares(ZoneShares({"za": 0.5, "zb": 0.5}, {}), 4)
DRAW = DrawRequest("h-1", "za", "d1", 1.0)
EPOCH = 3


class Membership:
    """A host of zone za that has held all slots for a minute."""

    me = SimpleNamespace(host="h", incarnation="1", zone="za")

    def __init__(self):
        self.slots = {0: EPOCH}

    def on_moved(self, listener):
        self.release = listener

    def zones(self):
        return ["za", "zb"]

    def slot(self, kind, key):
        return 0

    def held(self):
        return dict(self.slots)

    def epoch(self, kind, key):
        return self.slots.get(0)

    def held_since(self, kind, key):
        return -60.0

    def holder(self, kind, key, zone):
        return None

    def lease_remaining(self):
        return 5.0


class Rows:
    """Rows of the platform, which can be unavailable."""

    def __init__(self):
        self.available = True
        self.n_reads = 0

    def find(self, customer):
        self.n_reads += 1
        return Ok(STORED) if self.available else Error(PlatformError("unavailable"))

    read = find


class Peers:
    """Records the messages to other hosts."""

    def __init__(self):
        self.sent = []

    def call(self, url, method, path, message):
        self.sent += message


def config(n_customers=1):
    return SimpleNamespace(
        add_listener=lambda listener: None,
        version=1,
        customer=lambda name: replace(CUSTOMER, name=name),
        customers=lambda: [f"{CUSTOMER.name}{i or ''}" for i in range(n_customers)],
    )


def make_service(rows, peers=None):
    return ShareService(Membership(), config(), rows, peers)


class TestShareOfNewHolder:
    def test_loaded_share_lends_without_the_platform(self):
        """Guards against refusals by a host that has claimed the slot of a customer and
        got no request of it before the platform went away.
        """
        rows = Rows()
        service = make_service(rows)
        ShareLoader(service.membership, config(), service).step()
        rows.available = False
        assert service.draw(CUSTOMER.name, DRAW).ok.batch.tokens == 1.0

    def test_handed_over_row_is_used_without_the_platform(self):
        """Guards against refusals if the platform goes away right after a handover."""
        rows = Rows()
        rows.available = False
        service = make_service(rows)
        state = ShareState(level=5.0, lent=())
        service.receive_handovers(
            [HandoverRequest(CUSTOMER.name, EPOCH, state, STORED)]
        )
        assert service.draw(CUSTOMER.name, DRAW).ok.batch.tokens == 1.0

    def test_row_of_an_earlier_claim_is_not_used(self):
        """Guards against a fraction that another zone has taken in the meantime."""
        rows = Rows()
        rows.available = False
        service = make_service(rows)
        state = ShareState(level=5.0, lent=())
        service.receive_handovers(
            [HandoverRequest(CUSTOMER.name, EPOCH - 1, state, STORED)]
        )
        refusal = service.draw(CUSTOMER.name, DRAW).error
        assert refusal.reason is Reason.PLATFORM_UNAVAILABLE

    def test_row_is_handed_over_unless_a_part_is_being_given_up(self):
        """Guards against a part that two zones use after a write without an answer."""
        peers = Peers()
        service = make_service(Rows(), peers)
        move = SimpleNamespace(peer_url="u", next_epoch=EPOCH + 1)
        for is_pending, expected in ((False, STORED), (True, None)):
            service.draw(CUSTOMER.name, DRAW)
            manager = service.managed_shares()[CUSTOMER.name].manager
            if is_pending:
                manager._pending_transfer = TransferShare("zb", 0.1)
            service.membership.release(SimpleNamespace(moves={0: move}))
            assert peers.sent.pop().stored == expected


class TestShareLoader:
    def test_rows_are_read_once_and_in_steps(self):
        """Guards against a store that is flooded with reads after many claims."""
        rows = Rows()
        service = make_service(rows)
        loader = ShareLoader(service.membership, config(50), service)
        for expected in (20, 40, 50, 50):
            loader.step()
            assert rows.n_reads == expected

    def test_read_is_repeated_after_an_outage(self):
        """Guards against shares that stay unknown after a failed read."""
        rows = Rows()
        rows.available = False
        service = make_service(rows)
        loader = ShareLoader(service.membership, config(), service)
        loader.step()
        rows.available = True
        loader.step()
        assert CUSTOMER.name in service.managed_shares()

    def test_malformed_row_does_not_stop_the_others(self):
        """Guards against one row that keeps all shares of a host from being loaded."""
        rows = Rows()
        service = make_service(rows)
        loader = ShareLoader(service.membership, config(2), service)
        find = rows.find
        rows.find = lambda customer: ZoneShares.from_row({"zones": {"za": -1}})
        with pytest.raises(ValueError, match="below 0"):
            loader.step()
        rows.find = find
        loader.step()
        assert list(service.managed_shares()) == [f"{CUSTOMER.name}1"]

    def test_slots_of_other_hosts_are_not_read(self):
        """Guards against a store that each host reads for all customers."""
        rows = Rows()
        service = make_service(rows)
        service.membership.slots = {1: EPOCH}
        ShareLoader(service.membership, config(), service).step()
        assert rows.n_reads == 0

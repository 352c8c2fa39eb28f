"""Tests of the views of the membership service and of its lease row."""

from types import SimpleNamespace

from expression import Ok

from swifttide_core.membership import HostRow, LeaseTimes, SlotRow
from swifttide_daemon.membership import MembershipService, ZoneView


class Keeper:
    """Lease keeper that records the head version passed to each renewal."""

    def __init__(self):
        self.row = HostRow("h1", "z", "i", "", "")
        self.written = []

    def keep(self, knows_head):
        self.written.append(knows_head)
        return True

    def holds(self):
        return True


def service():
    view = ZoneView(head_version=7)
    reader = SimpleNamespace(read=lambda zone: Ok(view))
    outages = SimpleNamespace(may_depose=lambda: True)
    platform = SimpleNamespace(failing=False, available=True)
    return MembershipService(Keeper(), reader, platform, LeaseTimes(), 4, outages)


class TestMembershipService:
    def test_lease_row_keeps_known_head_after_view_is_invalidated(self):
        """A call doesn't find a slot's holder and invalidates the view, and the host
        dies before the zone is read again. If its lease row then held the reset head
        version, the other hosts would wait an hour before they take its slots, and its
        programs would not proceed.
        """
        membership = service()
        membership._read_zone()
        membership.invalidate_views()
        membership._keep_lease()
        assert membership.keeper.written == [7]


class TestAdoptViews:
    def test_newer_view_of_a_peer_replaces_the_own_one(self):
        """Guards against views that stay as they were when the platform went away."""
        membership = service()
        membership._read_zone()
        peer = HostRow("h2", "z", "i2", "", "")
        slots = (SlotRow(0, "h2", "i2", 3), SlotRow(1, "h1", "i", 2))
        newer = ZoneView(9, {"h1": membership.me, "h2": peer}, slots)
        assert membership.adopt_views({"z": newer}) == ["z"]
        assert membership.view.holder(0) == peer
        assert membership.held() == {1: 2}
        assert membership.known_heads() == {"z": 9}

    def test_older_view_of_a_peer_is_ignored(self):
        """Guards against slots that go back to a holder that has released them."""
        membership = service()
        membership._read_zone()
        membership.invalidate_views()
        assert membership.adopt_views({"z": ZoneView(6), "y": ZoneView(4)}) == ["y"]
        assert membership.view.head_version == 7
        assert membership.adopt_views({"y": ZoneView(4)}) == []

    def test_released_slot_is_not_taken_back(self):
        """Guards against two holders of a slot that is being handed over."""
        membership = service()
        membership._released_epochs[1] = 2
        slots = (SlotRow(0, "h1", "i", 3), SlotRow(1, "h1", "i", 2))
        membership.adopt_views({"z": ZoneView(9, {}, slots)})
        assert membership.held() == {0: 3}

    def test_peer_gets_only_newer_views(self):
        """Guards against an outage that fills the network with unchanged views."""
        membership = service()
        membership._read_zone()
        assert membership.newer_views({"z": 6}) == {"z": membership.view}
        assert membership.newer_views({"z": 7, "unknown": 0}) == {}


class TestHasHolders:
    def test_one_slot_without_a_holder_is_not_all_slots(self):
        """Guards against a zone that isn't ready as a whole while the slot of one key
        has no holder.
        """
        membership = service()
        assert not membership.has_holders()
        hosts = {"h1": membership.me}
        slots = tuple(SlotRow(slot) for slot in range(3))
        membership.adopt_views({"z": ZoneView(8, hosts, slots)})
        assert not membership.has_holders()
        slots = (*slots, SlotRow(3, "h1", "i", 1))
        membership.adopt_views({"z": ZoneView(9, hosts, slots)})
        assert membership.has_holders()

"""Tests of the head version that the membership service writes to the lease row."""

from types import SimpleNamespace

from expression import Ok

from swifttide_core.membership import HostRow, LeaseTimes
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

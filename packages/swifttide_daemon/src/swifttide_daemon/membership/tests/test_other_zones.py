"""Tests of the cached views of other zones."""

from expression import Error, Ok

from swifttide_core.membership import HostRow
from swifttide_daemon.membership._other_zones import OtherZones
from swifttide_daemon.membership._zone_view import ZoneView
from swifttide_daemon.store import PlatformError


class Reader:
    """Zone reader that returns `view`, or an error while `view` is None."""

    def __init__(self):
        self.view = ZoneView(head_version=1, read_at=1.0)
        self.n_reads = 0

    def read(self, zone):
        self.n_reads += 1
        if self.view is None:
            return Error(PlatformError("unavailable"))
        return Ok(self.view)

    def head_version(self, zone):
        return Ok(self.view.head_version)


STARTED = ZoneView(head_version=2, hosts={"h": HostRow("h", "b", "1", "", "")})


class TestOtherZones:
    def test_first_request_to_a_zone_reads_it(self):
        """A host read another zone while that was starting and has sent no requests
        there since. In the old view the zone has no hosts, so the programs assigned to
        that zone would be served in this one, without their engines' caches.
        """
        reader = Reader()
        zones = OtherZones(reader)
        zones.refresh(["b"])
        reader.view = STARTED
        assert zones.view("b") is STARTED

    def test_later_requests_do_not_wait_for_the_platform(self):
        reader = Reader()
        zones = OtherZones(reader)
        for _ in range(5):
            zones.view("b")
        assert reader.n_reads == 1

    def test_known_hosts_stay_known_during_an_outage(self):
        """The platform is unavailable at the first request to the other zone."""
        reader = Reader()
        reader.view = STARTED
        zones = OtherZones(reader)
        zones.refresh(["b"])
        reader.view = None
        assert zones.view("b").hosts == STARTED.hosts

    def test_view_is_reread_when_a_slot_seems_free(self):
        """The zone is starting at the first request; the next must see its hosts."""
        reader = Reader()
        zones = OtherZones(reader)
        zones.view("b")
        reader.view = STARTED
        assert zones.reread_view("b").hosts == STARTED.hosts
